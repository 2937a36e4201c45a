package scheduler

import (
	"maps"
	"slices"
	"time"
)

// evacuationMargin is added to the time that a run still needs before it is compared with the time that its draining
// runner has left.
const evacuationMargin = 500 * time.Millisecond

// evacuate stops the runs of a draining runner that would not end before it shuts down. They start elsewhere the
// sooner for it, from their checkpoints where they have saved one. Runs that end in time go on.
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

// outlasts reports whether a run is long-running, or by its estimate goes on for longer than a given time.
func (s *Scheduler) outlasts(run liveRun, remaining time.Duration) bool {
	if run.step.Stage.GetLongRunning() {
		return true
	}
	estimate := time.Duration(run.step.Stage.GetEstimateMs()) * time.Millisecond
	return estimate-(s.now-run.startedAt)+evacuationMargin > remaining
}
