package decision

import (
	"slices"
	"time"

	"frosttide/decision/permit"
)

// mayAttempt reports whether another attempt of the request is permitted at all, at whichever worker.
func (d *Dispatcher) mayAttempt(r *request) bool {
	limits := &d.cfg.Limits
	if r.closed || d.now >= r.deadline || (limits.MaxAttempts > 0 && len(r.attempts) >= limits.MaxAttempts) {
		return false
	}
	unsafe := r.class.Effect == Unsafe
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return !a.Ended && !limits.HedgingAllowed || unsafe && !a.neverRan()
	})
}

// allowed reports whether the package's invariants permit sending the request to the worker now.
func (d *Dispatcher) allowed(r *request, w *worker) bool {
	c := r.class
	wrongKind := c.WorkerKind >= 0 && w.Kind != c.WorkerKind ||
		w.ClassMask != 0 && w.ClassMask>>r.classIndex&1 == 0
	excluded := d.now < w.excludedUntil && !w.allWarming && !d.earlyWarmUp(w) && !d.trialAllowed(w, r)
	if w.State != Ready || excluded || wrongKind || !d.mayAttempt(r) || !d.withinWarmUpBudget(w, r) {
		return false
	}
	if len(r.attempts) > 0 && d.warming(w) {
		return false // the warm-up budgets are computed from first attempts only
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

// warmUpStartWithin is how long an attempt at a warming worker may take to begin. The warm-up budget counts
// attempts by the time of the decision; connections that are established late would put the attempts of two
// windows into one.
const warmUpStartWithin = 100 * time.Millisecond

// latestStart returns the latest time at which an attempt decided on now may begin; 0 if only the deadline
// limits it. The attempt has to begin before the deduplication window closes, even if the process stalls in
// between, and before it would count against a later window of a warming worker's budget.
func (d *Dispatcher) latestStart(r *request, w *worker) (latest time.Duration) {
	if d.warming(w) {
		latest = d.now + warmUpStartWithin
	}
	if r.class.Effect != Keyed {
		return latest
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.neverRan() && a.worker != w {
			closes := a.SentAt + r.class.DedupWindow - permit.MaxStall
			if latest == 0 || closes < latest {
				latest = closes
			}
		}
	}
	return latest
}

// sameDedupScope reports whether two workers share their duplicate detection.
func sameDedupScope(scope DedupScope, a, b *worker) bool {
	return scope == ScopeAll || a.Zone == b.Zone && (scope == ScopeZone || a.Cell == b.Cell)
}

// send sends the request to the worker if that is allowed and the worker has enough tokens. All attempts go
// through it.
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
		d.setTimer(until, timer{fire: (*Dispatcher).cancelLateAttempt, request: r, attempt: n})
	}
	if d.cfg.StartEvents {
		wait := 2*d.zones.QuickestStart(w.Zone) + r.class.Objective/startToleranceDivisor
		d.setTimer(d.now+wait, timer{fire: (*Dispatcher).markOverdue, request: r, attempt: n})
	}
}
