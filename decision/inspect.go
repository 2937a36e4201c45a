package decision

import (
	"cmp"
	"time"
)

// TokensInUse returns the number of a worker's tokens held by open attempts and the limit of that number;
// zeros for an unknown worker.
func (d *Dispatcher) TokensInUse(id WorkerID) (inUse, limit int) {
	w := cmp.Or(d.workers[id], &worker{})
	return w.InUse, w.Limit
}

// MeanRunTimes returns the mean time from start to answer of each class, indexed like Config.Classes.
func (d *Dispatcher) MeanRunTimes() []time.Duration {
	out := make([]time.Duration, len(d.meanRun))
	for i, seconds := range d.meanRun {
		out[i] = time.Duration(seconds * float64(time.Second))
	}
	return out
}

// LatencyTarget returns the longest time from arrival to answer with which a request of the given run time is
// on time.
func (c *Class) LatencyTarget(run time.Duration) time.Duration {
	return c.Objective + time.Duration(c.Stretch*float64(run))
}

// Health returns the recorded health of a worker; the zero value for an unknown worker.
func (d *Dispatcher) Health(id WorkerID) Health {
	w := cmp.Or(d.workers[id], &worker{})
	h := w.Health
	h.Load = w.load.Learned()
	return h
}

// Unavailable returns the number of listed workers that get no new work at the given time.
func (d *Dispatcher) Unavailable(now time.Duration) (count int) {
	for _, w := range d.listed {
		if w.State != Ready || w.overdue > 0 || now < w.RestUntil || now < w.excludedUntil && !w.Reinstated {
			count++
		}
	}
	return count
}

// PriorAttempts returns the records of a request's attempts, in order; none for an unknown request. A
// successor process takes them over as Event.PriorAttempts.
func (d *Dispatcher) PriorAttempts(id RequestID) (records []AttemptRecord) {
	if r := d.requests[id]; r != nil {
		for _, a := range r.attempts {
			records = append(records, a.AttemptRecord)
		}
	}
	return records
}
