package decision

import (
	"slices"
	"time"

	"frosttide/decision/shedding"
	"frosttide/decision/warmupbudget"
)

// withinQuota reports whether another request of the tenant is within its quota, by this dispatcher's part of
// the work that the fleet is known to have.
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

// rejectsForOverload reports whether a new request is rejected because requests start late. A client's repeat
// has the value of a late answer.
func (d *Dispatcher) rejectsForOverload(r *request, repeat bool) bool {
	value := r.class.Value
	if repeat {
		value *= r.class.LateValue
	}
	return d.rng.Float64() < d.shedder.RejectFraction(value, d.meanRun[r.classIndex])
}

// startSlack returns how long a typical request can wait and still meet its latency target. It takes half the
// mean run time, as run times are skewed and half of them are far below the mean.
func (d *Dispatcher) startSlack(r *request) time.Duration {
	c := r.class
	return c.Objective + time.Duration(max(c.Stretch-1, 0)*d.meanRun[r.classIndex]/2*float64(time.Second))
}

// sampleStart records whether a request has started within its slack. One that ended without a start tells
// nothing. Nor does a late start where many dispatchers use the workers: it tells about one queue only, met
// by chance, and requests would be rejected while other workers are free. A worker that rejects as its queue
// is full is recorded all the same, by endAttempt.
func (d *Dispatcher) sampleStart(t timer) {
	started := slices.ContainsFunc(t.request.attempts, func(a attempt) bool { return a.Started })
	all := warmupbudget.Peer{Count: d.cfg.Instances}
	switch {
	case started:
		d.shedder.RecordStart(shedding.OnTime)
	case !t.request.closed && !all.Sampled():
		d.shedder.RecordStart(shedding.Overdue)
	}
}

// limitsWait reports whether attempts of the request are canceled once they cannot meet its latency target
// any more.
func (d *Dispatcher) limitsWait(r *request) bool {
	return d.cfg.StartEvents && d.fleet.Known() && d.cfg.Limits.CancelAllowed && r.class.LateValue == 0
}

// giveUpWaiting cancels an attempt that has not started and cannot meet its latency target any more, where a
// late answer has no value, so that its slots serve others. An Unsafe request fails.
func (d *Dispatcher) giveUpWaiting(t timer) {
	r := t.request
	a := &r.attempts[t.attempt]
	if a.Ended || a.Started || r.closed {
		return
	}
	d.fleet.RecordNoStart(&a.worker.load, a.worker.Kind, &r.job, a.worker.ownLoad(), d.now)
	if r.class.Effect == Unsafe {
		d.emit(Action{Type: Fail, Request: r.id, Reason: Overload})
		d.close(r)
		return
	}
	d.cancel(r, t.attempt)
}
