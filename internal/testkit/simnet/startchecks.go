package simnet

import (
	"strings"
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
)

// checkOrder checks a start against its job: the job was submitted and neither refused nor
// canceled, the runner may run the task, and its prerequisites are done.
func (c *checker) checkOrder(r *runner, run *taskRun, o *protocol.RunOrder) {
	sim, j := c.sim, run.job
	st := j.stage(run.name)
	switch {
	case o.GetSpec() != j.spec:
		sim.violation("UNASKED", "%s starts %s with another spec", r.id, run.task)
	case o.GetSaved() != "" && !strings.HasPrefix(o.GetSaved(), "saved of "+j.id+"."):
		sim.violation("UNASKED", "%s starts %s with a checkpoint of another task", r.id, run.task)
	case j.acceptedAt == 0 && j.pendingAttempts == 0 && j.indeterminate == 0 && j.rejected > 0:
		sim.violation("REFUSED", "%s starts %s, of a job that was refused", r.id, run.task)
	case j.cancelAcknowledgedAt > 0 && sim.now > j.cancelAcknowledgedAt+cancelTime && sim.noFaultFor(contactTime):
		sim.violation("UNASKED", "%s starts %s after its job was canceled", r.id, run.task)
	case r.service != j.service:
		sim.violation("ROUTE", "%s of %s starts %s of %s", r.id, r.service, run.task, j.service)
	case st.Requirements != "" && r.labels[0] != st.Requirements:
		sim.violation("ROUTE", "%s starts %s, which requires label %s", r.id, run.task, st.Requirements)
	case r.drainAcknowledgedAt > 0 && sim.now > r.drainAcknowledgedAt+drainTime && sim.noFaultFor(contactTime):
		sim.violation("DRAIN", "%s starts %s though it drains", r.id, run.task)
	}
	c.checkPrerequisites(r, run)
}

// checkPrerequisites checks that a run starts neither before its start time nor before the steps
// that it depends on are done.
func (c *checker) checkPrerequisites(r *runner, run *taskRun) {
	sim, j := c.sim, run.job
	due := time.Duration(j.startAtMs-startOfDayMs+int64(run.name.occurrence)*j.intervalMs) * time.Millisecond
	if j.startAtMs > 0 && sim.now < due-earlyTolerance && !c.bootedWithClocksAhead {
		sim.violation("ORDER", "%s starts %s %v before its time", r.id, run.task, due-sim.now)
	}
	for _, step := range j.stage(run.name).DependsOn {
		if !c.stepDone(j, run.name.occurrence, int(step)) {
			sim.violation("ORDER", "%s starts %s before step %d is done", r.id, run.task, step)
		}
	}
}

// stepDone reports whether all tasks of a step are done. For a gang one task is enough, as its
// members end together.
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

// taskID returns the name of a task as run orders contain it.
func taskID(j *job, occurrence, step, index int) string {
	s := &jobs.Step{Job: &jobs.Job{ID: j.id}, Occurrence: &jobs.Occurrence{Number: occurrence}, Number: step}
	return s.TaskID(index)
}

// checkConcurrentRuns checks a start against the other runs of its task, and of its step if that
// has anti-affinity.
func (c *checker) checkConcurrentRuns(r *runner, run *taskRun) {
	sim := c.sim
	for _, record := range c.runs[run.task] {
		if record.outcome == "" && record.runner.up {
			sim.violation("TWICE", "%s starts run %d of %s while run %d goes on at %s", r.id, run.number, run.task, record.run.number, record.runner.id)
		}
	}
	st := run.job.stage(run.name)
	if st.AntiAffinity == 0 {
		return
	}
	siblings := 0
	for _, other := range r.running {
		if other.job == run.job && other.name.step == run.name.step && other.name.occurrence == run.name.occurrence {
			siblings++
		}
	}
	if siblings >= int(st.AntiAffinity) {
		sim.violation("ROUTE", "%s starts %s beside %d of its step", r.id, run.task, siblings)
	}
}

// checkCapacity checks that a start does not exceed the CPU capacity of its runner.
func (c *checker) checkCapacity(r *runner, run *taskRun) {
	used := run.job.stage(run.name).Cpu
	for _, other := range r.running {
		used += other.job.stage(other.name).Cpu
	}
	if used > r.cpu {
		c.sim.violation("LIMIT", "%s is at %d of %d with %s", r.id, used, r.cpu, run.task)
	}
}

// checkStartsAfterEnd checks that no run of a task started after an acknowledged end that forbids
// it: a run that was done, or the last failure that the queue allows. Long-running jobs, and ends
// whose run lease expired before the acknowledgement, are exempt.
func (c *checker) checkStartsAfterEnd(task string) {
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

// acknowledgedFailures counts the runs that had failed by a time and whose ends were acknowledged
// before their run lease expired.
func acknowledgedFailures(records []*runRecord, by time.Duration) (count int) {
	for _, r := range records {
		if r.acknowledged && !r.runLeaseExpired && r.outcome == string(jobs.EndFailed) && r.endedAt <= by {
			count++
		}
	}
	return count
}
