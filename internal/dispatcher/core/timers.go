package core

import (
	"container/heap"
	"math"
	"time"

	"frosttide/decision"
)

// wholeRequest is the attempt of a timer that ends a request, not an attempt.
const wholeRequest = -1

// timerEntry is one thing to do at a time: fire a timer of the decision module,
// end the warm-up of a reinstated worker, end an attempt, or end a request.
type timerEntry struct {
	at            time.Duration
	token         uint32   // of the module's timer
	reinstatedUID string   // a worker that has had its time to warm up since it was reinstated
	request       *request // nil for a timer of the module
	attempt       int      // number of the attempt, or wholeRequest
	heapIndex     int      // in the heap; -1 once it has left it
}

// timerHeap implements heap.Interface with the earliest entry first. Each entry
// knows its index, so that it can be removed.
type timerHeap []*timerEntry

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timerEntry)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.heapIndex = -1
	return last
}

// addTimer adds an entry to the heap.
func (c *Core) addTimer(t *timerEntry) {
	t.at = min(t.at, math.MaxInt64/2)
	heap.Push(&c.timers, t)
}

// addRequestTimer adds an entry that leaves the heap with its request.
func (c *Core) addRequestTimer(r *request, t timerEntry) {
	t.request = r
	r.timers = append(r.timers, &t)
	c.addTimer(&t)
}

// runTimers does everything whose time has come.
func (c *Core) runTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		t := heap.Pop(&c.timers).(*timerEntry)
		if t.reinstatedUID != "" {
			if c.now >= c.reinstated[t.reinstatedUID]+c.cfg.Rules.WarmUp {
				delete(c.reinstated, t.reinstatedUID)
			}
			continue
		}
		if t.request == nil {
			c.addEvent(decision.Event{Type: decision.TimerFired, Token: t.token})
			continue
		}
		c.step() // what came before the deadline counts
		if r := t.request; c.requests[r.id] != r {
			continue // removed in that step
		} else if t.attempt == wholeRequest {
			c.expire(r)
		} else {
			c.cancelAttempt(r, t.attempt, decision.TimedOut)
		}
	}
}
