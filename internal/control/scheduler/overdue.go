package scheduler

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/control/event"
)

const (
	// overdueAfter is how long a step may wait until the log tells why.
	overdueAfter = 5 * time.Second
	// overdueInterval is how often the log tells of a service's waiting steps at most.
	overdueInterval = 5 * time.Second
	// overdueRounding is the precision of the waits that are reported.
	overdueRounding = 100 * time.Millisecond
)

// reportOverdue has the log told, for each service, which step has waited longest and why.
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

// oldest returns the step that has waited longest, nil where none waits.
func (q *queue) oldest() *waitingStep {
	var oldest *waitingStep
	for _, w := range q.steps {
		if w.startable() && (oldest == nil || w.since < oldest.since || w.since == oldest.since && w.compare(oldest) < 0) {
			oldest = w
		}
	}
	return oldest
}

// TakeEvents returns what the log is to be told since the last call.
func (s *Scheduler) TakeEvents() []event.Event {
	events := s.events
	s.events = nil
	return events
}
