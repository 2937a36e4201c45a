package placement

import "time"

const (
	// outcomeWeight is the weight of a new outcome in the exponential moving average of failures.
	outcomeWeight = 0.2
	// ejectFailureRate is the failure rate from which a runner is ejected, provided that it has at
	// least ejectMinOutcomes outcomes. Far fewer tasks fail through their own fault.
	ejectFailureRate = 0.35
	ejectMinOutcomes = 5
	// ejectConsecutiveJobs is the number of jobs that have to fail consecutively on a runner to
	// eject it. Consecutive failures of the same job count once, because they may be its own fault.
	// If one task in twenty fails through its own fault, failures of two jobs in a row are more
	// likely caused by the runner.
	ejectConsecutiveJobs = 2
	// ejectionTime is the time after its last failure for which a runner on probation is ejected.
	// After that it gets one task at a time.
	ejectionTime = 4 * time.Second
	// maxEjectedFraction is the largest fraction of the eligible runners for which ejection is
	// enforced. If more are ejected, the cause is unlikely to be in the runners, and ejection is
	// ignored.
	maxEjectedFraction = 1.0 / 3
)

// Outcome is the result of a run, as far as it is evidence about the health of the runner.
type Outcome int

// The outcomes of a run. A run that ended in another way, such as one that was stopped, has none.
const (
	Success Outcome = iota
	Failure
)

// health detects from the outcomes of its runs that a runner is an outlier. An unhealthy runner is
// put on probation: it is ejected for ejectionTime after its last failure, and then gets one task
// at a time until a success leaves it healthy. While its failure rate is at least ejectFailureRate,
// a success does not end the probation.
type health struct {
	failureRate           float64 // exponential moving average, from 0 to 1
	outcomeCount          int
	consecutiveFailedJobs int // since the last success
	lastFailedJob         string
	lastFailure           time.Duration
	probation             bool // became unhealthy, and no success since has left it healthy
}

// recordOutcome updates the health with an outcome. A repeated failure of the job that failed last
// only updates the time of the last failure.
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
	h.outcomeCount++
	h.failureRate += (value - h.failureRate) * outcomeWeight
	if h.unhealthy() {
		h.probation = true
	}
}

// unhealthy reports whether the recorded outcomes justify ejecting the runner.
func (h *health) unhealthy() bool {
	return h.consecutiveFailedJobs >= ejectConsecutiveJobs || h.outcomeCount >= ejectMinOutcomes && h.failureRate >= ejectFailureRate
}

// degraded reports whether the newest outcome was a failure or the runner is on probation. A runner
// that is not degraded takes any task.
func (h *health) degraded() bool { return h.probation || h.consecutiveFailedJobs > 0 }

// ejected reports whether the runner is on probation and failed less than ejectionTime ago, so that
// it gets no tasks.
func (h *health) ejected(now time.Duration) bool {
	return h.probation && now-h.lastFailure < ejectionTime
}

// recentlyFailed reports whether the newest outcome was a failure less than ejectionTime ago. It
// may be the first of many.
func (h *health) recentlyFailed(now time.Duration) bool {
	return h.consecutiveFailedJobs > 0 && now-h.lastFailure < ejectionTime
}

// healthyFor reports whether the runner's health permits a task. A runner on probation gets one
// task at a time, but neither a last attempt nor a member of a gang. A last attempt, or a task that
// last failed on this runner, is not assigned to it while its newest outcome is a recent failure.
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

// ejectionApplies reports whether the health of runners restricts the choice for a task. It does
// not if only one runner is eligible, or if more than maxEjectedFraction of the eligible ones are
// ejected; one ejected runner is always permitted.
func (f *Fleet) ejectionApplies(req *Request, now time.Duration) bool {
	p := f.pools[req.Service]
	if p == nil || p.degraded == 0 {
		return false
	}
	eligible, ejected := 0, 0
	for _, r := range p.runners {
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
