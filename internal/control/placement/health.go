package placement

import "time"

const (
	// outcomeWeight is the weight of a new outcome in the moving average of failures.
	outcomeWeight = 0.2
	// ejectFailureRate is the failure rate from which a runner is ejected, once it has ejectMinOutcomes outcomes. Tasks
	// that fail through their own fault are far fewer.
	ejectFailureRate = 0.35
	ejectMinOutcomes = 5
	// ejectConsecutiveJobs is how many jobs have to fail one after the other to eject a runner. Failures of one job
	// count once, as they may be its own fault; where one task in twenty fails through its own fault, two jobs in a row
	// are more likely the runner's.
	ejectConsecutiveJobs = 2
	// ejectionTime is how long after its last failure an ejected runner is tried again, by one task at a time.
	ejectionTime = 4 * time.Second
	// maxEjectedFraction bounds the runners of a service that may be ejected. Where more fail, the fault is hardly
	// theirs, and none is ejected.
	maxEjectedFraction = 1.0 / 3
)

// Outcome is how a run ended, as far as that says something of its runner.
type Outcome int

// The outcomes of a run.
const (
	Success Outcome = iota
	Failure
)

// health is what the outcomes of its runs say of a runner: outlier detection with ejection and probation. Within
// ejectionTime of its last failure a runner on probation is ejected; afterwards it takes one task at a time until one
// succeeds.
type health struct {
	failureRate           float64 // moving average, newer outcomes counting more
	outcomes              int
	consecutiveFailedJobs int // since the last success
	lastFailedJob         string
	lastFailure           time.Duration
	probation             bool // it has been ejected, and has had no success since
}

// recordOutcome takes an outcome into account. Further failures of the job that failed last count only for the time of
// the last failure.
func (h *health) recordOutcome(job string, outcome Outcome, now time.Duration) {
	value := 0.0
	switch {
	case outcome == Success:
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

// unhealthy reports whether the outcomes are reason to eject the runner.
func (h *health) unhealthy() bool {
	return h.consecutiveFailedJobs >= ejectConsecutiveJobs || h.outcomes >= ejectMinOutcomes && h.failureRate >= ejectFailureRate
}

// degraded reports whether the newest outcomes speak against the runner. One that is not degraded takes any task.
func (h *health) degraded() bool { return h.probation || h.consecutiveFailedJobs > 0 }

// ejected reports whether the runner takes no tasks for now.
func (h *health) ejected(now time.Duration) bool {
	return h.probation && now-h.lastFailure < ejectionTime
}

// recentlyFailed reports whether the newest outcome was a failure not long ago: it may be the first of many.
func (h *health) recentlyFailed(now time.Duration) bool {
	return h.consecutiveFailedJobs > 0 && now-h.lastFailure < ejectionTime
}

// healthyFor reports whether the runner's health allows it a task. A task that has one attempt left, or that this
// runner has failed, waits for a runner whose newest outcome was no failure.
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

// ejectionApplies reports whether health keeps runners from a task. It does not where only one runner is eligible, nor
// where so many of the eligible ones are ejected that the fault is hardly theirs.
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
