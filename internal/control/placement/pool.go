package placement

import "slices"

// pool is the runners of a service. Beside the list it keeps what is asked of all of them at every choice,
// so that a choice costs by the runners that have room, not by all.
type pool struct {
	all       []*Runner
	available []*Runner // usable, with free tokens; in no order
	free      Resources // of the usable ones together
	degraded  int       // runners whose newest ends speak against them
}

// update makes a change to a runner and keeps the pools' sums true. It is the one way in which anything
// changes that the sums are made of.
func (f *Fleet) update(r *Runner, mutate func()) {
	f.removeFromTotals(r)
	mutate()
	f.addToTotals(r)
}

// removeFromTotals takes a runner out of its pool's sums.
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

// addToTotals adds a runner to its pool's sums.
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

// notAvailable is the place of a runner that is not among the open ones of its pool.
const notAvailable = -1

// addToPool puts a runner among those of a service.
func (f *Fleet) addToPool(r *Runner, service string) {
	p := f.pools[service]
	if p == nil {
		p = &pool{}
		f.pools[service] = p
	}
	p.all = append(p.all, r)
	r.Service = service
}

// removeFromPool takes a runner from those of its service.
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

// ServiceRunners returns the runners of a service.
func (f *Fleet) ServiceRunners(name string) []*Runner {
	if p := f.pools[name]; p != nil {
		return p.all
	}
	return nil
}

// FreeCapacity returns the room that the usable runners of a service have together.
func (f *Fleet) FreeCapacity(service string) Resources {
	if p := f.pools[service]; p != nil {
		return p.free
	}
	return Resources{}
}

// MaxFree returns, of each resource by itself, the most that a runner of a service that takes work has free.
func (f *Fleet) MaxFree(service string) (largest Resources) {
	p := f.pools[service]
	if p == nil {
		return Resources{}
	}
	for _, r := range p.available {
		free := r.Free()
		largest = Resources{CPU: max(largest.CPU, free.CPU), MemMB: max(largest.MemMB, free.MemMB), GPUs: max(largest.GPUs, free.GPUs)}
	}
	return largest
}

// HasEligibleRunner tells whether a usable runner of a rack could take a task if it were empty.
func (f *Fleet) HasEligibleRunner(req *Request, rack string) bool {
	return slices.ContainsFunc(f.ServiceRunners(req.Service), func(r *Runner) bool { return r.Usable && r.Rack == rack && r.eligible(req) })
}

// AnyDegraded tells whether the newest ends speak against some runner of a service.
func (f *Fleet) AnyDegraded(service string) bool {
	p := f.pools[service]
	return p != nil && p.degraded > 0
}
