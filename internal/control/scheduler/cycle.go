package scheduler

import (
	"maps"
	"slices"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
)

// schedule places what can be placed of all services. A queue is gone through when a step has come to it, or
// when something has changed by which a blocked task may be placed; what turns on time alone waits for the
// next tick.
func (s *Scheduler) schedule() {
	ready := s.jobs.TakeReady()
	added := make([]int, len(ready))
	for i, step := range ready {
		w := &waitingStep{step: step, request: placementRequest(step), priority: s.priority(step.Job), since: s.now, objective: s.objectiveFor(step)}
		w.class = w.objective.class(s.wallMs)
		added[i] = s.queue(step.Job.Service).add(w)
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

// queue returns the queue of a service.
func (s *Scheduler) queue(service string) *queue {
	q := s.queues[service]
	if q == nil {
		q = newQueue(service)
		s.queues[service] = q
	}
	return q
}

// scheduleQueue offers the service's runners to its steps in order.
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

// priority returns the priority of a job's queue; a queue that is gone comes last.
func (s *Scheduler) priority(j *jobs.Job) int {
	if r := s.config.Route(j.Queue); r != nil {
		return r.Priority
	}
	return lastPriority
}

const lastPriority = 1 << 20

// placementRequest returns what a step's tasks ask of a runner.
func placementRequest(step *jobs.Step) *placement.Request {
	return &placement.Request{Service: step.Job.Service, Demand: demandOf(step.Stage), Requirement: step.Stage.GetRequirements(), Affinity: step.Stage.GetAffinity(),
		AntiAffinity: int(step.Stage.GetAntiAffinity()), Group: groupOf(step), Gang: step.Stage.GetGang()}
}

// start notes a run; its order goes out once that is committed.
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

// countRunning counts what a step's task holds, or holds no longer.
func (s *Scheduler) countRunning(step *jobs.Step, delta int) {
	q, priority := s.queue(step.Job.Service), s.priority(step.Job)
	q.runningDemand[priority] = q.runningDemand[priority].Plus(demandOf(step.Stage).Times(delta))
}

// stopRuns has the runs stopped whose jobs have ended.
func (s *Scheduler) stopRuns() {
	for _, run := range s.jobs.TakeStops() {
		s.batch.addDrop(run.Runner, run.Task, run.Number)
	}
}
