package decision

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The course of a request, from its arrival to its end.

func (d *Dispatcher) arrived(ev *Event) {
	if d.requests[ev.Request] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(d.cfg.Classes) {
		d.act(Action{Type: Refuse, Request: ev.Request, Why: NoClass})
		return
	}
	r := &request{id: ev.Request, class: ev.Class, rules: &d.cfg.Classes[ev.Class],
		deadline: ev.Deadline, hint: ev.Hint, slots: 1}
	if ev.Slots > 1 { // false for NaN
		r.slots = int(math.Ceil(min(ev.Slots, maxTokens)))
	}
	d.requests[r.id] = r
	r.job = d.fleet.Arrived(r.class, float64(r.slots), r.hint, d.run[r.class])
	aim := r.rules.InTime(cmp.Or(r.hint, time.Duration(r.job.Work*float64(time.Second))))
	r.job.Until, r.job.Past = min(d.now+aim, r.deadline), !d.inside(ev.Tenant)
	r.job.Aim = (r.job.Until - d.now).Seconds()
	if len(ev.Past) > 0 {
		d.adopt(r, ev.Past)
		return
	}
	d.retries = min(d.retries+retryCredit, creditMost)
	d.mix.Arrived(d.weight(r), d.now)
	// Guards a client that could be served elsewhere: most work of its class would be
	// cut off.
	hopeless := ev.Ending && (r.deadline-d.now).Seconds() < hopeShare*d.run[r.class]
	switch {
	case hopeless:
		d.finish(r, Ending)
	case !ev.Owed && !d.fleet.Known() && d.sheds(r, ev.Retry):
		d.finish(r, Overload)
	case !d.dispatch(r):
		d.finish(r, d.blocked(r))
	default:
		d.shares.Use(ev.Tenant)
		d.wake(d.now+d.slack(r), timer{do: (*Dispatcher).sample, request: r})
	}
}

// adopt takes over a request's attempts; those that are out hold tokens from now on.
func (d *Dispatcher) adopt(r *request, past []Past) {
	out := false
	for _, p := range past {
		w := d.workers[p.Worker]
		if w == nil {
			w = &worker{Member: Member{Worker: p.Worker, State: Removed}} // it has left the list
		}
		r.attempts = append(r.attempts, attempt{Past: p, worker: w})
		if p.Ended {
			continue
		}
		out = true
		d.bucket.Remove(&w.tokens, min(r.slots, w.Free))
		w.InUse += r.slots
		w.work += r.job.Slots * r.job.Work
		if p.Started {
			w.running += r.slots
		}
	}
	if !out && !d.dispatch(r) {
		d.finish(r, d.blocked(r))
	}
}

// startDue acts on an attempt that has not started in the usual time: its worker
// is left alone until it starts or ends. The request has no attempt beside it: a
// worker may run what was called off, so copies do the work twice.
func (d *Dispatcher) startDue(t timer) {
	if a := &t.request.attempts[t.attempt]; !a.Ended && !a.Started {
		a.overdue = true
		a.worker.overdue++
	}
}

// lags sends a second copy of a request whose attempt is far behind its like, out of the credit
// for retries and by the same rules. What must not run twice has none. Where a copy lags too the
// first attempt gives way: its end is what another is sent at.
func (d *Dispatcher) lags(r *request) {
	out, first := 0, 0
	for i := range r.attempts {
		if !r.attempts[i].Ended {
			if out++; out == 1 {
				first = i
			}
		}
	}
	if out < 1 || out > 2 || r.rules.Effect == Unsafe || d.retries < 1 {
		return
	}
	w := d.pick(r, false)
	if w == nil || r.job.Work/d.rules.Share(w.StartedAt, d.now) >= (r.deadline-d.now).Seconds() {
		return
	}
	if out == 2 {
		d.cancel(r, first)
	} else {
		d.retries--
		d.send(r, w)
	}
}

// hopes tells whether attempts of the request are called off once they could not be in time.
func (d *Dispatcher) hopes(r *request) bool {
	return d.cfg.StartNotes && d.fleet.Known() && d.cfg.Limits.CancelAllowed && r.rules.LateWorth == 0
}

// hopeless gives up an attempt that waits and could not be in time any more where late
// answers are worth nothing: what it waits for serves others. What must not run twice fails.
func (d *Dispatcher) hopeless(t timer) {
	r := t.request
	a := &r.attempts[t.attempt]
	if a.Ended || a.Started || r.over {
		return
	}
	d.fleet.Waits(&a.worker.load, a.worker.Kind, &r.job, a.worker.own(), d.now)
	switch {
	case r.rules.Effect == Unsafe:
		d.act(Action{Type: Fail, Request: r.id, Why: Overload})
		d.close(r)
	default:
		d.cancel(r, t.attempt)
	}
}

// started takes in that a worker runs an attempt.
func (d *Dispatcher) started(r *request, a *attempt) {
	a.Started, a.StartedAt = true, d.now
	a.worker.running += r.slots
	a.worker.Most = max(a.worker.Most, a.worker.running)
	if !a.worker.Failed {
		a.worker.Failures = 0
	}
	if a.overdue {
		a.worker.overdue--
	}
	d.zones.Started(a.worker.Zone, d.now-a.SentAt)
	d.waits.Started(d.warming(a.worker), (d.now - a.SentAt).Seconds(), d.fleet.Mean(), d.now)
	d.fleet.Started(&a.worker.load, a.worker.Kind, &r.job, a.overdue, a.worker.own(), d.now)
}

func (d *Dispatcher) ended(r *request, a *attempt, ev *Event) {
	a.Ended, a.Outcome = true, ev.Outcome
	if a.Started {
		a.worker.running -= r.slots
	}
	if a.overdue && !a.Started {
		a.worker.overdue--
	}
	if ev.Outcome == Served && a.Started {
		d.noteRun(a.worker, r, d.now-a.StartedAt)
	}
	d.reported(a.worker, ev)
	a.worker.work -= r.job.Slots * r.job.Work
	d.judge(r, a)
	d.release(a.worker, r.slots)
	if ev.Outcome == Rejected { // a full queue says so sooner than the late starts in it
		d.shedder.Note(true)
	}
	switch {
	case ev.Closed || ev.Outcome == Served:
		d.close(r)
	case r.over:
		d.forget(r)
	case ev.Outcome == Unusable: // guards the retries that others need
		d.retries = max(d.retries-retryCredit, 0)
		d.act(Action{Type: Fail, Request: r.id, Why: NoUse})
		d.close(r)
	case ev.Unsure: // a second copy where none is allowed
		d.finish(r, MayHaveRun)
	case d.retries >= 1 && d.dispatch(r): // the budget keeps trouble from feeding itself
		d.retries--
	default:
		d.finish(r, d.blocked(r))
	}
}

// finish is the one place where a request that nobody serves is ended: it waits
// while an attempt is out, refuses where that is harmless, else fails.
func (d *Dispatcher) finish(r *request, why Reason) {
	c := r.rules
	answer := Action{Type: Refuse, Request: r.id, Why: why}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.Ended {
			return
		}
		inTime := d.now+d.cfg.Limits.MaxRetryAfter < a.SentAt+c.Window
		dropped := c.Effect == Keyed && c.Group == ScopeAll && inTime
		if c.Effect != Safe && !a.neverRan() && !dropped {
			answer.Type = Fail
		}
	}
	if answer.Type == Refuse && d.cfg.Limits.RetryAfter {
		answer.After = min(refusalWait/2+d.jitter(refusalWait), d.cfg.Limits.MaxRetryAfter)
	}
	d.act(answer)
	d.close(r)
}

// close marks a request as over and calls off what is still out for it.
func (d *Dispatcher) close(r *request) {
	r.over = true
	for i := range r.attempts {
		d.cancel(r, i)
	}
	d.forget(r)
}

// forget drops a request that is over once none of its attempts is out.
func (d *Dispatcher) forget(r *request) {
	if !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.Ended }) {
		delete(d.requests, r.id)
	}
}

func (d *Dispatcher) cancel(r *request, attempt int) {
	if d.cfg.Limits.CancelAllowed && !r.attempts[attempt].Ended {
		d.act(Action{Type: Cancel, Request: r.id, Attempt: attempt})
	}
}
