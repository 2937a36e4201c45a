package placement

import "time"

// health is what the ends of its runs say of a runner.
type health struct {
	failureRate           float64 // share of failed ends, newer ones counting more
	outcomes              int
	consecutiveFailedJobs int           // jobs with failures since the last end that was none
	lastFailedJob         string        // of the newest failure
	lastFailure           time.Duration // of the newest failure
	probation             bool          // it was suspect, and has ended nothing well since
}

const (
	// outcomeWeight is how much a new end counts.
	outcomeWeight = 0.2
	// ejectFailureRate is the share of failures from which a runner is suspect, once it has some ends. Tasks that
	// fail through their own fault are far fewer.
	ejectFailureRate = 0.35
	ejectMinOutcomes = 5
	// ejectConsecutiveJobs is how many jobs have to fail one after the other to make a runner suspect. Failures of one
	// job count once, as they may be its own fault; where one task in twenty fails through its own fault, two jobs in
	// a row are more likely the runner's.
	ejectConsecutiveJobs = 2
	// ejectionTime is how long after its last failure a suspect is tried again, by one task at a time.
	ejectionTime = 4 * time.Second
	// maxEjectedFraction is the share of a service's runners that may be out on suspicion. Where more are suspect, the
	// fault is not theirs, and none is.
	maxEjectedFraction = 1.0 / 3
)

// recordOutcome takes an end into account.
func (h *health) recordOutcome(job string, failed bool, now time.Duration) {
	value := 0.0
	switch {
	case !failed:
		h.consecutiveFailedJobs, h.probation, h.lastFailedJob = 0, false, ""
	case job == h.lastFailedJob:
		h.lastFailure = now
		return
	default:
		value, h.lastFailure, h.lastFailedJob = 1, now, job
		h.consecutiveFailedJobs++
	}
	h.outcomes++
	h.failureRate += (value - h.failureRate) * outcomeWeight
	if h.unhealthy() {
		h.probation = true
	}
}

// unhealthy tells whether the ends say that a runner fails what it is given.
func (h *health) unhealthy() bool {
	return h.consecutiveFailedJobs >= ejectConsecutiveJobs || h.outcomes >= ejectMinOutcomes && h.failureRate >= ejectFailureRate
}

// degraded tells whether the newest ends speak against a runner; of one that is not, no task is kept.
func (h *health) degraded() bool { return h.probation || h.consecutiveFailedJobs > 0 }

// ejected tells whether a runner is to be left alone for now.
func (h *health) ejected(now time.Duration) bool {
	return h.probation && now-h.lastFailure < ejectionTime
}

// recentlyFailed tells whether a runner's newest end was a failure: it may be the first of many.
func (h *health) recentlyFailed(now time.Duration) bool {
	return h.consecutiveFailedJobs > 0 && now-h.lastFailure < ejectionTime
}

// Ejected tells whether a runner fails what it is given.
func (r *Runner) Ejected(now time.Duration) bool { return r.health.ejected(now) }

// healthyFor tells whether a runner may take a task as far as its trust goes. A task that has one attempt left,
// or that the runner has failed, waits for one whose newest end was none that failed.
func (r *Runner) healthyFor(req *Request, now time.Duration) bool {
	switch {
	case r.health.ejected(now):
		return false
	case r.health.probation:
		return len(r.reservations) == 0 && !req.LastAttempt && !req.Gang
	case req.LastAttempt || req.Avoid == r.ID:
		return !r.health.recentlyFailed(now)
	default:
		return true
	}
}

// ejectionApplies tells whether suspicion keeps runners from a task: not where too many of those that could
// take it are suspect, so that the fault is hardly theirs, nor where there is but one.
func (f *Fleet) ejectionApplies(req *Request, now time.Duration) bool {
	p := f.pools[req.Service]
	if p == nil || p.degraded == 0 {
		return false
	}
	eligible, ejected := 0, 0
	for _, r := range p.all {
		if !r.Usable || !r.eligible(req) {
			continue
		}
		eligible++
		if r.health.ejected(now) {
			ejected++
		}
	}
	return eligible > 1 && ejected <= max(1, int(maxEjectedFraction*float64(eligible)))
}
