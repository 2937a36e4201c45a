package decision

import (
	"slices"
	"time"

	"frosttide/decision/warmupbudget"
)

// What is refused so that the rest is in time.

// withinQuota tells whether a request is inside its tenant's share, by this dispatcher's part of
// the work that the fleet is known to hold.
func (d *Dispatcher) withinQuota(tenant int) bool {
	if d.fleet.Known() && d.quotas.NeedsSample(d.now) {
		var own, all float64
		for _, w := range d.listed {
			own, all = own+float64(w.InUse), all+float64(w.InUse)+d.fleet.Others(&w.load, w.Kind, d.now)
		}
		d.quotas.Sample(own, all, d.now)
	}
	return d.quotas.Within(tenant, d.now)
}

// rejectsForOverload tells whether an arrival is refused because requests start late; a client's
// repeat counts at the worth of a late answer.
func (d *Dispatcher) rejectsForOverload(r *request, repeat bool) bool {
	worth := r.class.Value
	if repeat {
		worth *= r.class.LateValue
	}
	return d.rng.Float64() < d.shedder.RejectFraction(worth, d.meanRun[r.classIndex])
}

// startSlack returns how long a typical request can wait and still be in time: run
// times are skewed, so half of them are far below the mean.
func (d *Dispatcher) startSlack(r *request) time.Duration {
	c := r.class
	return c.Objective + time.Duration(max(c.Stretch-1, 0)*d.meanRun[r.classIndex]/2*float64(time.Second))
}

// sampleStart sees whether a request has started within its slack. One that ended
// without a start says nothing, nor does a late start where many dispatchers share the
// workers: it tells of the one queue that it met by chance, not of all, and a full
// queue's refusal still counts. Guards against refusals while other workers are free.
func (d *Dispatcher) sampleStart(t timer) {
	started := slices.ContainsFunc(t.request.attempts, func(a attempt) bool { return a.Started })
	if started || !t.request.closed && !(warmupbudget.Peer{Count: d.cfg.Instances}).Sampled() {
		d.shedder.RecordStart(!started)
	}
}
