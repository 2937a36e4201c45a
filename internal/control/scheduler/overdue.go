package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// overdueAfter is how long a step may wait until the log tells why.
	overdueAfter = 5 * time.Second
	// overduePause is how often the log tells of a service's waiting steps at most.
	overduePause = 5 * time.Second
)

// tellOverdue has the log told, for each service, which step has waited longest and why.
func (d *Scheduler) tellOverdue() {
	if d.now < d.nextOverdue {
		return
	}
	d.nextOverdue = d.now + overduePause
	for _, service := range slices.Sorted(maps.Keys(d.queues)) {
		q := d.queues[service]
		if w := q.oldest(); w != nil && d.now-w.since >= overdueAfter {
			s := d.waitStatus(q, w)
			d.notes = append(d.notes, fmt.Sprintf("%d tasks of step %d of job %s (time %d, queue %s) wait for %.1f s, the longest of %d steps of service %s: %s",
				s.Tasks, s.Step, s.Job, s.Occasion, s.Queue, (d.now-w.since).Seconds(), len(q.steps), service, s.Why))
		}
	}
}

// oldest returns the step that has waited longest, nil where none waits.
func (q *queue) oldest() *waitingStep {
	var oldest *waitingStep
	for _, w := range q.steps {
		if w.due() && (oldest == nil || w.since < oldest.since || w.since == oldest.since && w.compare(oldest) < 0) {
			oldest = w
		}
	}
	return oldest
}

// TakeNotes returns what the log is to be told since the last call.
func (d *Scheduler) TakeNotes() []string {
	notes := d.notes
	d.notes = nil
	return notes
}
