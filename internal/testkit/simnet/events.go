package simnet

import (
	"container/heap"
	"time"
)

// event is a callback that is due at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

// eventHeap is a heap of events, ordered by time and then by the order in which they were
// scheduled.
type eventHeap []event

// Len is part of sort.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less is part of sort.Interface.
func (h eventHeap) Less(a, b int) bool {
	if h[a].at != h[b].at {
		return h[a].at < h[b].at
	}
	return h[a].sequence < h[b].sequence
}

// Swap is part of sort.Interface.
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push is part of heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop is part of heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = event{}
	*h = (*h)[:len(*h)-1]
	return last
}

// after schedules a callback to run once d has passed.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: sim.now + d, sequence: sim.sequence, do: do})
}

// advance processes events until a virtual time, or until a rule is violated.
func (sim *simulation) advance(until time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= until && len(sim.report.Violations) == 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = max(sim.now, until)
}

// randomDuration draws a duration between two bounds, both inclusive.
func (sim *simulation) randomDuration(lower, upper time.Duration) time.Duration {
	return lower + time.Duration(sim.rng.Int64N(int64(upper-lower)+1))
}
