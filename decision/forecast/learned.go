package forecast

import (
	"math"
	"time"
)

// Learned is the part of a worker's state that outlives the process. It is stored, and sent between members, as JSON
// under the names of its fields.
type Learned struct {
	Slots float64 // size of the worker; 0 for unknown
	Pace  float64 // natural logarithm of its pace relative to the mean pace
	Jobs  float64 // weight of the pace, in jobs
}

// Learned returns the part of a worker's state that is useful to another process.
func (w *Worker) Learned() Learned {
	return Learned{Slots: max(float64(w.reportedSize), w.maxUsed), Pace: w.pace.logarithm, Jobs: w.pace.jobs}
}

// Restore sets the state that an earlier process learned. Values out of range are ignored.
func (w *Worker) Restore(l Learned, now time.Duration) {
	if l.Slots > 0 && l.Slots <= maxSlots {
		w.reportedSize = size(l.Slots)
	}
	if math.Abs(l.Pace) <= maxPaceDeviation && l.Jobs > 0 {
		w.pace = pace{logarithm: l.Pace, jobs: min(l.Jobs, maxPaceJobs), at: now}
	}
}
