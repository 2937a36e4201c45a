package scheduler

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/control/event"
)

const (
	// overdueAfter is how long a step may wait before the reason for its wait is logged.
	overdueAfter = 5 * time.Second
	// overdueInterval is the shortest time between two reports of overdue steps.
	overdueInterval = 5 * time.Second
	// overdueRounding is the precision of the logged waiting times.
	overdueRounding = 100 * time.Millisecond
)

// reportOverdue adds an event for each service whose longest waiting step is overdue, with the reason for its wait.
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
