package placement

import (
	"cmp"
	"slices"
	"time"
)

// Request is what a task asks of a runner.
type Request struct {
	Service      string
	Demand       Resources
	Requirement  string // label that the runner must have
	Affinity     string // rack where the data lies
	AntiAffinity int    // most tasks of the group on a runner, 0 for no bound
	Group        Group
	Avoid        string // runner that failed the task last
	LastAttempt  bool   // another failure would fail the job
	Gang         bool   // it is a member of a gang
	Rack         string // only runners of this rack, where set
}

// fits tells whether a runner may take a task now.
func (r *Runner) fits(req *Request) bool {
	return r.Usable && r.tokens.Free >= r.tokensFor(req.Demand) && req.Demand.Fits(r.Free()) &&
		(req.Requirement == "" || slices.Contains(r.Labels, req.Requirement)) &&
		(req.Rack == "" || r.Rack == req.Rack) &&
		(req.AntiAffinity == 0 || r.groups[req.Group] < req.AntiAffinity)
}

// eligible tells whether a runner could take a task if it were empty.
func (r *Runner) eligible(req *Request) bool {
	return req.Demand.Fits(r.Capacity) && (req.Requirement == "" || slices.Contains(r.Labels, req.Requirement))
}

// candidateRank orders compatible runners: lower is better. Tokens' order decides between equals.
type candidateRank struct {
	avoided        bool // it failed this very task
	ejected        bool // it fails what it is given
	risky          bool // its newest run failed, and the task has no further attempt
	remote         bool // the data lies in another rack
	recentlyFailed bool // its newest run failed
	fragmentation  int  // how badly it fits: whole runners are kept free for those that need them
}

func (r *Runner) rank(req *Request, now time.Duration) candidateRank {
	return candidateRank{avoided: req.Avoid == r.ID, ejected: r.health.ejected(now), risky: req.LastAttempt && r.health.recentlyFailed(now), recentlyFailed: r.health.recentlyFailed(now), remote: req.Affinity != "" && r.Rack != req.Affinity, fragmentation: r.fragmentation(req)}
}

// fragmentation says how badly a task with GPUs fits: 0 on a runner whose GPUs are in use already or that it
// fills, 1 on one that it would break up for tasks that want all of it.
func (r *Runner) fragmentation(req *Request) int {
	if req.Demand.GPUs == 0 || req.Demand.GPUs == r.Capacity.GPUs || r.used.GPUs > 0 {
		return 0
	}
	return 1
}

func (c candidateRank) compare(o candidateRank) int {
	return cmp.Or(compareBool(c.avoided, o.avoided), compareBool(c.ejected, o.ejected), compareBool(c.risky, o.risky), compareBool(c.remote, o.remote),
		compareBool(c.recentlyFailed, o.recentlyFailed), cmp.Compare(c.fragmentation, o.fragmentation))
}

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

// Pick returns the runner that a task goes to: of the compatible ones those of the best class, of these
// the one whose tokens have been free longest; nil where the task is blocked.
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
		c := r.rank(req, now)
		if best != nil {
			if d := cmp.Or(c.compare(bestRank), cmp.Compare(r.tokens.OldestPosition(), best.tokens.OldestPosition())); d >= 0 {
				continue
			}
		}
		best, bestRank = r, c
	}
	return best
}

// PickGang returns a runner for each of a gang's tasks, nil where they can't all be placed now. The runs
// are named by the caller; nothing is held afterwards.
func (f *Fleet) PickGang(req *Request, tasks []string, sameRack bool, now time.Duration) []*Runner {
	if !sameRack {
		return f.pickGangIn(req, tasks, now)
	}
	for _, rack := range f.racks(req) {
		rackRequest := *req
		rackRequest.Rack = rack
		if picked := f.pickGangIn(&rackRequest, tasks, now); picked != nil {
			return picked
		}
	}
	return nil
}

// racks returns the racks of a service, where the data lies first.
func (f *Fleet) racks(req *Request) (racks []string) {
	for _, r := range f.ServiceRunners(req.Service) {
		if !slices.Contains(racks, r.Rack) {
			racks = append(racks, r.Rack)
		}
	}
	slices.SortFunc(racks, func(a, b string) int {
		return cmp.Or(compareBool(a != req.Affinity, b != req.Affinity), cmp.Compare(a, b))
	})
	return racks
}

// pickGangIn returns a runner for each task, nil where there is no room for all of them. What can't be placed
// leaves the order of the free tokens as it was.
func (f *Fleet) pickGangIn(req *Request, tasks []string, now time.Duration) []*Runner {
	if !f.fitsAll(req, len(tasks), now) {
		return nil
	}
	picked := make([]*Runner, 0, len(tasks))
	for _, task := range tasks {
		r := f.Pick(req, now)
		f.Reserve(r, task, req.Demand, req.Group)
		picked = append(picked, r)
	}
	for i, r := range picked {
		f.Release(r, tasks[i])
	}
	return picked
}

// fitsAll tells whether a number of tasks that ask for the same can be placed at once.
func (f *Fleet) fitsAll(req *Request, count int, now time.Duration) bool {
	p := f.pools[req.Service]
	if p == nil {
		return false
	}
	enforceEjection := f.ejectionApplies(req, now)
	slots := 0
	for _, r := range p.available {
		if r.fits(req) && (!enforceEjection || r.healthyFor(req, now)) {
			slots += r.slotsFor(req)
		}
		if slots >= count {
			return true
		}
	}
	return false
}

// slotsFor returns how many tasks that ask for the same a compatible runner can take.
func (r *Runner) slotsFor(req *Request) int {
	slots, free := r.tokens.Free/r.tokensFor(req.Demand), r.Free()
	for _, resource := range [...]struct{ free, demand int64 }{{free.CPU, req.Demand.CPU}, {free.MemMB, req.Demand.MemMB}, {free.GPUs, req.Demand.GPUs}} {
		if resource.demand > 0 {
			slots = min(slots, int(resource.free/resource.demand))
		}
	}
	if req.AntiAffinity > 0 {
		slots = min(slots, req.AntiAffinity-r.groups[req.Group])
	}
	return slots
}
