package scheduler

import (
	"maps"
	"slices"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
)

// schedule runs one scheduling cycle: it queues the steps that have become ready and starts what can be started of all
// services. It looks at a queue only where a step has been added, where time has passed, or where the fleet has changed
// so that a blocked task may fit now. What depends on time alone waits for the next tick.
func (s *Scheduler) schedule() {
	ready := s.jobs.TakeReady()
	added := make([]int, len(ready))
	for i, step := range ready {
		added[i] = s.queue(step.Job.Service).add(s.newWaitingStep(step))
	}
	all := s.tickedSincePass || s.fleet.Changes() != s.changesAtLastPass
	for _, service := range slices.Sorted(maps.Keys(s.queues)) {
		if q := s.queues[service]; all || q.hasNewSteps {
			s.scheduleQueue(q)
		}
	}
	if all {
		s.tickedSincePass, s.changesAtLastPass = false, s.fleet.Changes()
	}
	s.countBlocked(ready, added)
}

// newWaitingStep returns a step that has become ready now, with what the queue orders it by.
func (s *Scheduler) newWaitingStep(step *jobs.Step) *waitingStep {
	w := &waitingStep{step: step, request: placementRequest(step), priority: s.priority(step.Job), since: s.now, objective: s.objectiveFor(step)}
	w.class = w.objective.class(s.wallMs)
	return w
}

// queue returns the queue of a service.
func (s *Scheduler) queue(service string) *queue {
	q := s.queues[service]
	if q == nil {
		q = newQueue(service)
		s.queues[service] = q
	}
	return q
}

// scheduleQueue offers the runners of a service to its steps in order.
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

// start records a run of a task and reserves its resources. The order to start it is sent once that is committed.
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

// countRunning adds a number of runs, negative where they end, to what the priority of a step's job uses.
func (s *Scheduler) countRunning(step *jobs.Step, delta int) {
	q, priority := s.queue(step.Job.Service), s.priority(step.Job)
	q.runningDemand[priority] = q.runningDemand[priority].Plus(demandOf(step.Stage).Times(delta))
}

// stopRuns orders the runs to be stopped whose jobs have ended.
func (s *Scheduler) stopRuns() {
	for _, run := range s.jobs.TakeStops() {
		s.batch.addDrop(run.Runner, run.Task, run.Number)
	}
}
