package placement

import "slices"

// pool is the runners of a service. Beside the list it keeps what is asked of all of them at every choice,
// so that a choice costs by the runners that have room, not by all.
type pool struct {
	all      []*Runner
	open     []*Runner // usable, with free tokens; in no order
	free     Resources // of the usable ones together
	troubled int       // runners whose newest ends speak against them
}

// change makes a change to a runner and keeps the pools' sums true. It is the one way in which anything
// changes that the sums are made of.
func (f *Fleet) change(r *Runner, apply func()) {
	f.withdraw(r)
	apply()
	f.enter(r)
}

// withdraw takes a runner out of its pool's sums.
func (f *Fleet) withdraw(r *Runner) {
	p := f.pools[r.Service]
	if p == nil {
		return
	}
	if r.Usable {
		p.free = p.free.Minus(r.Free())
	}
	if r.trust.troubled() {
		p.troubled--
	}
	if r.openAt == notOpen {
		return
	}
	last := p.open[len(p.open)-1]
	p.open[r.openAt], last.openAt = last, r.openAt
	p.open = slices.Delete(p.open, len(p.open)-1, len(p.open))
	r.openAt = notOpen
}

// enter adds a runner to its pool's sums.
func (f *Fleet) enter(r *Runner) {
	p := f.pools[r.Service]
	if p == nil {
		return
	}
	if r.Usable {
		p.free = p.free.Plus(r.Free())
	}
	if r.trust.troubled() {
		p.troubled++
	}
	if r.Usable && r.account.Free > 0 {
		r.openAt = len(p.open)
		p.open = append(p.open, r)
	}
}

// notOpen is the place of a runner that is not among the open ones of its pool.
const notOpen = -1

// join puts a runner among those of a service.
func (f *Fleet) join(r *Runner, service string) {
	p := f.pools[service]
	if p == nil {
		p = &pool{}
		f.pools[service] = p
	}
	p.all = append(p.all, r)
	r.Service = service
}

// leave takes a runner from those of its service.
func (f *Fleet) leave(r *Runner) {
	p := f.pools[r.Service]
	if p == nil {
		return
	}
	p.all = slices.DeleteFunc(p.all, func(o *Runner) bool { return o == r })
	if len(p.all) == 0 {
		delete(f.pools, r.Service)
	}
}

// Service returns the runners of a service.
func (f *Fleet) Service(name string) []*Runner {
	if p := f.pools[name]; p != nil {
		return p.all
	}
	return nil
}

// FreeOf returns the room that the usable runners of a service have together.
func (f *Fleet) FreeOf(service string) Resources {
	if p := f.pools[service]; p != nil {
		return p.free
	}
	return Resources{}
}

// MostFree returns, of each resource by itself, the most that a runner of a service that takes work has free.
func (f *Fleet) MostFree(service string) (most Resources) {
	p := f.pools[service]
	if p == nil {
		return Resources{}
	}
	for _, r := range p.open {
		free := r.Free()
		most = Resources{CPU: max(most.CPU, free.CPU), MemMB: max(most.MemMB, free.MemMB), GPUs: max(most.GPUs, free.GPUs)}
	}
	return most
}

// HasRack tells whether a usable runner of a rack could take a task if it were empty.
func (f *Fleet) HasRack(w *Want, rack string) bool {
	return slices.ContainsFunc(f.Service(w.Service), func(r *Runner) bool { return r.Usable && r.Rack == rack && r.able(w) })
}

// Doubts tells whether the newest ends speak against some runner of a service.
func (f *Fleet) Doubts(service string) bool {
	p := f.pools[service]
	return p != nil && p.troubled > 0
}
