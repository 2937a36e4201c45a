package placement

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/bucket"
)

// Fleet is all runners of a system. It is not safe for concurrent use.
type Fleet struct {
	runners map[string]*Runner      // by id
	pools   map[string]*pool        // by service
	bucket  *bucket.Bucket[*Runner] // the ring of free tokens of all runners
	changes uint64
}

// NewFleet returns a fleet without runners.
func NewFleet() *Fleet {
	return &Fleet{runners: make(map[string]*Runner), pools: make(map[string]*pool), bucket: bucket.New[*Runner]()}
}

// Changes returns a number that rises with every change that may let a blocked task fit. While it stays the same, and
// no time passes, nothing fits that did not fit.
func (f *Fleet) Changes() uint64 { return f.changes }

// SetUsable sets whether a runner may be assigned tasks now.
func (f *Fleet) SetUsable(r *Runner, usable bool) {
	if r.Usable != usable {
		f.update(r, func() { r.Usable = usable })
		f.changes++
	}
}

// Add returns the runner with an id, and adds it without capacity where it is not known. Runs may be reserved on it
// before UpdateRunner sets its capacity.
func (f *Fleet) Add(id string) *Runner {
	if r := f.runners[id]; r != nil {
		return r
	}
	r := &Runner{ID: id, reservations: make(map[string]Reservation), groups: make(map[Group]int), availableIndex: notAvailable}
	f.runners[id] = r
	return r
}

// UpdateRunner sets what a runner reports of itself: its service, its rack, its labels and its capacity.
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

// recountTokens gives the reservations of a runner the tokens that its new capacity says.
func (f *Fleet) recountTokens(r *Runner) {
	for _, task := range slices.Sorted(maps.Keys(r.reservations)) {
		reservation := r.reservations[task]
		f.bucket.Release(&r.tokens, r, reservation.tokens)
		reservation.tokens = r.tokensFor(reservation.Demand)
		f.bucket.Acquire(&r.tokens, reservation.tokens)
		r.reservations[task] = reservation
	}
}

// Remove removes a runner with its free tokens. It does nothing where the id is not known.
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

// Reserve reserves resources of a runner for the run of a task. It does nothing where the task has a reservation there.
func (f *Fleet) Reserve(r *Runner, task string, demand Resources, group Group) {
	if r.hasReservation(task) {
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

// Release gives back what the run of a task has reserved. It does nothing where the task has no reservation there.
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

// RecordOutcome records for a runner's health how a run of a job's task ended there.
func (f *Fleet) RecordOutcome(r *Runner, job string, outcome Outcome, now time.Duration) {
	f.changes++
	f.update(r, func() { r.health.recordOutcome(job, outcome, now) })
}
