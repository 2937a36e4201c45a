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
func (r Resources) Fits(room Resources) bool {
	return r.CPU <= room.CPU && r.MemMB <= room.MemMB && r.GPUs <= room.GPUs
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
	Job            string
	Occasion, Step int
}

// Hold is what a run holds of its runner until its end is known.
type Hold struct {
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

	account bucket.Account[*Runner]
	used    Resources
	holds   map[string]Hold // by run: task's name
	groups  map[Group]int
	trust   trust
	openAt  int // its place among the open ones of its pool, or notOpen
}

// Used returns what runs hold of the runner.
func (r *Runner) Used() Resources { return r.used }

// Free returns the room that is left.
func (r *Runner) Free() Resources { return r.Capacity.Minus(r.used) }

// Holds returns how many runs hold a part of the runner.
func (r *Runner) Holds() int { return len(r.holds) }

// Holding tells whether a task's run holds a part of the runner.
func (r *Runner) Holding(task string) bool {
	_, ok := r.holds[task]
	return ok
}

const (
	// tokenCPU is the processor time that a token stands for, in thousandths of a core. It is below what
	// the smallest tasks ask for, so that rounding wastes nothing.
	tokenCPU = 50
	// leastTokens and mostTokens bound a runner's tokens.
	leastTokens = 8
	mostTokens  = 4096
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
		f.change(r, func() { r.Usable = usable })
		f.changes++
	}
}

// Runner returns a runner, nil if it is not known.
func (f *Fleet) Runner(id string) *Runner { return f.runners[id] }

// Each calls do with every runner, in no order.
func (f *Fleet) Each(do func(*Runner)) {
	for _, r := range f.runners {
		do(r)
	}
}

// Add makes an account for a runner that is known only by its id.
func (f *Fleet) Add(id string) *Runner {
	if r := f.runners[id]; r != nil {
		return r
	}
	r := &Runner{ID: id, holds: make(map[string]Hold), groups: make(map[Group]int), openAt: notOpen}
	f.runners[id] = r
	return r
}

// Describe notes what a runner says of itself.
func (f *Fleet) Describe(r *Runner, service, rack string, labels []string, capacity Resources) {
	if r.Service == service && r.Rack == rack && r.Capacity == capacity && slices.Equal(r.Labels, labels) {
		return
	}
	f.changes++
	f.change(r, func() {
		if r.Service != service {
			f.leave(r)
			f.join(r, service)
		}
		r.Rack, r.Labels = rack, labels
		if r.Capacity != capacity {
			r.Capacity = capacity
			f.bucket.SetLimit(&r.account, r, tokensOf(capacity))
			f.recount(r)
		}
	})
}

// tokensOf returns how many tokens a capacity is worth.
func tokensOf(c Resources) int { return int(min(max(c.CPU/tokenCPU, leastTokens), mostTokens)) }

// recount gives the runs that a runner has the tokens that its capacity says.
func (f *Fleet) recount(r *Runner) {
	for _, task := range slices.Sorted(maps.Keys(r.holds)) {
		h := r.holds[task]
		f.bucket.Release(&r.account, r, h.tokens)
		h.tokens = r.tokensFor(h.Demand)
		f.bucket.Seize(&r.account, h.tokens)
		r.holds[task] = h
	}
}

// tokensFor returns how many of a runner's tokens a demand takes: by its processor time, rounded down.
// Memory and GPUs are accounted for exactly beside the tokens; counted in tokens too, tasks that ask for
// much of one and tasks that ask for much of another would keep each other out of a runner with room for
// both.
func (r *Runner) tokensFor(demand Resources) int {
	return min(max(1, int(demand.CPU/tokenCPU)), max(1, r.account.Limit))
}

// Remove drops a runner, with its free tokens.
func (f *Fleet) Remove(id string) {
	r := f.runners[id]
	if r == nil {
		return
	}
	f.changes++
	f.withdraw(r)
	f.bucket.Take(&r.account, r.account.Free)
	f.leave(r)
	delete(f.runners, id)
}

// Hold gives a part of a runner to a task's run.
func (f *Fleet) Hold(r *Runner, task string, demand Resources, group Group) {
	if r.Holding(task) {
		return
	}
	h := Hold{Demand: demand, Group: group, tokens: r.tokensFor(demand)}
	f.change(r, func() {
		f.bucket.Seize(&r.account, h.tokens)
		r.holds[task] = h
		r.used = r.used.Plus(demand)
	})
	r.groups[group]++
}

// Release gives back what a task's run held: its end is known.
func (f *Fleet) Release(r *Runner, task string) {
	h, ok := r.holds[task]
	if !ok {
		return
	}
	f.changes++
	f.change(r, func() {
		delete(r.holds, task)
		f.bucket.Release(&r.account, r, h.tokens)
		r.used = r.used.Minus(h.Demand)
	})
	if r.groups[h.Group]--; r.groups[h.Group] == 0 {
		delete(r.groups, h.Group)
	}
}

// Trouble notes how a run on a runner ended, for the choice between runners.
func (f *Fleet) Trouble(r *Runner, job string, failed bool, now time.Duration) {
	f.changes++
	f.change(r, func() { r.trust.note(job, failed, now) })
}
