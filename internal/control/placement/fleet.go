package placement

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/bucket"
)

// Fleet holds all known runners, by service. It is not safe for concurrent use.
type Fleet struct {
	runners map[string]*Runner      // by ID
	pools   map[string]*pool        // by service
	bucket  *bucket.Bucket[*Runner] // the ring of the free tokens of all runners
	changes uint64                  // see Changes
}

// NewFleet returns a fleet without runners.
func NewFleet() *Fleet {
	return &Fleet{runners: make(map[string]*Runner), pools: make(map[string]*pool), bucket: bucket.New[*Runner]()}
}

// Changes returns a number that increases with every change that may let a blocked task fit. While
// it stays the same and no time passes, a task that did not fit still does not fit.
func (f *Fleet) Changes() uint64 { return f.changes }

// SetUsable sets whether tasks may be assigned to a runner now.
func (f *Fleet) SetUsable(r *Runner, usable bool) {
	if r.Usable != usable {
		f.update(r, func() { r.Usable = usable })
		f.changes++
	}
}

// Add returns the runner with an ID. If the ID is not known, it adds a runner without service and
// capacity; runs may be reserved on it before UpdateRunner sets these.
func (f *Fleet) Add(id string) *Runner {
	if r := f.runners[id]; r != nil {
		return r
	}
	r := &Runner{ID: id, reservations: make(map[string]Reservation), groups: make(map[Group]int), availableIndex: notAvailable}
	f.runners[id] = r
	return r
}

// UpdateRunner sets the properties that a runner reports. New capacity changes the number of the
// runner's tokens and of those that its reservations hold.
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

// recountTokens adjusts the tokens that a runner's reservations hold to the runner's new token
// limit. It proceeds in the order of the task names, which makes the order of the ring
// reproducible.
func (f *Fleet) recountTokens(r *Runner) {
	for _, task := range slices.Sorted(maps.Keys(r.reservations)) {
		reservation := r.reservations[task]
		f.bucket.Release(&r.tokens, r, reservation.tokens)
		reservation.tokens = r.tokensFor(reservation.Demand)
		f.bucket.Acquire(&r.tokens, reservation.tokens)
		r.reservations[task] = reservation
	}
}

// Remove removes a runner and its free tokens. It does nothing if the ID is not known.
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

// Reserve reserves resources of a runner for the run of a task, without checking that they are
// free. It does nothing if the task already has a reservation on the runner.
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

// Release releases the resources that the run of a task has reserved on a runner. It does nothing
// if there is no such reservation.
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

// RecordOutcome updates a runner's health with the outcome of a run of a job's task.
func (f *Fleet) RecordOutcome(r *Runner, job string, outcome Outcome, now time.Duration) {
	f.changes++
	f.update(r, func() { r.health.recordOutcome(job, outcome, now) })
}
