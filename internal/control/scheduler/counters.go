package scheduler

import "frosttide/internal/control/jobs"

// Counters count what has become of a service's tasks since this head began to serve; each head counts from 0.
type Counters struct {
	Ready   uint64            `json:"ready"`   // tasks that became ready to start
	Blocked uint64            `json:"blocked"` // of these, that found no runner in the next cycle
	Started uint64            `json:"started"` // runs
	Ended   map[string]uint64 `json:"ended"`   // runs, by the reason of their end
}

// ServiceStatus is the state of a service's tasks.
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

// endOther stands for all reasons that are not counted by themselves, so that a runner can't fill the counters with
// reasons of its own.
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

// countBlocked counts the tasks of steps that became ready, and of these the ones that the cycle has not started.
// added holds, for each step, how many tasks it added to its queue.
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
		status := ServiceStatus{Counters: *c}
		if q := s.queues[service]; q != nil {
			status.WaitingTasks, status.WaitingSteps = q.waitingTasks, len(q.steps)
			if w := q.oldest(); w != nil {
				status.OldestWaitMs = (s.now - w.since).Milliseconds()
			}
		}
		out[service] = status
	}
	return out
}
