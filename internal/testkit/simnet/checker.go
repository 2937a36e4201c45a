package simnet

import (
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
)

// The times of the rules.
const (
	contactTime    = 3 * time.Second        // without any fault, after which every process is in contact
	cancelTime     = 3 * time.Second        // from the acknowledgement of a cancel to the last start of its job
	earlyTolerance = 250 * time.Millisecond // how much before its time a job may start
	drainTime      = 2 * time.Second        // from the acknowledgement of draining to the last start at a runner
	visibleTime    = 3 * time.Second        // from a job's acceptance until every read shows it
)

// runRecord is a run as the checker knows it, whatever became of its runner.
type runRecord struct {
	runner          *runner
	run             *run
	startedAt       time.Duration
	endedAt         time.Duration
	outcome         string // empty while it runs
	endNumber       uint64 // of its end at its runner
	acknowledged    bool   // the runner was told that its end is known
	runLeaseExpired bool   // the run lease expired after the end and before it was acknowledged
}

// checker checks the rules at each start, end and answer, by what really happened.
type checker struct {
	sim  *simulation
	jobs map[string]*job
	runs map[string][]*runRecord // by task
	// clocksUntrusted says that a member booted while most clocks were wrong. Where no other member has kept the time, it
	// can't know better, and timed jobs may start too early.
	clocksUntrusted bool
}

// newChecker returns a checker that knows of no job.
func (sim *simulation) newChecker() *checker {
	return &checker{sim: sim, jobs: make(map[string]*job), runs: make(map[string][]*runRecord)}
}

// recordClocks takes in that a member boots.
func (c *checker) recordClocks() {
	wrong := 0
	for _, one := range c.sim.cores {
		if one.clockOffset > 0 {
			wrong++
		}
	}
	if 2*wrong >= len(c.sim.cores) {
		c.clocksUntrusted = true
	}
}

// started records and checks the start of a run.
func (c *checker) started(r *runner, one *run, o *protocol.RunOrder) {
	sim := c.sim
	sim.report.Starts++
	name, ok := jobs.ParseTask(o.GetTask())
	j := c.jobs[name.Job]
	if !ok || j == nil || name.Step >= len(j.stages) || name.Occurrence >= j.occurrences || name.Index >= int(j.stages[name.Step].Count) {
		sim.violation("UNASKED", "%s starts %s, which nobody has sent", r.id, o.GetTask())
		return
	}
	one.job, one.name = j, taskName{occurrence: name.Occurrence, step: name.Step, index: name.Index}
	c.checkOrder(r, one, o)
	c.checkOthers(r, one)
	c.checkCapacity(r, one)
	c.runs[one.task] = append(c.runs[one.task], &runRecord{runner: r, run: one, startedAt: sim.now})
	c.checkAcknowledged(one.task)
}

// findRun returns the record of a run, nil for none.
func (c *checker) findRun(one *run) *runRecord {
	for _, record := range c.runs[one.task] {
		if record.run == one {
			return record
		}
	}
	return nil
}

// ended records the end of a run. No gang may wait in vain while there is no fault.
func (c *checker) ended(r *runner, one *run, e *protocol.RunEnd) {
	record := c.findRun(one)
	if record == nil {
		return
	}
	record.endedAt, record.outcome, record.endNumber = c.sim.now, e.GetHow(), e.GetNumber()
	if e.GetHow() == string(jobs.EndAlone) && c.sim.noFaultFor(contactTime+gangTimeout) && one.job.cancelRequestedAt == 0 {
		c.sim.violation("GANG", "run %d of %s waits alone at %s", one.number, one.task, r.id)
	}
}

// runnerLost records that a run ended with its runner.
func (c *checker) runnerLost(one *run) {
	if record := c.findRun(one); record != nil {
		record.endedAt, record.outcome = c.sim.now, string(jobs.EndLost)
	}
}

// expireRunLease records that a runner's run lease has expired.
func (c *checker) expireRunLease(r *runner) {
	for _, records := range c.runs {
		for _, record := range records {
			if record.runner == r && record.outcome != "" && !record.acknowledged {
				record.runLeaseExpired = true
			}
		}
	}
}

// endAcknowledged records that the end of a run was acknowledged.
func (c *checker) endAcknowledged(r *runner, e *protocol.RunEnd) {
	for _, record := range c.runs[e.GetTask()] {
		if record.runner == r && record.endNumber == e.GetNumber() {
			record.acknowledged = true
		}
	}
	c.checkAcknowledged(e.GetTask())
}
