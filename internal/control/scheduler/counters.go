package scheduler

import "frosttide/internal/control/jobs"

// Counters count what has become of a service's tasks since this head began; they begin anew with each head.
type Counters struct {
	Ready   uint64            `json:"ready"`   // tasks that were to be started
	Blocked uint64            `json:"blocked"` // of these, that found no runner at once
	Started uint64            `json:"started"` // runs
	Ended   map[string]uint64 `json:"ended"`   // runs, by how they ended
}

// ServiceStatus is what a service's tasks do and have done.
type ServiceStatus struct {
	Counters
	WaitingTasks int   `json:"waiting_tasks"`
	WaitingSteps int   `json:"waiting_steps"`
	OldestWaitMs int64 `json:"oldest_wait_ms"` // of the step that has waited longest
}

// countersOf returns the counters of a service.
func (d *Scheduler) countersOf(service string) *Counters {
	c := d.counters[service]
	if c == nil {
		c = &Counters{Ended: make(map[string]uint64)}
		d.counters[service] = c
	}
	return c
}

// otherEnd counts ends of a kind that the protocol does not have, so that a runner can't make up kinds without end.
const otherEnd = "other"

// countEnd counts the end of a run.
func (d *Scheduler) countEnd(s *jobs.Step, how jobs.How) {
	kind := otherEnd
	switch how {
	case jobs.EndDone, jobs.EndFailed, jobs.EndStopped, jobs.EndRefused, jobs.EndLost:
		kind = string(how)
	}
	d.countersOf(s.Job.Service).Ended[kind]++
}

// countBlocked counts the tasks that were to be started and found no runner in the pass that followed.
func (d *Scheduler) countBlocked(ready []*jobs.Step, added []int) {
	for i, s := range ready {
		c := d.countersOf(s.Job.Service)
		c.Ready += uint64(added[i])
		if d.queue(s.Job.Service).steps[s] != nil {
			c.Blocked += uint64(min(added[i], s.Waiting))
		}
	}
}

// serviceStatuses returns the state of all services that have had tasks.
func (d *Scheduler) serviceStatuses() map[string]ServiceStatus {
	out := make(map[string]ServiceStatus, len(d.counters))
	for service, c := range d.counters {
		s := ServiceStatus{Counters: *c}
		if q := d.queues[service]; q != nil {
			s.WaitingTasks, s.WaitingSteps = q.tasks, len(q.steps)
			if w := q.oldest(); w != nil {
				s.OldestWaitMs = (d.now - w.since).Milliseconds()
			}
		}
		out[service] = s
	}
	return out
}
