package simnet

import (
	"strings"
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
)

const (
	contactTime    = 3 * time.Second // in which nothing has happened to a machine in touch
	cancelTime     = 3 * time.Second
	earlyTolerance = 250 * time.Millisecond
	drainTime      = 2 * time.Second
	visibleTime    = 3 * time.Second
)

// runRecord is a run as the checker knows it, whatever became of its runner.
type runRecord struct {
	runner       *runner
	run          *run
	startedAt    time.Duration
	endedAt      time.Duration
	outcome      string // empty while it runs
	endNumber    uint64 // of its end
	holdExpired  bool   // its runner's hold ran out after its end and before that was noted
	acknowledged bool
}

// checker checks the rules.
type checker struct {
	sim  *simulation
	jobs map[string]*job
	runs map[string][]*runRecord // by task
	// clocksUntrusted tells that a member was started while most clocks were wrong. Where no other has kept the time, it
	// can't know better, and timed jobs may start too early.
	clocksUntrusted bool
}

func (sim *simulation) newChecker() *checker {
	return &checker{sim: sim, jobs: make(map[string]*job), runs: make(map[string][]*runRecord)}
}

// recordClocks notes that a member starts.
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

// started checks a start.
func (c *checker) started(r *runner, one *run, o *protocol.RunOrder) {
	sim := c.sim
	sim.report.Starts++
	name, ok := jobs.ParseTask(o.GetTask())
	j := c.jobs[name.Job]
	if !ok || j == nil || name.Step >= len(j.stages) || name.Occurrence >= j.occasions || name.Index >= int(j.stages[name.Step].Count) {
		sim.violation("UNASKED", "%s starts %s, which nobody has sent", r.id, o.GetTask())
		return
	}
	one.job, one.name = j, taskName{occasion: name.Occurrence, step: name.Step, index: name.Index}
	c.checkOrder(r, one, o)
	c.checkOthers(r, one)
	c.checkCapacity(r, one)
	c.runs[one.task] = append(c.runs[one.task], &runRecord{runner: r, run: one, startedAt: sim.now})
	c.checkAcknowledged(one.task)
}

// checkOrder checks what a start says for itself.
func (c *checker) checkOrder(r *runner, one *run, o *protocol.RunOrder) {
	sim, j := c.sim, one.job
	st := j.stage(one.name)
	switch {
	case o.GetSpec() != j.spec:
		sim.violation("UNASKED", "%s starts %s with another text", r.id, one.task)
	case o.GetSaved() != "" && !strings.HasPrefix(o.GetSaved(), "saved of "+j.id+"."):
		sim.violation("UNASKED", "%s starts %s with a checkpoint of another task", r.id, one.task)
	case j.acceptedAt == 0 && j.pendingAttempts == 0 && j.indeterminate == 0 && j.rejected > 0:
		sim.violation("REFUSED", "%s starts %s, of a job that was refused", r.id, one.task)
	case j.cancelAcknowledgedAt > 0 && sim.now > j.cancelAcknowledgedAt+cancelTime && sim.noFaultFor(contactTime):
		sim.violation("UNASKED", "%s starts %s after its job was canceled", r.id, one.task)
	case r.service != j.service:
		sim.violation("ROUTE", "%s of %s starts %s of %s", r.id, r.service, one.task, j.service)
	case st.Requirements != "" && r.labels[0] != st.Requirements:
		sim.violation("ROUTE", "%s starts %s, which asks for label %s", r.id, one.task, st.Requirements)
	case r.drainAcknowledgedAt > 0 && sim.now > r.drainAcknowledgedAt+drainTime && sim.noFaultFor(contactTime):
		sim.violation("DRAIN", "%s starts %s though it drains", r.id, one.task)
	}
	due := time.Duration(j.startAtMs-dayBeginsMs+int64(one.name.occasion)*j.intervalMs) * time.Millisecond
	if j.startAtMs > 0 && sim.now < due-earlyTolerance && !c.clocksUntrusted {
		sim.violation("ORDER", "%s starts %s %v before its time", r.id, one.task, due-sim.now)
	}
	for _, d := range st.DependsOn {
		if !c.stepDone(j, one.name.occasion, int(d)) {
			sim.violation("ORDER", "%s starts %s before step %d is done", r.id, one.task, d)
		}
	}
}

// stepDone tells whether all tasks of a step have ended well.
func (c *checker) stepDone(j *job, occasion, step int) bool {
	st := j.stages[step]
	any := false
	for index := range int(st.Count) {
		done := false
		for _, f := range c.runs[taskID(j, occasion, step, index)] {
			done = done || f.outcome == string(jobs.EndDone)
		}
		any = any || done
		if !done && !st.Gang {
			return false
		}
	}
	return any
}

func taskID(j *job, occasion, step, index int) string {
	s := &jobs.Step{Job: &jobs.Job{ID: j.id}, Occurrence: &jobs.Occurrence{Number: occasion}, Number: step}
	return s.TaskID(index)
}

// checkOthers checks a start against the other runs of the task and of its step.
func (c *checker) checkOthers(r *runner, one *run) {
	sim := c.sim
	for _, f := range c.runs[one.task] {
		if f.outcome == "" && f.runner.up {
			sim.violation("TWICE", "%s starts run %d of %s while run %d goes on at %s", r.id, one.number, one.task, f.run.number, f.runner.id)
		}
	}
	st := one.job.stage(one.name)
	if st.AntiAffinity == 0 {
		return
	}
	same := 0
	for _, other := range r.running {
		if other.job == one.job && other.name.step == one.name.step && other.name.occasion == one.name.occasion {
			same++
		}
	}
	if same >= int(st.AntiAffinity) {
		sim.violation("ROUTE", "%s starts %s beside %d of its step", r.id, one.task, same)
	}
}

// checkCapacity checks a runner's capacity.
func (c *checker) checkCapacity(r *runner, one *run) {
	used := one.job.stage(one.name).Cpu
	for _, other := range r.running {
		used += other.job.stage(other.name).Cpu
	}
	if used > r.cpu {
		c.sim.violation("LIMIT", "%s is at %d of %d with %s", r.id, used, r.cpu, one.task)
	}
}

// checkAcknowledged checks that no run was started after ends, taken note of, that rule it out.
func (c *checker) checkAcknowledged(task string) {
	sim := c.sim
	for _, end := range c.runs[task] {
		if !end.acknowledged || end.holdExpired {
			continue
		}
		failed := 0
		for _, other := range c.runs[task] {
			if other.acknowledged && !other.holdExpired && other.outcome == string(jobs.EndFailed) && other.endedAt <= end.endedAt {
				failed++
			}
		}
		for _, f := range c.runs[task] {
			if f.startedAt <= end.endedAt {
				continue
			}
			if end.outcome == string(jobs.EndDone) && !end.run.job.longRunning() {
				sim.violation("TWICE", "run %d of %s starts though run %d is done", f.run.number, task, end.run.number)
			}
			if end.outcome == string(jobs.EndFailed) && failed >= maxAttempts[end.run.job.queue] && !end.run.job.longRunning() {
				sim.violation("BUDGET", "run %d of %s starts after %d have failed", f.run.number, task, failed)
			}
		}
	}
}

// findRun returns the fact of a run.
func (c *checker) findRun(r *runner, one *run) *runRecord {
	for _, f := range c.runs[one.task] {
		if f.run == one {
			return f
		}
	}
	return nil
}

// ended notes a run's end.
func (c *checker) ended(r *runner, one *run, e *protocol.RunEnd) {
	f := c.findRun(r, one)
	if f == nil {
		return
	}
	f.endedAt, f.outcome, f.endNumber = c.sim.now, e.GetHow(), e.GetNumber()
	if e.GetHow() == string(jobs.EndAlone) && c.sim.noFaultFor(contactTime+gangTimeout) && one.job.cancelRequestedAt == 0 {
		c.sim.violation("GANG", "run %d of %s waits alone at %s", one.number, one.task, r.id)
	}
}

// runnerLost notes that a run died with its runner.
func (c *checker) runnerLost(r *runner, one *run) {
	if f := c.findRun(r, one); f != nil {
		f.endedAt, f.outcome = c.sim.now, string(jobs.EndLost)
	}
}

// expireHolds notes that a runner's hold has run out.
func (c *checker) expireHolds(r *runner) {
	for _, facts := range c.runs {
		for _, f := range facts {
			if f.runner == r && f.outcome != "" && !f.acknowledged {
				f.holdExpired = true
			}
		}
	}
}

// endAcknowledged notes that an end was taken note of.
func (c *checker) endAcknowledged(r *runner, e *protocol.RunEnd) {
	for _, f := range c.runs[e.GetTask()] {
		if f.runner == r && f.endNumber == e.GetNumber() {
			f.acknowledged = true
		}
	}
	c.checkAcknowledged(e.GetTask())
}

// checkShownState checks a state that a client was told.
func (c *checker) checkShownState(j *job) {
	sim := c.sim
	switch j.lastState {
	case jobs.Completed.String():
		for occasion := range j.occasions {
			for step := range j.stages {
				if !c.stepDone(j, occasion, step) {
					sim.violation("MIXED", "job %s is shown as completed, time %d step %d is not", j.id, occasion, step)
				}
			}
		}
	case jobs.Failed.String():
		if !c.mayFail(j) {
			sim.violation("LOST", "job %s is shown as failed without cause", j.id)
		}
	case jobs.Canceled.String():
		if j.cancelRequestedAt == 0 {
			sim.violation("LOST", "job %s is shown as canceled, nobody has canceled it", j.id)
		}
	}
}

// mayFail tells whether a task or a gang of a job has failed as often as it may.
func (c *checker) mayFail(j *job) bool {
	for occasion := range j.occasions {
		for step, st := range j.stages {
			gang := make(map[uint32]bool)
			for index := range int(st.Count) {
				failed := 0
				for _, f := range c.runs[taskID(j, occasion, step, index)] {
					if f.outcome == string(jobs.EndFailed) {
						failed++
						gang[f.run.number] = true
					}
				}
				if failed >= maxAttempts[j.queue] {
					return true
				}
			}
			if st.Gang && len(gang) >= maxAttempts[j.queue] {
				return true
			}
		}
	}
	return false
}

// checkUnknownJob checks that a job was told to be unknown.
func (c *checker) checkUnknownJob(j *job) {
	sim := c.sim
	if j.acceptedAt > 0 && sim.now > j.acceptedAt+visibleTime && sim.noFaultFor(contactTime) && j.cancelRequestedAt == 0 {
		sim.violation("LOST", "job %s was accepted and is not known", j.id)
	}
}
