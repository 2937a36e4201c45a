package decision

import (
	"cmp"
	"time"
)

// TokensInUse returns how many tokens of a worker open attempts hold, and how many they may hold; zeros for
// an unknown worker.
func (d *Dispatcher) TokensInUse(id WorkerID) (inUse, limit int) {
	w := cmp.Or(d.workers[id], &worker{})
	return w.InUse, w.Limit
}

// MeanRunTimes returns the mean times from a start to the answer, by the index of the class.
func (d *Dispatcher) MeanRunTimes() []time.Duration {
	out := make([]time.Duration, len(d.meanRun))
	for i, seconds := range d.meanRun {
		out[i] = time.Duration(seconds * float64(time.Second))
	}
	return out
}

// LatencyTarget returns how long a request of the class may take from its arrival and be on time, if it runs
// for the given time.
func (c *Class) LatencyTarget(run time.Duration) time.Duration {
	return c.Objective + time.Duration(c.Stretch*float64(run))
}

// Health returns what has been found of a worker's health; the zero value for an unknown worker.
func (d *Dispatcher) Health(id WorkerID) Health {
	w := cmp.Or(d.workers[id], &worker{})
	h := w.Health
	h.Load = w.load.Learned()
	return h
}

// Unavailable returns how many listed workers get no new work at the given time.
func (d *Dispatcher) Unavailable(now time.Duration) (count int) {
	for _, w := range d.listed {
		if w.State != Ready || w.overdue > 0 || now < w.RestUntil || now < w.excludedUntil && !w.Reinstated {
			count++
		}
	}
	return count
}

// PriorAttempts returns what is known of a request's attempts, in their order; none for an unknown request. A
// successor takes them over as Event.PriorAttempts.
func (d *Dispatcher) PriorAttempts(id RequestID) (records []AttemptRecord) {
	if r := d.requests[id]; r != nil {
		for _, a := range r.attempts {
			records = append(records, a.AttemptRecord)
		}
	}
	return records
}
