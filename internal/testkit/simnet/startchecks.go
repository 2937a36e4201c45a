package simnet

import (
	"strings"
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
)

// checkOrder checks a start against its job: that it was sent and not refused or canceled, where it may run, and what
// has to be done before.
func (c *checker) checkOrder(r *runner, one *run, o *protocol.RunOrder) {
	sim, j := c.sim, one.job
	st := j.stage(one.name)
	switch {
	case o.GetSpec() != j.spec:
		sim.violation("UNASKED", "%s starts %s with another spec", r.id, one.task)
	case o.GetSaved() != "" && !strings.HasPrefix(o.GetSaved(), "saved of "+j.id+"."):
		sim.violation("UNASKED", "%s starts %s with a checkpoint of another task", r.id, one.task)
	case j.acceptedAt == 0 && j.pendingAttempts == 0 && j.indeterminate == 0 && j.rejected > 0:
		sim.violation("REFUSED", "%s starts %s, of a job that was refused", r.id, one.task)
	case j.cancelAcknowledgedAt > 0 && sim.now > j.cancelAcknowledgedAt+cancelTime && sim.noFaultFor(contactTime):
		sim.violation("UNASKED", "%s starts %s after its job was canceled", r.id, one.task)
	case r.service != j.service:
		sim.violation("ROUTE", "%s of %s starts %s of %s", r.id, r.service, one.task, j.service)
	case st.Requirements != "" && r.labels[0] != st.Requirements:
		sim.violation("ROUTE", "%s starts %s, which requires label %s", r.id, one.task, st.Requirements)
	case r.drainAcknowledgedAt > 0 && sim.now > r.drainAcknowledgedAt+drainTime && sim.noFaultFor(contactTime):
		sim.violation("DRAIN", "%s starts %s though it drains", r.id, one.task)
	}
	c.checkTurn(r, one)
}

// checkTurn checks that a run does not start before its time, or before the steps that it depends on are done.
func (c *checker) checkTurn(r *runner, one *run) {
	sim, j := c.sim, one.job
	due := time.Duration(j.startAtMs-dayBeginsMs+int64(one.name.occurrence)*j.intervalMs) * time.Millisecond
	if j.startAtMs > 0 && sim.now < due-earlyTolerance && !c.clocksUntrusted {
		sim.violation("ORDER", "%s starts %s %v before its time", r.id, one.task, due-sim.now)
	}
	for _, step := range j.stage(one.name).DependsOn {
		if !c.stepDone(j, one.name.occurrence, int(step)) {
			sim.violation("ORDER", "%s starts %s before step %d is done", r.id, one.task, step)
		}
	}
}

// stepDone tells whether all tasks of a step are done; of a gang one is enough, as its members end together.
func (c *checker) stepDone(j *job, occurrence, step int) bool {
	st := j.stages[step]
	anyDone := false
	for index := range int(st.Count) {
		done := false
		for _, record := range c.runs[taskID(j, occurrence, step, index)] {
			done = done || record.outcome == string(jobs.EndDone)
		}
		anyDone = anyDone || done
		if !done && !st.Gang {
			return false
		}
	}
	return anyDone
}

// taskID returns the name of a task as runners are told it.
func taskID(j *job, occurrence, step, index int) string {
	s := &jobs.Step{Job: &jobs.Job{ID: j.id}, Occurrence: &jobs.Occurrence{Number: occurrence}, Number: step}
	return s.TaskID(index)
}

// checkOthers checks a start against the other runs of its task and of its step.
func (c *checker) checkOthers(r *runner, one *run) {
	sim := c.sim
	for _, record := range c.runs[one.task] {
		if record.outcome == "" && record.runner.up {
			sim.violation("TWICE", "%s starts run %d of %s while run %d goes on at %s", r.id, one.number, one.task, record.run.number, record.runner.id)
		}
	}
	st := one.job.stage(one.name)
	if st.AntiAffinity == 0 {
		return
	}
	same := 0
	for _, other := range r.running {
		if other.job == one.job && other.name.step == one.name.step && other.name.occurrence == one.name.occurrence {
			same++
		}
	}
	if same >= int(st.AntiAffinity) {
		sim.violation("ROUTE", "%s starts %s beside %d of its step", r.id, one.task, same)
	}
}

// checkCapacity checks a start against its runner's capacity.
func (c *checker) checkCapacity(r *runner, one *run) {
	used := one.job.stage(one.name).Cpu
	for _, other := range r.running {
		used += other.job.stage(other.name).Cpu
	}
	if used > r.cpu {
		c.sim.violation("LIMIT", "%s is at %d of %d with %s", r.id, used, r.cpu, one.task)
	}
}

// checkAcknowledged checks that no run of a task was started after an acknowledged end that rules it out: one that is
// done, or the last failure that the queue allows.
func (c *checker) checkAcknowledged(task string) {
	sim, records := c.sim, c.runs[task]
	for _, end := range records {
		if !end.acknowledged || end.runLeaseExpired || end.run.job.longRunning() {
			continue
		}
		failed := acknowledgedFailures(records, end.endedAt)
		for _, later := range records {
			if later.startedAt <= end.endedAt {
				continue
			}
			if end.outcome == string(jobs.EndDone) {
				sim.violation("TWICE", "run %d of %s starts though run %d is done", later.run.number, task, end.run.number)
			}
			if end.outcome == string(jobs.EndFailed) && failed >= maxAttempts[end.run.job.queue] {
				sim.violation("BUDGET", "run %d of %s starts after %d have failed", later.run.number, task, failed)
			}
		}
	}
}

// acknowledgedFailures returns how many runs had failed by a time, by ends that were acknowledged in time.
func acknowledgedFailures(records []*runRecord, by time.Duration) (count int) {
	for _, r := range records {
		if r.acknowledged && !r.runLeaseExpired && r.outcome == string(jobs.EndFailed) && r.endedAt <= by {
			count++
		}
	}
	return count
}
