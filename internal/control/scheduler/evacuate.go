package scheduler

import (
	"maps"
	"slices"
	"time"
)

// evacuationMargin is left between the time that a draining runner has and the time that a run on it needs.
const evacuationMargin = 500 * time.Millisecond

// evacuate has the runs of a draining runner stopped that would die with it: those that last, and those that
// by their estimate need longer than is left. A stop saves the work of those that checkpoint, and all start
// elsewhere the sooner. What ends in time is left alone.
func (s *Scheduler) evacuate(r *runner, remaining time.Duration) {
	for _, task := range slices.Sorted(maps.Keys(r.live)) {
		run := r.live[task]
		if run.stopSent || run.pending || run.evacuating || !s.outlasts(run, remaining) {
			continue
		}
		run.evacuating = true
		r.live[task] = run
		s.batch.addDrop(r.id, task, run.number)
	}
}

// outlasts tells whether a run goes on for longer than a time.
func (s *Scheduler) outlasts(run liveRun, remaining time.Duration) bool {
	if run.step.Stage.GetLongRunning() {
		return true
	}
	estimate := time.Duration(run.step.Stage.GetEstimateMs()) * time.Millisecond
	return estimate-(s.now-run.startedAt)+evacuationMargin > remaining
}
