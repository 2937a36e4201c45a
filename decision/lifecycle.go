package decision

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The course of a request, from its arrival to its end.

func (d *Dispatcher) handleArrival(ev *Event) {
	if d.requests[ev.Request] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(d.cfg.Classes) {
		d.emit(Action{Type: Reject, Request: ev.Request, Reason: UnknownClass})
		return
	}
	r := &request{id: ev.Request, classIndex: ev.Class, class: &d.cfg.Classes[ev.Class],
		deadline: ev.Deadline, hint: ev.Hint, slots: 1}
	if ev.Slots > 1 { // false for NaN
		r.slots = int(math.Ceil(min(ev.Slots, maxTokens)))
	}
	d.requests[r.id] = r
	r.job = d.fleet.NewJob(r.classIndex, float64(r.slots), r.hint, d.meanRun[r.classIndex])
	aim := r.class.LatencyTarget(cmp.Or(r.hint, time.Duration(r.job.Work*float64(time.Second))))
	r.job.TargetAt, r.job.OverQuota = min(d.now+aim, r.deadline), !d.withinQuota(ev.Tenant)
	r.job.Target = (r.job.TargetAt - d.now).Seconds()
	if len(ev.PriorAttempts) > 0 {
		d.adoptAttempts(r, ev.PriorAttempts)
		return
	}
	d.retryCredit = min(d.retryCredit+retryCreditPerRequest, maxRetryCredit)
	d.traffic.RecordArrival(d.relativeWork(r), d.now)
	// Guards a client that could be served elsewhere: most work of its class would be
	// cut off.
	hopeless := ev.ProcessStopping && (r.deadline-d.now).Seconds() < minRunsBeforeStop*d.meanRun[r.classIndex]
	switch {
	case hopeless:
		d.finish(r, ProcessStopping)
	case !ev.Compensating && !d.fleet.Known() && d.rejectsForOverload(r, ev.Retry):
		d.finish(r, Overload)
	case !d.dispatch(r):
		d.finish(r, d.rejectReason(r))
	default:
		d.quotas.Charge(ev.Tenant)
		d.setTimer(d.now+d.startSlack(r), timer{fire: (*Dispatcher).sampleStart, request: r})
	}
}

// adoptAttempts takes over a request's attempts; those that are out hold tokens from now on.
func (d *Dispatcher) adoptAttempts(r *request, past []AttemptRecord) {
	out := false
	for _, p := range past {
		w := d.workers[p.Worker]
		if w == nil {
			w = &worker{Member: Member{Worker: p.Worker, State: Removed}} // it has left the list
		}
		r.attempts = append(r.attempts, attempt{AttemptRecord: p, worker: w})
		if p.Ended {
			continue
		}
		out = true
		d.bucket.Remove(&w.tokens, min(r.slots, w.Free))
		w.InUse += r.slots
		w.outstandingWork += r.job.Slots * r.job.Work
		if p.Started {
			w.runningSlots += r.slots
		}
	}
	if !out && !d.dispatch(r) {
		d.finish(r, d.rejectReason(r))
	}
}

// markOverdue acts on an attempt that has not started in the usual time: its worker
// is left alone until it starts or ends. The request has no attempt beside it: a
// worker may run what was called off, so copies do the work twice.
func (d *Dispatcher) markOverdue(t timer) {
	if a := &t.request.attempts[t.attempt]; !a.Ended && !a.Started {
		a.overdue = true
		a.worker.overdue++
	}
}

// hedge sends a second copy of a request whose attempt is far behind its like, out of the credit
// for retries and by the same rules. What must not run twice has none. Where a copy lags too the
// first attempt gives way: its end is what another is sent at.
func (d *Dispatcher) hedge(r *request) {
	out, first := 0, 0
	for i := range r.attempts {
		if !r.attempts[i].Ended {
			if out++; out == 1 {
				first = i
			}
		}
	}
	if out < 1 || out > 2 || r.class.Effect == Unsafe || d.retryCredit < 1 {
		return
	}
	w := d.selectWorker(r, false)
	if w == nil || r.job.Work/d.rules.Capacity(w.StartedAt, d.now) >= (r.deadline-d.now).Seconds() {
		return
	}
	if out == 2 {
		d.cancel(r, first)
	} else {
		d.retryCredit--
		d.send(r, w)
	}
}

// limitsWait tells whether attempts of the request are called off once they could not be in time.
func (d *Dispatcher) limitsWait(r *request) bool {
	return d.cfg.StartEvents && d.fleet.Known() && d.cfg.Limits.CancelAllowed && r.class.LateValue == 0
}

// giveUpWaiting gives up an attempt that waits and could not be in time any more where late
// answers are worth nothing: what it waits for serves others. What must not run twice fails.
func (d *Dispatcher) giveUpWaiting(t timer) {
	r := t.request
	a := &r.attempts[t.attempt]
	if a.Ended || a.Started || r.closed {
		return
	}
	d.fleet.RecordNoStart(&a.worker.load, a.worker.Kind, &r.job, a.worker.ownLoad(), d.now)
	switch {
	case r.class.Effect == Unsafe:
		d.emit(Action{Type: Fail, Request: r.id, Reason: Overload})
		d.close(r)
	default:
		d.cancel(r, t.attempt)
	}
}

// handleStart takes in that a worker runs an attempt.
func (d *Dispatcher) handleStart(r *request, a *attempt) {
	a.Started, a.StartedAt = true, d.now
	a.worker.runningSlots += r.slots
	a.worker.Most = max(a.worker.Most, a.worker.runningSlots)
	if !a.worker.Failed {
		a.worker.Failures = 0
	}
	if a.overdue {
		a.worker.overdue--
	}
	d.zones.RecordStart(a.worker.Zone, d.now-a.SentAt)
	d.waits.RecordWait(d.warming(a.worker), (d.now - a.SentAt).Seconds(), d.fleet.MeanSlotSeconds(), d.now)
	d.fleet.RecordStart(&a.worker.load, a.worker.Kind, &r.job, a.overdue, a.worker.ownLoad(), d.now)
}

func (d *Dispatcher) handleEnd(r *request, a *attempt, ev *Event) {
	a.Ended, a.Outcome = true, ev.Outcome
	if a.Started {
		a.worker.runningSlots -= r.slots
	}
	if a.overdue && !a.Started {
		a.worker.overdue--
	}
	if ev.Outcome == Served && a.Started {
		d.recordRun(a.worker, r, d.now-a.StartedAt)
	}
	d.handleReport(a.worker, ev)
	a.worker.outstandingWork -= r.job.Slots * r.job.Work
	d.updateHealth(r, a)
	d.release(a.worker, r.slots)
	if ev.Outcome == Rejected { // a full queue says so sooner than the late starts in it
		d.shedder.RecordStart(true)
	}
	switch {
	case ev.RequestClosed || ev.Outcome == Served:
		d.close(r)
	case r.closed:
		d.removeIfDone(r)
	case ev.Outcome == Unusable: // guards the retries that others need
		d.retryCredit = max(d.retryCredit-retryCreditPerRequest, 0)
		d.emit(Action{Type: Fail, Request: r.id, Reason: NoCapableWorker})
		d.close(r)
	case ev.CancelUnconfirmed: // a second copy where none is allowed
		d.finish(r, MayHaveRun)
	case d.retryCredit >= 1 && d.dispatch(r): // the budget keeps trouble from feeding itself
		d.retryCredit--
	default:
		d.finish(r, d.rejectReason(r))
	}
}

// finish is the one place where a request that nobody serves is ended: it waits
// while an attempt is out, refuses where that is harmless, else fails.
func (d *Dispatcher) finish(r *request, why Reason) {
	c := r.class
	answer := Action{Type: Reject, Request: r.id, Reason: why}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.Ended {
			return
		}
		inTime := d.now+d.cfg.Limits.MaxRetryAfter < a.SentAt+c.DedupWindow
		dropped := c.Effect == Keyed && c.DedupScope == ScopeAll && inTime
		if c.Effect != Safe && !a.neverRan() && !dropped {
			answer.Type = Fail
		}
	}
	if answer.Type == Reject && d.cfg.Limits.RetryAfter {
		answer.After = min(rejectRetryAfter/2+d.jitter(rejectRetryAfter), d.cfg.Limits.MaxRetryAfter)
	}
	d.emit(answer)
	d.close(r)
}

// close marks a request as over and calls off what is still out for it.
func (d *Dispatcher) close(r *request) {
	r.closed = true
	for i := range r.attempts {
		d.cancel(r, i)
	}
	d.removeIfDone(r)
}

// removeIfDone drops a request that is over once none of its attempts is out.
func (d *Dispatcher) removeIfDone(r *request) {
	if !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.Ended }) {
		delete(d.requests, r.id)
	}
}

func (d *Dispatcher) cancel(r *request, attempt int) {
	if d.cfg.Limits.CancelAllowed && !r.attempts[attempt].Ended {
		d.emit(Action{Type: Cancel, Request: r.id, Attempt: attempt})
	}
}
