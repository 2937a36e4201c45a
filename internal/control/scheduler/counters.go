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

// countersFor returns the counters of a service.
func (s *Scheduler) countersFor(service string) *Counters {
	c := s.counters[service]
	if c == nil {
		c = &Counters{Ended: make(map[string]uint64)}
		s.counters[service] = c
	}
	return c
}

// endOther counts ends of a kind that the protocol does not have, so that a runner can't make up kinds without end.
const endOther = "other"

// countEnd counts the end of a run.
func (s *Scheduler) countEnd(step *jobs.Step, reason jobs.EndReason) {
	kind := endOther
	switch reason {
	case jobs.EndDone, jobs.EndFailed, jobs.EndStopped, jobs.EndRefused, jobs.EndLost:
		kind = string(reason)
	}
	s.countersFor(step.Job.Service).Ended[kind]++
}

// countBlocked counts the tasks that were to be started and found no runner in the pass that followed.
func (s *Scheduler) countBlocked(ready []*jobs.Step, added []int) {
	for i, step := range ready {
		c := s.countersFor(step.Job.Service)
		c.Ready += uint64(added[i])
		if s.queue(step.Job.Service).steps[step] != nil {
			c.Blocked += uint64(min(added[i], step.Waiting))
		}
	}
}

// serviceStatuses returns the state of all services that have had tasks.
func (s *Scheduler) serviceStatuses() map[string]ServiceStatus {
	out := make(map[string]ServiceStatus, len(s.counters))
	for service, c := range s.counters {
		step := ServiceStatus{Counters: *c}
		if q := s.queues[service]; q != nil {
			step.WaitingTasks, step.WaitingSteps = q.waitingTasks, len(q.steps)
			if w := q.oldest(); w != nil {
				step.OldestWaitMs = (s.now - w.since).Milliseconds()
			}
		}
		out[service] = step
	}
	return out
}
