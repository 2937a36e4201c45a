package placement

import (
	"cmp"
	"time"
)

// candidateRank orders the runners that fit a request; the first field that differs decides, and false or less is
// better.
type candidateRank struct {
	avoided        bool // it failed this very task last
	ejected        bool // it fails what it is given
	risky          bool // its newest run failed, and the task has no further attempt
	remote         bool // the data lies in another rack
	recentlyFailed bool // its newest run failed
	fragmentation  int  // see Runner.fragmentation
}

// rank returns the rank of the runner for a request.
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

// fragmentation returns 1 where a task with GPUs would break up a runner whose GPUs are all free, and 0 otherwise.
// Runners whose GPUs are all free are kept for tasks that ask for all of them.
func (r *Runner) fragmentation(req *Request) int {
	if req.Demand.GPUs == 0 || req.Demand.GPUs == r.Capacity.GPUs || r.used.GPUs > 0 {
		return 0
	}
	return 1
}

// compare is negative where c is the better rank.
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

// compareBool orders false before true.
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

// Pick returns the runner that a task goes to, nil where none is feasible: the best by rank, and of equal ones the one
// with the token that has been free longest.
func (f *Fleet) Pick(req *Request, now time.Duration) *Runner {
	p := f.pools[req.Service]
	if p == nil {
		return nil
	}
	var best *Runner
	var bestRank candidateRank
	enforceEjection := f.ejectionApplies(req, now)
	for _, r := range p.available {
		if !r.fits(req) || enforceEjection && !r.healthyFor(req, now) {
			continue
		}
		rank := r.rank(req, now)
		if best != nil && cmp.Or(rank.compare(bestRank), cmp.Compare(r.tokens.OldestPosition(), best.tokens.OldestPosition())) >= 0 {
			continue
		}
		best, bestRank = r, rank
	}
	return best
}
