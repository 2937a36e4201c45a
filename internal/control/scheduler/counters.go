package scheduler

import "frosttide/internal/control/jobs"

// Counters count the tasks and runs of a service since this head began to serve. Each new head starts at 0.
type Counters struct {
	Ready   uint64            `json:"ready"`   // tasks that became ready to start
	Blocked uint64            `json:"blocked"` // of these, tasks that the next scheduling cycle did not start
	Started uint64            `json:"started"` // runs started
	Ended   map[string]uint64 `json:"ended"`   // runs ended, by end reason
}

// ServiceStatus holds the counters of a service and the size and age of its queue.
type ServiceStatus struct {
	Counters
	WaitingTasks int   `json:"waiting_tasks"`
	WaitingSteps int   `json:"waiting_steps"`
	OldestWaitMs int64 `json:"oldest_wait_ms"` // wait of the step that has waited longest
}

// countersFor returns the counters of a service and creates them on first use.
func (s *Scheduler) countersFor(service string) *Counters {
	c := s.counters[service]
	if c == nil {
		c = &Counters{Ended: make(map[string]uint64)}
		s.counters[service] = c
	}
	return c
}

// endOther is the key under which unknown end reasons are counted, so that a runner that reports arbitrary reasons can't
// grow the map without bound.
const endOther = "other"

// countEnd counts the end of a run.
func (s *Scheduler) countEnd(step *jobs.Step, reason jobs.EndReason) {
	counted := endOther
	switch reason {
	case jobs.EndDone, jobs.EndFailed, jobs.EndStopped, jobs.EndRefused, jobs.EndLost:
		counted = string(reason)
	}
	s.countersFor(step.Job.Service).Ended[counted]++
}

// countBlocked counts the tasks of the steps that became ready, and how many of them the scheduling cycle did not start.
// added holds, for each step, the number of tasks that it added to its queue.
func (s *Scheduler) countBlocked(ready []*jobs.Step, added []int) {
	for i, step := range ready {
		c := s.countersFor(step.Job.Service)
		c.Ready += uint64(added[i])
		if s.queue(step.Job.Service).steps[step] != nil {
			c.Blocked += uint64(min(added[i], step.Waiting))
		}
	}
}

// serviceStatuses returns the status of each service that has had tasks since this head began to serve.
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
