// Package placement decides which runner a ready task goes to, or that it waits. Every runner has one
// account: tokens counted from its capacity, whose release order decides between runners that fit
// equally well, and beside them the exact room in processor, memory and GPUs. It is pure and knows
// neither jobs' records nor messages.
package placement

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/bucket"
)

// Resources is what a task asks for or a runner has.
type Resources struct {
	CPU   int64 `json:"cpu"` // thousandths of a core
	MemMB int64 `json:"mem_mb"`
	GPUs  int64 `json:"gpus"`
}

// Fits tells whether a demand fits into free room.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemMB <= free.MemMB && r.GPUs <= free.GPUs
}

// Times returns a number of times the resources.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * int64(n), MemMB: r.MemMB * int64(n), GPUs: r.GPUs * int64(n)}
}

// Plus returns the sum of two.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemMB: r.MemMB + o.MemMB, GPUs: r.GPUs + o.GPUs}
}

// Minus returns the difference of two.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemMB: r.MemMB - o.MemMB, GPUs: r.GPUs - o.GPUs}
}

// Group names what AntiAffinity counts over: a step of one time of a job.
type Group struct {
	Job              string
	Occurrence, Step int
}

// Reservation is what a run holds of its runner until its end is known.
type Reservation struct {
	Demand Resources
	Group  Group
	tokens int
}

// Runner is the one account of a runner.
type Runner struct {
	ID       string
	Service  string
	Rack     string // the label that names its rack
	Labels   []string
	Capacity Resources
	Usable   bool // it may be sent tasks now; SetUsable changes it

	tokens         bucket.Account[*Runner]
	used           Resources
	reservations   map[string]Reservation // by run: task's name
	groups         map[Group]int
	health         health
	availableIndex int // its place among the open ones of its pool, or notOpen
}

// Used returns what runs hold of the runner.
func (r *Runner) Used() Resources { return r.used }

// Free returns the room that is left.
func (r *Runner) Free() Resources { return r.Capacity.Minus(r.used) }

// ReservationCount returns how many runs hold a part of the runner.
func (r *Runner) ReservationCount() int { return len(r.reservations) }

// HasReservation tells whether a task's run holds a part of the runner.
func (r *Runner) HasReservation(task string) bool {
	_, ok := r.reservations[task]
	return ok
}

const (
	// tokenCPU is the processor time that a token stands for, in thousandths of a core. It is below what
	// the smallest tasks ask for, so that rounding wastes nothing.
	tokenCPU = 50
	// minTokens and mostTokens bound a runner's tokens.
	minTokens = 8
	maxTokens = 4096
)

// Fleet is all runners. It is not safe for concurrent use.
type Fleet struct {
	runners map[string]*Runner
	pools   map[string]*pool // by service
	bucket  *bucket.Bucket[*Runner]
	changes uint64
}

// NewFleet returns a fleet without runners.
func NewFleet() *Fleet {
	return &Fleet{runners: make(map[string]*Runner), pools: make(map[string]*pool), bucket: bucket.New[*Runner]()}
}

// Changes returns a number that rises whenever something has changed by which a task that was blocked may be
// placed. While it stands still, and no time passes, nothing that was blocked can be placed.
func (f *Fleet) Changes() uint64 { return f.changes }

// SetUsable says whether a runner may be sent tasks now.
func (f *Fleet) SetUsable(r *Runner, usable bool) {
	if r.Usable != usable {
		f.update(r, func() { r.Usable = usable })
		f.changes++
	}
}

// Runner returns a runner, nil if it is not known.
func (f *Fleet) Runner(id string) *Runner { return f.runners[id] }

// Each calls do with every runner, in no order.
func (f *Fleet) Each(visit func(*Runner)) {
	for _, r := range f.runners {
		visit(r)
	}
}

// Add makes an account for a runner that is known only by its id.
func (f *Fleet) Add(id string) *Runner {
	if r := f.runners[id]; r != nil {
		return r
	}
	r := &Runner{ID: id, reservations: make(map[string]Reservation), groups: make(map[Group]int), availableIndex: notAvailable}
	f.runners[id] = r
	return r
}

// UpdateRunner notes what a runner says of itself.
func (f *Fleet) UpdateRunner(r *Runner, service, rack string, labels []string, capacity Resources) {
	if r.Service == service && r.Rack == rack && r.Capacity == capacity && slices.Equal(r.Labels, labels) {
		return
	}
	f.changes++
	f.update(r, func() {
		if r.Service != service {
			f.removeFromPool(r)
			f.addToPool(r, service)
		}
		r.Rack, r.Labels = rack, labels
		if r.Capacity != capacity {
			r.Capacity = capacity
			f.bucket.SetLimit(&r.tokens, r, tokensOf(capacity))
			f.recountTokens(r)
		}
	})
}

// tokensOf returns how many tokens a capacity is worth.
func tokensOf(c Resources) int { return int(min(max(c.CPU/tokenCPU, minTokens), maxTokens)) }

// recountTokens gives the runs that a runner has the tokens that its capacity says.
func (f *Fleet) recountTokens(r *Runner) {
	for _, task := range slices.Sorted(maps.Keys(r.reservations)) {
		reservation := r.reservations[task]
		f.bucket.Release(&r.tokens, r, reservation.tokens)
		reservation.tokens = r.tokensFor(reservation.Demand)
		f.bucket.Acquire(&r.tokens, reservation.tokens)
		r.reservations[task] = reservation
	}
}

// tokensFor returns how many of a runner's tokens a demand takes: by its processor time, rounded down.
// Memory and GPUs are accounted for exactly beside the tokens; counted in tokens too, tasks that ask for
// much of one and tasks that ask for much of another would keep each other out of a runner with room for
// both.
func (r *Runner) tokensFor(demand Resources) int {
	return min(max(1, int(demand.CPU/tokenCPU)), max(1, r.tokens.Limit))
}

// Remove drops a runner, with its free tokens.
func (f *Fleet) Remove(id string) {
	r := f.runners[id]
	if r == nil {
		return
	}
	f.changes++
	f.removeFromTotals(r)
	f.bucket.Remove(&r.tokens, r.tokens.Free)
	f.removeFromPool(r)
	delete(f.runners, id)
}

// Reserve gives a part of a runner to a task's run.
func (f *Fleet) Reserve(r *Runner, task string, demand Resources, group Group) {
	if r.HasReservation(task) {
		return
	}
	reservation := Reservation{Demand: demand, Group: group, tokens: r.tokensFor(demand)}
	f.update(r, func() {
		f.bucket.Acquire(&r.tokens, reservation.tokens)
		r.reservations[task] = reservation
		r.used = r.used.Plus(demand)
	})
	r.groups[group]++
}

// Release gives back what a task's run held: its end is known.
func (f *Fleet) Release(r *Runner, task string) {
	reservation, ok := r.reservations[task]
	if !ok {
		return
	}
	f.changes++
	f.update(r, func() {
		delete(r.reservations, task)
		f.bucket.Release(&r.tokens, r, reservation.tokens)
		r.used = r.used.Minus(reservation.Demand)
	})
	if r.groups[reservation.Group]--; r.groups[reservation.Group] == 0 {
		delete(r.groups, reservation.Group)
	}
}

// RecordOutcome notes how a run on a runner ended, for the choice between runners.
func (f *Fleet) RecordOutcome(r *Runner, job string, failed bool, now time.Duration) {
	f.changes++
	f.update(r, func() { r.health.recordOutcome(job, failed, now) })
}
