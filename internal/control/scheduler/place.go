package scheduler

import (
	"maps"
	"slices"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
)

// place places what can be placed of all services. A queue is gone through when a step has come to it, or
// when something has changed by which a blocked task may be placed; what turns on time alone waits for the
// next tick.
func (d *Scheduler) place() {
	ready := d.jobs.TakeReady()
	added := make([]int, len(ready))
	for i, s := range ready {
		w := &waitingStep{step: s, want: wantOf(s), priority: d.priority(s.Job), since: d.now, objective: d.objective(s)}
		w.lateness = w.objective.lateness(d.wallMs)
		added[i] = d.queue(s.Job.Service).add(w)
	}
	all := d.timePassed || d.fleet.Changes() != d.placedAt
	for _, service := range slices.Sorted(maps.Keys(d.queues)) {
		if q := d.queues[service]; all || q.fresh {
			d.placeQueue(q)
		}
	}
	if all {
		d.timePassed, d.placedAt = false, d.fleet.Changes()
	}
	d.countBlocked(ready, added)
}

// queue returns the queue of a service.
func (d *Scheduler) queue(service string) *queue {
	q := d.queues[service]
	if q == nil {
		q = newQueue(service)
		d.queues[service] = q
	}
	return q
}

// placeQueue offers the service's runners to its steps in order.
func (d *Scheduler) placeQueue(q *queue) {
	q.fresh = false
	if d.timePassed {
		q.sweep(d.wallMs)
	}
	if len(q.entries) == 0 {
		return
	}
	q.observe(d.now)
	d.newPass(q).run()
}

// priority returns the priority of a job's queue; a queue that is gone comes last.
func (d *Scheduler) priority(j *jobs.Job) int {
	if r := d.config.Route(j.Queue); r != nil {
		return r.Priority
	}
	return lastPriority
}

const lastPriority = 1 << 20

// wantOf returns what a step's tasks ask of a runner.
func wantOf(s *jobs.Step) *placement.Want {
	return &placement.Want{Service: s.Job.Service, Demand: demandOf(s.Stage), Requirement: s.Stage.GetRequirements(), Affinity: s.Stage.GetAffinity(),
		AntiAffinity: int(s.Stage.GetAntiAffinity()), Group: groupOf(s), Gang: s.Stage.GetGang()}
}

// start notes a run; its order goes out once that is committed.
func (d *Scheduler) start(s *jobs.Step, index int, run uint32, on *placement.Runner, saved string) {
	task := s.TaskID(index)
	d.fleet.Hold(on, task, demandOf(s.Stage), groupOf(s))
	d.countRunning(s, 1)
	d.countersOf(s.Job.Service).Started++
	d.jobs.Start(s, index, run, on.ID, d.wallMs)
	r := d.runner(on.ID)
	r.live[task] = liveRun{number: run, step: s, index: index, saved: saved, began: d.now, pending: true}
	d.batch.add(on.ID, task)
}

// countRunning counts what a step's task holds, or holds no longer.
func (d *Scheduler) countRunning(s *jobs.Step, by int) {
	q, priority := d.queue(s.Job.Service), d.priority(s.Job)
	q.running[priority] = q.running[priority].Plus(demandOf(s.Stage).Times(by))
}

// stopRuns has the runs stopped whose jobs have ended.
func (d *Scheduler) stopRuns() {
	for _, run := range d.jobs.TakeStopped() {
		d.batch.drop(run.Runner, run.Task, run.Number)
	}
}
