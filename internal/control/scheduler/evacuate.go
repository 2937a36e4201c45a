package scheduler

import (
	"maps"
	"slices"
	"time"
)

// leaveMargin is left between the time that a draining runner has and the time that a run on it needs.
const leaveMargin = 500 * time.Millisecond

// evacuate has the runs of a draining runner stopped that would die with it: those that last, and those that
// by their estimate need longer than is left. A stop saves the work of those that checkpoint, and all start
// elsewhere the sooner. What ends in time is left alone.
func (d *Scheduler) evacuate(r *runner, left time.Duration) {
	for _, task := range slices.Sorted(maps.Keys(r.live)) {
		run := r.live[task]
		if run.stopped || run.pending || run.leaving || !d.outlasts(run, left) {
			continue
		}
		run.leaving = true
		r.live[task] = run
		d.batch.drop(r.id, task, run.number)
	}
}

// outlasts tells whether a run goes on for longer than a time.
func (d *Scheduler) outlasts(run liveRun, left time.Duration) bool {
	if run.step.Stage.GetLongRunning() {
		return true
	}
	estimate := time.Duration(run.step.Stage.GetEstimateMs()) * time.Millisecond
	return estimate-(d.now-run.began)+leaveMargin > left
}
