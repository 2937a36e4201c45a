package placement

import (
	"cmp"
	"time"
)

// candidateRank orders the runners that fit a request. The first field that differs decides; false
// is better than true and the smaller number better than the greater.
type candidateRank struct {
	avoided        bool // the task last failed on this runner
	ejected        bool // see health.ejected; matters only where ejection is not enforced
	risky          bool // recentlyFailed, and this is the last attempt of the task
	remote         bool // the task's data is in another rack
	recentlyFailed bool // see health.recentlyFailed
	fragmentation  int  // see Runner.fragmentation
}

// rank returns the rank of the runner for a request at a time.
func (r *Runner) rank(req *Request, now time.Duration) candidateRank {
	recentlyFailed := r.health.recentlyFailed(now)
	return candidateRank{
		avoided:        req.Avoid == r.ID,
		ejected:        r.health.ejected(now),
		risky:          req.LastAttempt && recentlyFailed,
		remote:         req.Affinity != "" && r.Rack != req.Affinity,
		recentlyFailed: recentlyFailed,
		fragmentation:  r.fragmentation(req),
	}
}

// fragmentation returns 1 if the task needs some but not all GPUs of a runner whose GPUs are all
// free, and 0 otherwise. It keeps such runners whole for tasks that need all GPUs of a runner.
func (r *Runner) fragmentation(req *Request) int {
	if req.Demand.GPUs == 0 || req.Demand.GPUs == r.Capacity.GPUs || r.used.GPUs > 0 {
		return 0
	}
	return 1
}

// compare returns a negative number if c is better than o, 0 if they are equal and a positive one
// if c is worse.
func (c candidateRank) compare(o candidateRank) int {
	return cmp.Or(
		compareBool(c.avoided, o.avoided),
		compareBool(c.ejected, o.ejected),
		compareBool(c.risky, o.risky),
		compareBool(c.remote, o.remote),
		compareBool(c.recentlyFailed, o.recentlyFailed),
		cmp.Compare(c.fragmentation, o.fragmentation),
	)
}

// compareBool compares two values as cmp.Compare does, with false less than true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// compareTokens orders runners of equal rank: first those with free tokens, by the time since when the
// oldest one is free, and then the others by the share of their tokens that is in use, which is above 1
// where many small tasks run. It returns a negative number if r comes first.
func (r *Runner) compareTokens(o *Runner) int {
	switch rFree, oFree := r.tokens.Free > 0, o.tokens.Free > 0; {
	case rFree && oFree:
		return cmp.Compare(r.tokens.OldestPosition(), o.tokens.OldestPosition())
	case rFree || oFree:
		return compareBool(!rFree, !oFree)
	default:
		return cmp.Or(cmp.Compare(r.tokens.InUse*o.tokens.Limit, o.tokens.InUse*r.tokens.Limit), cmp.Compare(r.ID, o.ID))
	}
}

// Pick returns the best feasible runner for a task, or nil if no runner is feasible. Among runners
// of equal rank it returns the first by compareTokens. It reserves nothing.
func (f *Fleet) Pick(req *Request, now time.Duration) *Runner {
	p := f.pools[req.Service]
	if p == nil {
		return nil
	}
	var best *Runner
	var bestRank candidateRank
	enforceEjection := f.ejectionApplies(req, now)
	for _, r := range p.candidates(req.Demand) {
		if !r.fits(req) || enforceEjection && !r.healthyFor(req, now) {
			continue
		}
		rank := r.rank(req, now)
		if best != nil && cmp.Or(rank.compare(bestRank), r.compareTokens(best)) >= 0 {
			continue
		}
		best, bestRank = r, rank
	}
	return best
}
