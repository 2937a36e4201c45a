package decision

import (
	"slices"
	"time"

	"frosttide/decision/permit"
)

// The send gate: what the rules let go where.

// mayAttempt tells whether the request may have another attempt, wherever it goes.
func (d *Dispatcher) mayAttempt(r *request) bool {
	lim := &d.cfg.Limits
	if r.closed || d.now >= r.deadline || (lim.MaxAttempts > 0 && len(r.attempts) >= lim.MaxAttempts) {
		return false
	}
	unsafe := r.class.Effect == Unsafe
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return !a.Ended && !lim.HedgingAllowed || unsafe && !a.neverRan()
	})
}

// allowed tells whether rules 1 to 4 let the request go to the worker now.
func (d *Dispatcher) allowed(r *request, w *worker) bool {
	c := r.class
	wrongKind := c.WorkerKind >= 0 && w.Kind != c.WorkerKind ||
		w.ClassMask != 0 && w.ClassMask>>r.classIndex&1 == 0
	cold := d.now < w.excludedUntil && !w.allWarming && !d.earlyWarmUp(w) && !d.trialAllowed(w, r)
	if w.State != Ready || cold || wrongKind || !d.mayAttempt(r) || !d.withinWarmUpBudget(w, r) {
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
			inTime := d.now <= a.SentAt+c.DedupWindow-d.cfg.Limits.ConnectTimeout
			if !inTime || !sameDedupScope(c.DedupScope, a.worker, w) {
				return false
			}
		}
	}
	return true
}

// warmUpStartWithin is how long an attempt at a worker that warms up may take to begin. Guards the bound
// on what such a worker gets in a window, which is reckoned by when attempts are decided on: dials
// that come up late together would bring one window what belongs to two.
const warmUpStartWithin = 100 * time.Millisecond

// latestStart returns the latest moment at which an attempt decided on now may begin, 0 where its
// deadline alone bounds it: before the window closes in which repeats are dropped, whatever holds
// the process up, and before the budget of a worker that warms up is another window's.
func (d *Dispatcher) latestStart(r *request, w *worker) (until time.Duration) {
	if d.warming(w) {
		until = d.now + warmUpStartWithin
	}
	if r.class.Effect != Keyed {
		return until
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.neverRan() && a.worker != w {
			closes := a.SentAt + r.class.DedupWindow - permit.MaxStall
			if until == 0 || closes < until {
				until = closes
			}
		}
	}
	return until
}

// sameDedupScope tells whether two workers drop each other's repeats.
func sameDedupScope(g DedupScope, a, b *worker) bool {
	return g == ScopeAll || a.Zone == b.Zone && (g == ScopeZone || a.Cell == b.Cell)
}

// send is the one gate through which every attempt goes.
func (d *Dispatcher) send(r *request, w *worker) {
	if !d.allowed(r, w) || w.Free < r.slots {
		return
	}
	d.bucket.Remove(&w.tokens, r.slots)
	d.fleet.RecordSent(&w.load, w.Kind, w.ownLoad(), &r.job, d.now)
	w.InUse += r.slots
	w.untried = false
	w.sentWork.Add(d.estimatedWork(w, r))
	w.outstandingWork += r.job.Slots * r.job.Work
	n := len(r.attempts)
	record := AttemptRecord{Worker: w.Worker, SentAt: d.now}
	r.attempts = append(r.attempts, attempt{AttemptRecord: record, worker: w})
	d.emit(Action{Type: Send, Request: r.id, Worker: w.Worker, Attempt: n, LatestStart: d.latestStart(r, w)})
	if d.limitsWait(r) {
		until := d.fleet.WaitUntil(&w.load, w.Kind, &r.job, d.now)
		d.setTimer(until, timer{fire: (*Dispatcher).giveUpWaiting, request: r, attempt: n})
	}
	if d.cfg.StartEvents {
		wait := 2*d.zones.UsualStart(w.Zone) + r.class.Objective/startToleranceDivisor
		d.setTimer(d.now+wait, timer{fire: (*Dispatcher).markOverdue, request: r, attempt: n})
	}
}
