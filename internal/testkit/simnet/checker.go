package simnet

import (
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
)

// Time limits of the rules.
const (
	contactTime    = 3 * time.Second        // without faults, until all processes are connected
	cancelTime     = 3 * time.Second        // from an acknowledged cancel to its job's last start
	earlyTolerance = 250 * time.Millisecond // how much before its start time a job may run
	drainTime      = 2 * time.Second        // from acknowledged draining to the runner's last start
	visibleTime    = 3 * time.Second        // after a job's acceptance, until every read shows it
)

// runRecord is the checker's record of a run. It outlives the runner.
type runRecord struct {
	runner          *runner
	run             *taskRun
	startedAt       time.Duration
	endedAt         time.Duration
	outcome         string // empty while it runs
	endNumber       uint64 // sequence number of its end at its runner
	acknowledged    bool   // the end was acknowledged to the runner
	runLeaseExpired bool   // the run lease expired after the end and before it was acknowledged
}

// checker checks the rules at each start, end and answer, against what the simulation observed.
type checker struct {
	sim  *simulation
	jobs map[string]*job
	runs map[string][]*runRecord // by task
	// bootedWithClocksAhead says that a member booted while at least half of the wall clocks were
	// ahead. If no other member has kept the agreed time, it can't notice the error, and timed jobs
	// may start too early.
	bootedWithClocksAhead bool
}

// newChecker returns a checker without jobs and runs.
func (sim *simulation) newChecker() *checker {
	return &checker{sim: sim, jobs: make(map[string]*job), runs: make(map[string][]*runRecord)}
}

// recordBoot is called when a member boots, to compare the wall clocks.
func (c *checker) recordBoot() {
	wrong := 0
	for _, other := range c.sim.cores {
		if other.clockOffset > 0 {
			wrong++
		}
	}
	if 2*wrong >= len(c.sim.cores) {
		c.bootedWithClocksAhead = true
	}
}

// recordStart records the start of a run and checks it.
func (c *checker) recordStart(r *runner, run *taskRun, o *protocol.RunOrder) {
	sim := c.sim
	sim.report.Starts++
	name, ok := jobs.ParseTask(o.GetTask())
	j := c.jobs[name.Job]
	if !ok || j == nil || name.Step >= len(j.stages) || name.Occurrence >= j.occurrences || name.Index >= int(j.stages[name.Step].Count) {
		sim.violation("UNASKED", "%s starts %s, which nobody has sent", r.id, o.GetTask())
		return
	}
	run.job, run.name = j, taskName{occurrence: name.Occurrence, step: name.Step, index: name.Index}
	c.checkOrder(r, run, o)
	c.checkConcurrentRuns(r, run)
	c.checkCapacity(r, run)
	c.runs[run.task] = append(c.runs[run.task], &runRecord{runner: r, run: run, startedAt: sim.now})
	c.checkStartsAfterEnd(run.task)
}

// findRun returns the record of a run, or nil.
func (c *checker) findRun(run *taskRun) *runRecord {
	for _, record := range c.runs[run.task] {
		if record.run == run {
			return record
		}
	}
	return nil
}

// recordEnd records the end of a run. Without faults, no member of a gang may time out waiting for
// the others.
func (c *checker) recordEnd(r *runner, run *taskRun, e *protocol.RunEnd) {
	record := c.findRun(run)
	if record == nil {
		return
	}
	record.endedAt, record.outcome, record.endNumber = c.sim.now, e.GetHow(), e.GetNumber()
	if e.GetHow() == string(jobs.EndAlone) && c.sim.noFaultFor(contactTime+gangTimeout) && run.job.cancelRequestedAt == 0 {
		c.sim.violation("GANG", "run %d of %s waits alone at %s", run.number, run.task, r.id)
	}
}

// recordRunnerLoss records that a run ended because its runner crashed.
func (c *checker) recordRunnerLoss(run *taskRun) {
	if record := c.findRun(run); record != nil {
		record.endedAt, record.outcome = c.sim.now, string(jobs.EndLost)
	}
}

// recordRunLeaseExpiry records that the run lease of a runner expired, for all its ends that were
// not acknowledged yet.
func (c *checker) recordRunLeaseExpiry(r *runner) {
	for _, records := range c.runs {
		for _, record := range records {
			if record.runner == r && record.outcome != "" && !record.acknowledged {
				record.runLeaseExpired = true
			}
		}
	}
}

// recordAcknowledgement records that the end of a run was acknowledged to its runner.
func (c *checker) recordAcknowledgement(r *runner, e *protocol.RunEnd) {
	for _, record := range c.runs[e.GetTask()] {
		if record.runner == r && record.endNumber == e.GetNumber() {
			record.acknowledged = true
		}
	}
	c.checkStartsAfterEnd(e.GetTask())
}
