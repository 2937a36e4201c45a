package placement

import "slices"

// pool holds the runners of a service. It also keeps the totals and the available runners up to
// date, so that the cost of a choice depends on the number of runners with free CPU, not on the number
// of all runners, unless one of them is degraded or a task needs no CPU.
type pool struct {
	runners   []*Runner
	available []*Runner // usable runners with free CPU, in no particular order
	free      Resources // sum over the usable runners
	degraded  int       // number of degraded runners, see health.degraded
}

// notAvailable is the availableIndex of a runner that is not in pool.available.
const notAvailable = -1

// candidates returns the runners that may have room for a demand.
func (p *pool) candidates(demand Resources) []*Runner {
	if demand.CPU > 0 {
		return p.available
	}
	return p.runners
}

// update applies a change to a runner and updates the totals of its pool. Every change of a value
// that the totals are computed from must go through it.
func (f *Fleet) update(r *Runner, mutate func()) {
	f.removeFromTotals(r)
	mutate()
	f.addToTotals(r)
}

// removeFromTotals subtracts a runner from the totals of its pool and removes it from the available
// runners.
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

// addToTotals adds a runner to the totals of its pool and, if it has free CPU, to the available
// runners.
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
	if r.Usable && r.Free().CPU > 0 {
		r.availableIndex = len(p.available)
		p.available = append(p.available, r)
	}
}

// addToPool adds a runner to the pool of a service, which it creates if needed, and sets the
// runner's service.
func (f *Fleet) addToPool(r *Runner, service string) {
	p := f.pools[service]
	if p == nil {
		p = &pool{}
		f.pools[service] = p
	}
	p.runners = append(p.runners, r)
	r.Service = service
}

// removeFromPool removes a runner from the pool of its service, and the pool once it is empty.
func (f *Fleet) removeFromPool(r *Runner) {
	p := f.pools[r.Service]
	if p == nil {
		return
	}
	p.runners = slices.DeleteFunc(p.runners, func(o *Runner) bool { return o == r })
	if len(p.runners) == 0 {
		delete(f.pools, r.Service)
	}
}

// ServiceRunners returns the runners of a service, usable or not. The caller must not modify the
// slice.
func (f *Fleet) ServiceRunners(service string) []*Runner {
	if p := f.pools[service]; p != nil {
		return p.runners
	}
	return nil
}

// FreeCapacity returns the total free capacity of the usable runners of a service.
func (f *Fleet) FreeCapacity(service string) Resources {
	if p := f.pools[service]; p != nil {
		return p.free
	}
	return Resources{}
}

// MaxFree returns for each resource separately the most that any single usable runner of a service has
// free. It considers the runners that may have room for a demand: those with free CPU if it needs any.
func (f *Fleet) MaxFree(service string, demand Resources) (largest Resources) {
	p := f.pools[service]
	if p == nil {
		return Resources{}
	}
	for _, r := range p.candidates(demand) {
		if r.Usable {
			largest = largest.Max(r.Free())
		}
	}
	return largest
}

// HasEligibleRunner reports whether a usable runner of a rack could take a task if it had no runs.
func (f *Fleet) HasEligibleRunner(req *Request, rack string) bool {
	return slices.ContainsFunc(f.ServiceRunners(req.Service), func(r *Runner) bool { return r.Usable && r.Rack == rack && r.eligible(req) })
}

// AnyDegraded reports whether a runner of a service is degraded: its newest outcome was a failure,
// or it is on probation.
func (f *Fleet) AnyDegraded(service string) bool {
	p := f.pools[service]
	return p != nil && p.degraded > 0
}
