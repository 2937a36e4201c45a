package scheduler

import (
	"maps"
	"slices"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
	"frosttide/internal/protocol"
)

// schedule runs one scheduling cycle: it queues the steps that have become ready and starts every task that can be
// started. It visits a queue only if steps were added to it, if time has passed since the last cycle over all queues, or
// if the fleet has changed, so that a blocked task may fit now. Decisions that depend on time alone wait for the next
// tick.
func (s *Scheduler) schedule() {
	ready := s.jobs.TakeReady()
	added := make([]int, len(ready))
	for i, step := range ready {
		added[i] = s.queue(step.Job.Service).add(s.newWaitingStep(step))
	}
	allQueues := s.tickedSincePass || s.passCutShort || s.fleet.Changes() != s.changesAtLastPass
	s.passCutShort = false
	for _, service := range slices.Sorted(maps.Keys(s.queues)) {
		if q := s.queues[service]; allQueues || q.hasNewSteps {
			s.scheduleQueue(q)
		}
	}
	if allQueues {
		s.tickedSincePass, s.changesAtLastPass = false, s.fleet.Changes()
	}
	s.countBlocked(ready, added)
}

// newWaitingStep returns the queued form of a step that has just become ready, with its sort keys.
func (s *Scheduler) newWaitingStep(step *jobs.Step) *waitingStep {
	w := &waitingStep{step: step, request: placementRequest(step), priority: s.priority(step.Job), since: s.now, objective: s.objectiveFor(step)}
	w.class = w.objective.class(s.wallMs)
	return w
}

// queue returns the queue of a service and creates it on first use.
func (s *Scheduler) queue(service string) *queue {
	q := s.queues[service]
	if q == nil {
		q = newQueue(service)
		s.queues[service] = q
	}
	return q
}

// scheduleQueue runs a pass over the waiting steps of a service.
func (s *Scheduler) scheduleQueue(q *queue) {
	q.hasNewSteps = false
	if s.tickedSincePass {
		q.reclassify(s.wallMs)
	}
	if len(q.entries) == 0 {
		return
	}
	q.updateHeadroom(s.now)
	s.newPass(q).run()
}

// start records a new run of a task and reserves its resources. The order to start the run is sent once the record is
// committed.
func (s *Scheduler) start(step *jobs.Step, index int, run uint32, target *placement.Runner, checkpoint string) {
	task := step.TaskID(index)
	s.fleet.Reserve(target, task, demandOf(step.Stage), groupOf(step))
	s.countRunning(step, 1)
	s.countersFor(step.Job.Service).Started++
	s.jobs.RecordStart(step, index, run, target.ID, s.wallMs)
	r := s.runner(target.ID)
	r.live[task] = liveRun{number: run, step: step, index: index, checkpoint: checkpoint, startedAt: s.now, pending: true}
	s.batch.addStart(target.ID, task)
}

// entryFull reports whether the next entry takes no further starts, because of its size. The tasks that are left are
// started with the next entry.
func (s *Scheduler) entryFull() bool {
	if s.jobs.Writes.Bytes() < protocol.MaxListBytes {
		return false
	}
	s.passCutShort = true
	return true
}

// countRunning adds delta runs of a step's tasks to the running demand of the priority of the step's job. delta is
// negative if runs have ended.
func (s *Scheduler) countRunning(step *jobs.Step, delta int) {
	q, priority := s.queue(step.Job.Service), s.priority(step.Job)
	q.runningDemand[priority] = q.runningDemand[priority].Plus(demandOf(step.Stage).Times(delta))
}

// stopRuns orders runners to stop the runs of jobs that have ended.
func (s *Scheduler) stopRuns() {
	for _, run := range s.jobs.TakeStops() {
		s.batch.addDrop(run.Runner, run.Task, run.Number)
	}
}
