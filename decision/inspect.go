package decision

import (
	"cmp"
	"slices"
	"time"
)

// What the module tells of itself beside its actions. Nothing here changes or decides
// anything.

// Reason says why a request was refused or failed, for those who look into it later.
type Reason uint8

const (
	NoReason             Reason = iota // the request was neither refused nor failed
	NoFreeToken                        // no worker that fits has tokens free
	Overload                           // requests start late: some are turned away
	ProcessStopping                    // the process ends before most of its class would be done
	RetryBudgetExhausted               // attempts after a failure have used up their share
	AttemptsExhausted                  // it has had all its attempts
	MayHaveRun                         // it must not run twice, and it may have run
	DeadlineExceeded                   // its deadline has come
	NoCapableWorker                    // no worker can use it
	UnknownClass                       // its class is unknown
)

var reasonNames = [...]string{"", "no_token", "overload", "ending", "retry_budget", "attempts",
	"may_have_run", "deadline", "unusable", "unknown_class"}

// String returns the reason as traces and figures name it, empty for NoReason.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return ""
}

// rejectReason tells why a request has no further attempt.
func (d *Dispatcher) rejectReason(r *request) Reason {
	most := d.cfg.Limits.MaxAttempts
	ran := slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan() })
	switch {
	case d.now >= r.deadline:
		return DeadlineExceeded
	case r.missesTarget:
		return Overload
	case r.class.Effect == Unsafe && ran:
		return MayHaveRun
	case most > 0 && len(r.attempts) >= most:
		return AttemptsExhausted
	case len(r.attempts) > 0 && d.retryCredit < 1:
		return RetryBudgetExhausted
	}
	return NoFreeToken
}

// TokensInUse returns how many tokens of a worker are out, and how many it may have out.
func (d *Dispatcher) TokensInUse(id WorkerID) (held, limit int) {
	w := cmp.Or(d.workers[id], &worker{})
	return w.InUse, w.Limit
}

// MeanRunTimes returns the mean times from a start to the answer, by class.
func (d *Dispatcher) MeanRunTimes() []time.Duration {
	out := make([]time.Duration, len(d.meanRun))
	for i, s := range d.meanRun {
		out[i] = time.Duration(s * float64(time.Second))
	}
	return out
}

// LatencyTarget returns how long a request of the class may take and be in time, if it ran for
// so long.
func (c *Class) LatencyTarget(run time.Duration) time.Duration {
	return c.Objective + time.Duration(c.Stretch*float64(run))
}

// Health returns what has been found of a worker's health. It changes nothing.
func (d *Dispatcher) Health(id WorkerID) Health {
	w := cmp.Or(d.workers[id], &worker{})
	h := w.Health
	h.Load = w.load.Learned()
	return h
}

// Unavailable returns how many listed workers get no new work now. It changes nothing.
func (d *Dispatcher) Unavailable(now time.Duration) (n int) {
	for _, w := range d.listed {
		if w.State != Ready || w.overdue > 0 || now < w.RestUntil || now < w.excludedUntil && !w.Reinstated {
			n++
		}
	}
	return n
}

// PriorAttempts returns what is known of a request's attempts. It changes nothing.
func (d *Dispatcher) PriorAttempts(id RequestID) (past []AttemptRecord) {
	if r := d.requests[id]; r != nil {
		for _, a := range r.attempts {
			past = append(past, a.AttemptRecord)
		}
	}
	return past
}
