package decision

import (
	"cmp"
	"math"
	"slices"
	"time"

	"frosttide/decision/shedding"
)

// handleArrival sends or rejects a new request, or takes it over with the attempts of an earlier process.
func (d *Dispatcher) handleArrival(ev *Event) {
	if d.requests[ev.Request] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(d.cfg.Classes) {
		d.emit(Action{Type: Reject, Request: ev.Request, Reason: UnknownClass})
		return
	}
	r := d.newRequest(ev)
	if len(ev.PriorAttempts) > 0 {
		d.adoptAttempts(r, ev.PriorAttempts)
		return
	}
	d.retryCredit = min(d.retryCredit+retryCreditPerRequest, maxRetryCredit)
	d.traffic.RecordArrival(d.relativeWork(r), d.now)
	// Another dispatcher can serve the client; here the stop would interrupt most requests of the class.
	cutOff := ev.ProcessStopping && (r.deadline-d.now).Seconds() < minRunsBeforeStop*d.meanRun[r.classIndex]
	switch {
	case cutOff:
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

// newRequest creates the state of an arriving request, with its latency target, and adds it to the open
// requests.
func (d *Dispatcher) newRequest(ev *Event) *request {
	r := &request{id: ev.Request, classIndex: ev.Class, class: &d.cfg.Classes[ev.Class],
		deadline: ev.Deadline, hint: ev.Hint, slots: 1}
	if ev.Slots > 1 { // false for NaN
		r.slots = int(math.Ceil(min(ev.Slots, maxTokens)))
	}
	d.requests[r.id] = r
	r.job = d.fleet.NewJob(r.classIndex, float64(r.slots), r.hint, d.meanRun[r.classIndex])
	target := r.class.LatencyTarget(cmp.Or(r.hint, time.Duration(r.job.Work*float64(time.Second))))
	r.job.TargetAt, r.job.OverQuota = min(d.now+target, r.deadline), !d.withinQuota(ev.Tenant)
	r.job.Target = (r.job.TargetAt - d.now).Seconds()
	return r
}

// adoptAttempts takes over a request's attempts from an earlier process. Open attempts hold tokens from now
// on; if there are none, the request is sent again.
func (d *Dispatcher) adoptAttempts(r *request, records []AttemptRecord) {
	open := false
	for _, record := range records {
		w := d.workers[record.Worker]
		if w == nil {
			w = &worker{Member: Member{Worker: record.Worker, State: Removed}} // no longer listed
		}
		r.attempts = append(r.attempts, attempt{AttemptRecord: record, worker: w})
		if record.Ended {
			continue
		}
		open = true
		d.bucket.Remove(&w.tokens, min(r.slots, w.Free))
		w.InUse += r.slots
		w.outstandingWork += r.job.Slots * r.job.Work
		if record.Started {
			w.runningSlots += r.slots
		}
	}
	if !open && !d.dispatch(r) {
		d.finish(r, d.rejectReason(r))
	}
}

// markOverdue marks an attempt that has not started in the usual time; its worker is avoided until the
// attempt starts or ends. This leads to no second attempt: workers may still run a canceled attempt, so
// hedging would do the work twice.
func (d *Dispatcher) markOverdue(t timer) {
	if a := &t.request.attempts[t.attempt]; !a.Ended && !a.Started {
		a.overdue = true
		a.worker.overdue++
	}
}

// hedge sends a second attempt of a straggling request, charged to the retry budget and under the same
// rules as a retry [Dean & Barroso, "The Tail at Scale", 2013]. An Unsafe request is never hedged. If the
// second attempt straggles too, the first one is canceled, and its end triggers a third.
func (d *Dispatcher) hedge(r *request) {
	open, first := 0, 0
	for i := range r.attempts {
		if !r.attempts[i].Ended {
			if open++; open == 1 {
				first = i
			}
		}
	}
	if open < 1 || open > 2 || r.class.Effect == Unsafe || d.retryCredit < 1 {
		return
	}
	w := d.selectWorker(r, healthyOnly)
	if w == nil || r.job.Work/d.rules.Capacity(w.StartedAt, d.now) >= (r.deadline-d.now).Seconds() {
		return
	}
	if open == 2 {
		d.cancel(r, first)
	} else {
		d.retryCredit--
		d.send(r, w)
	}
}

// handleStart updates the attempt, its worker and the wait statistics when the worker starts the attempt.
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

// handleEnd updates the worker's state at the end of an attempt and closes, retries or finishes the request.
func (d *Dispatcher) handleEnd(r *request, a *attempt, ev *Event) {
	d.endAttempt(r, a, ev)
	switch {
	case ev.RequestClosed || ev.Outcome == Served:
		d.close(r)
	case r.closed:
		d.removeIfDone(r)
	case ev.Outcome == Unusable:
		d.retryCredit = max(d.retryCredit-retryCreditPerRequest, 0) // undo the arrival's credit
		d.emit(Action{Type: Fail, Request: r.id, Reason: NoCapableWorker})
		d.close(r)
	case ev.CancelUnconfirmed: // the canceled attempt may still run beside a retry
		d.finish(r, MayHaveRun)
	case d.retryCredit >= 1 && d.dispatch(r): // the budget keeps retries from amplifying an overload
		d.retryCredit--
	default:
		d.finish(r, d.rejectReason(r))
	}
}

// endAttempt records an attempt's end in the attempt, its worker's load, health and tokens, and the shedder.
func (d *Dispatcher) endAttempt(r *request, a *attempt, ev *Event) {
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
	d.recordLoadReport(a.worker, ev)
	a.worker.outstandingWork -= r.job.Slots * r.job.Work
	d.updateHealth(r, a)
	d.releaseTokens(a.worker, r.slots)
	if ev.Outcome == Rejected { // a full queue is seen before its late starts are
		d.shedder.RecordStart(shedding.Overdue)
	}
}

// rejectReason returns the reason for not giving a request another attempt.
func (d *Dispatcher) rejectReason(r *request) Reason {
	maxAttempts := d.cfg.Limits.MaxAttempts
	mayHaveRun := slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan() })
	switch {
	case d.now >= r.deadline:
		return DeadlineExceeded
	case r.missesTarget:
		return Overload
	case r.class.Effect == Unsafe && mayHaveRun:
		return MayHaveRun
	case maxAttempts > 0 && len(r.attempts) >= maxAttempts:
		return AttemptsExhausted
	case len(r.attempts) > 0 && d.retryCredit < 1:
		return RetryBudgetExhausted
	}
	return NoFreeToken
}

// finish ends an unserved request once its last attempt has ended: with a Reject if a retry by the client
// does no harm, otherwise with a Fail.
func (d *Dispatcher) finish(r *request, reason Reason) {
	c := r.class
	answer := Action{Type: Reject, Request: r.id, Reason: reason}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.Ended {
			return
		}
		repeatDropped := c.Effect == Keyed && c.DedupScope == ScopeAll &&
			d.now+d.cfg.Limits.MaxRetryAfter < a.SentAt+c.DedupWindow
		if c.Effect != Safe && !a.neverRan() && !repeatDropped {
			answer.Type = Fail
		}
	}
	if answer.Type == Reject && d.cfg.Limits.RetryAfter {
		answer.After = min(rejectRetryAfter/2+d.jitter(rejectRetryAfter), d.cfg.Limits.MaxRetryAfter)
	}
	d.emit(answer)
	d.close(r)
}

// close closes a request and cancels its open attempts.
func (d *Dispatcher) close(r *request) {
	r.closed = true
	for i := range r.attempts {
		d.cancel(r, i)
	}
	d.removeIfDone(r)
}

// removeIfDone deletes a closed request once it has no open attempts.
func (d *Dispatcher) removeIfDone(r *request) {
	if !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.Ended }) {
		delete(d.requests, r.id)
	}
}

// cancel cancels an attempt if it is open and the deployment allows canceling; the attempt remains open until
// its end is reported.
func (d *Dispatcher) cancel(r *request, attempt int) {
	if d.cfg.Limits.CancelAllowed && !r.attempts[attempt].Ended {
		d.emit(Action{Type: Cancel, Request: r.id, Attempt: attempt})
	}
}
