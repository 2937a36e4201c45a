package decision

import (
	"slices"
	"time"

	"frosttide/decision/permit"
)

// The send gate: what the rules let go where.

// mayTry tells whether the request may have another attempt, wherever it goes.
func (d *Dispatcher) mayTry(r *request) bool {
	lim := &d.cfg.Limits
	if r.over || d.now >= r.deadline || (lim.MaxAttempts > 0 && len(r.attempts) >= lim.MaxAttempts) {
		return false
	}
	unsafe := r.rules.Effect == Unsafe
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return !a.Ended && !lim.HedgingAllowed || unsafe && !a.neverRan()
	})
}

// allowed tells whether rules 1 to 4 let the request go to the worker now.
func (d *Dispatcher) allowed(r *request, w *worker) bool {
	c := r.rules
	wrongKind := c.WorkerKind >= 0 && w.Kind != c.WorkerKind || w.Only != 0 && w.Only>>r.class&1 == 0
	cold := d.now < w.coldUntil && !w.alone && !d.early(w) && !d.trickles(w, r)
	if w.State != Ready || cold || wrongKind || !d.mayTry(r) || !d.bears(w, r) {
		return false
	}
	if len(r.attempts) > 0 && d.warming(w) {
		return false // further attempts come on top of the traffic that rule 4 was reckoned with
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.worker == w {
			return false
		}
		if c.Effect == Keyed && !a.neverRan() {
			inTime := d.now <= a.SentAt+c.Window-d.cfg.Limits.ConnectTimeout
			if !inTime || !sameGroup(c.Group, a.worker, w) {
				return false
			}
		}
	}
	return true
}

// beginWithin is how long an attempt at a worker that warms up may take to begin. Guards the bound
// on what such a worker gets in a window, which is reckoned by when attempts are decided on: dials
// that come up late together would bring one window what belongs to two.
const beginWithin = 100 * time.Millisecond

// latest returns the latest moment at which an attempt decided on now may begin, 0 where its
// deadline alone bounds it: before the window closes in which repeats are dropped, whatever holds
// the process up, and before the budget of a worker that warms up is another window's.
func (d *Dispatcher) latest(r *request, w *worker) (until time.Duration) {
	if d.warming(w) {
		until = d.now + beginWithin
	}
	if r.rules.Effect != Keyed {
		return until
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.neverRan() && a.worker != w {
			closes := a.SentAt + r.rules.Window - permit.Standstill
			if until == 0 || closes < until {
				until = closes
			}
		}
	}
	return until
}

// sameGroup tells whether two workers drop each other's repeats.
func sameGroup(g Scope, a, b *worker) bool {
	return g == ScopeAll || a.Zone == b.Zone && (g == ScopeZone || a.Cell == b.Cell)
}

// send is the one gate through which every attempt goes.
func (d *Dispatcher) send(r *request, w *worker) {
	if !d.allowed(r, w) || w.Free < r.slots {
		return
	}
	d.bucket.Remove(&w.tokens, r.slots)
	d.fleet.Sent(&w.load, w.Kind, w.own(), &r.job, d.now)
	w.InUse += r.slots
	w.untried = false
	w.bill.Add(d.workOf(w, r))
	w.work += r.job.Slots * r.job.Work
	n := len(r.attempts)
	r.attempts = append(r.attempts, attempt{Past: Past{Worker: w.Worker, SentAt: d.now}, worker: w})
	d.act(Action{Type: Send, Request: r.id, Worker: w.Worker, Attempt: n, Begin: d.latest(r, w)})
	if d.hopes(r) {
		until := d.fleet.Hope(&w.load, w.Kind, &r.job, d.now)
		d.wake(until, timer{do: (*Dispatcher).hopeless, request: r, attempt: n})
	}
	if d.cfg.StartNotes {
		wait := 2*d.zones.Usual(w.Zone) + r.rules.Objective/startShare
		d.wake(d.now+wait, timer{do: (*Dispatcher).startDue, request: r, attempt: n})
	}
}
