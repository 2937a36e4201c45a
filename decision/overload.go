package decision

import (
	"slices"
	"time"

	"frosttide/decision/shedding"
	"frosttide/decision/warmupbudget"
)

// withinQuota reports whether another request of the tenant is within its quota, given this dispatcher's
// share of the fleet's known work.
func (d *Dispatcher) withinQuota(tenant int) bool {
	if d.fleet.Known() && d.quotas.NeedsSample(d.now) {
		var own, all float64
		for _, w := range d.listed {
			own, all = own+float64(w.InUse), all+float64(w.InUse)+d.fleet.OthersInUse(&w.load, w.Kind, d.now)
		}
		d.quotas.Sample(own, all, d.now)
	}
	return d.quotas.Within(tenant, d.now)
}

// rejectsForOverload reports whether a new request is rejected because requests start late. A client's retry
// has the value of a late answer.
func (d *Dispatcher) rejectsForOverload(r *request, repeat bool) bool {
	value := r.class.Value
	if repeat {
		value *= r.class.LateValue
	}
	return d.rng.Float64() < d.shedder.RejectFraction(value, d.meanRun[r.classIndex])
}

// startSlack returns how long a typical request can wait and still meet its latency target. It uses half the
// mean run time, as run times are skewed and half of them are far below the mean.
func (d *Dispatcher) startSlack(r *request) time.Duration {
	c := r.class
	return c.Objective + time.Duration(max(c.Stretch-1, 0)*d.meanRun[r.classIndex]/2*float64(time.Second))
}

// sampleStart records whether a request has started within its slack. Requests that ended without a start
// are not recorded. With many dispatchers late starts are not either: each reflects a single queue, hit by
// chance, and requests would be rejected while other workers are free. Rejections by a worker with a full
// queue are recorded in any case, by endAttempt.
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

// limitsWait reports whether attempts of the request are canceled once they can no longer meet its latency
// target.
func (d *Dispatcher) limitsWait(r *request) bool {
	return d.cfg.StartEvents && d.fleet.Known() && d.cfg.Limits.CancelAllowed && r.class.LateValue == 0
}

// cancelLateAttempt cancels an attempt that has not started and can no longer meet the latency target, if a
// late answer has no value, so that other requests can use its slots. An Unsafe request fails.
func (d *Dispatcher) cancelLateAttempt(t timer) {
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
