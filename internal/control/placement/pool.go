package placement

import "slices"

// pool is the runners of a service. Beside them it keeps what every choice asks for, so that the cost of a choice
// depends on the runners that have capacity free, not on all.
type pool struct {
	all       []*Runner
	available []*Runner // usable, with free tokens; in no order
	free      Resources // of the usable ones together
	degraded  int       // runners whose newest outcomes speak against them
}

// notAvailable is the availableIndex of a runner that is not among the available ones of its pool.
const notAvailable = -1

// update applies a change to a runner and keeps the totals of its pool. Whatever the totals are made of changes only
// here.
func (f *Fleet) update(r *Runner, mutate func()) {
	f.removeFromTotals(r)
	mutate()
	f.addToTotals(r)
}

// removeFromTotals takes a runner out of the totals of its pool.
func (f *Fleet) removeFromTotals(r *Runner) {
	p := f.pools[r.Service]
	if p == nil {
		return
	}
	if r.Usable {
		p.free = p.free.Minus(r.Free())
	}
	if r.health.degraded() {
		p.degraded--
	}
	if r.availableIndex == notAvailable {
		return
	}
	last := p.available[len(p.available)-1]
	p.available[r.availableIndex], last.availableIndex = last, r.availableIndex
	p.available = slices.Delete(p.available, len(p.available)-1, len(p.available))
	r.availableIndex = notAvailable
}

// addToTotals adds a runner to the totals of its pool.
func (f *Fleet) addToTotals(r *Runner) {
	p := f.pools[r.Service]
	if p == nil {
		return
	}
	if r.Usable {
		p.free = p.free.Plus(r.Free())
	}
	if r.health.degraded() {
		p.degraded++
	}
	if r.Usable && r.tokens.Free > 0 {
		r.availableIndex = len(p.available)
		p.available = append(p.available, r)
	}
}

// addToPool adds a runner to the pool of a service, and sets its service.
func (f *Fleet) addToPool(r *Runner, service string) {
	p := f.pools[service]
	if p == nil {
		p = &pool{}
		f.pools[service] = p
	}
	p.all = append(p.all, r)
	r.Service = service
}

// removeFromPool removes a runner from the pool of its service, and the pool with its last runner.
func (f *Fleet) removeFromPool(r *Runner) {
	p := f.pools[r.Service]
	if p == nil {
		return
	}
	p.all = slices.DeleteFunc(p.all, func(o *Runner) bool { return o == r })
	if len(p.all) == 0 {
		delete(f.pools, r.Service)
	}
}

// ServiceRunners returns the runners of a service; callers only read the slice.
func (f *Fleet) ServiceRunners(service string) []*Runner {
	if p := f.pools[service]; p != nil {
		return p.all
	}
	return nil
}

// FreeCapacity returns what the usable runners of a service have free together.
func (f *Fleet) FreeCapacity(service string) Resources {
	if p := f.pools[service]; p != nil {
		return p.free
	}
	return Resources{}
}

// MaxFree returns, of each resource by itself, the most that one available runner of a service has free.
func (f *Fleet) MaxFree(service string) (largest Resources) {
	p := f.pools[service]
	if p == nil {
		return Resources{}
	}
	for _, r := range p.available {
		largest = largest.Max(r.Free())
	}
	return largest
}

// HasEligibleRunner reports whether a usable runner of a rack could take a task if nothing else ran on it.
func (f *Fleet) HasEligibleRunner(req *Request, rack string) bool {
	return slices.ContainsFunc(f.ServiceRunners(req.Service), func(r *Runner) bool { return r.Usable && r.Rack == rack && r.eligible(req) })
}

// AnyDegraded reports whether the newest outcomes speak against some runner of a service.
func (f *Fleet) AnyDegraded(service string) bool {
	p := f.pools[service]
	return p != nil && p.degraded > 0
}
