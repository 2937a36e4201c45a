package scheduler

import (
	"maps"
	"slices"
	"time"
)

// evacuationMargin is added to the estimated remaining time of a run before comparing it with the time until its
// draining runner shuts down.
const evacuationMargin = 500 * time.Millisecond

// evacuate stops the runs of a draining runner that would not end before the runner shuts down, so that their tasks
// start sooner on other runners, from their checkpoints if they have saved any. Runs that will end in time continue.
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

// outlasts reports whether a run is long-running or is estimated to need more than the remaining time.
func (s *Scheduler) outlasts(run liveRun, remaining time.Duration) bool {
	if run.step.Stage.GetLongRunning() {
		return true
	}
	estimate := time.Duration(run.step.Stage.GetEstimateMs()) * time.Millisecond
	return estimate-(s.now-run.startedAt)+evacuationMargin > remaining
}
