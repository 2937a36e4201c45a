package scheduler

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/control/event"
)

const (
	// overdueAfter is how long a step may wait until it is logged why.
	overdueAfter = 5 * time.Second
	// overdueInterval is how often the oldest waiting step of each service is logged at most.
	overdueInterval = 5 * time.Second
	// overdueRounding is the precision of the waits that are logged.
	overdueRounding = 100 * time.Millisecond
)

// reportOverdue reports, for each service, the step that has waited longest and why it waits.
func (s *Scheduler) reportOverdue() {
	if s.now < s.nextOverdueReport {
		return
	}
	s.nextOverdueReport = s.now + overdueInterval
	for _, service := range slices.Sorted(maps.Keys(s.queues)) {
		q := s.queues[service]
		if w := q.oldest(); w != nil && s.now-w.since >= overdueAfter {
			status := s.waitStatus(q, w)
			s.events = append(s.events, event.New("Step waits for runners", "service", service, "job", status.Job, "queue", status.Queue,
				"occurrence", status.Occurrence, "step", status.Step, "waitingTasks", status.Tasks, "waitingSteps", len(q.steps),
				"waitedFor", (s.now-w.since).Round(overdueRounding), "reason", status.Reason))
		}
	}
}
