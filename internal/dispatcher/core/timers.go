package core

import (
	"container/heap"
	"math"
	"time"

	"frosttide/decision"
)

// wholeRequest is the attempt number in the timer for a request's deadline.
const wholeRequest = -1

// timerEntry is one scheduled operation: it fires a timer of the decision module, ends the warm-up
// of a reinstated worker, or times out an attempt or a request.
type timerEntry struct {
	at            time.Duration
	token         uint32   // of the module's timer
	reinstatedUID string   // UID of the worker whose warm-up ends; "" for other timers
	request       *request // nil for a timer of the module or of a worker
	attempt       int      // number of the attempt, or wholeRequest
	heapIndex     int      // index in the heap; -1 after removal
}

// timerHeap implements heap.Interface, earliest entry first. Each entry stores its index, so that
// it can be removed.
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

// addRequestTimer adds an entry that is removed together with its request.
func (c *Core) addRequestTimer(r *request, t timerEntry) {
	t.request = r
	r.timers = append(r.timers, &t)
	c.addTimer(&t)
}

// runTimers runs the timers that are due.
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
		c.step() // events from before the deadline take effect first
		if r := t.request; c.requests[r.id] != r {
			continue // that step has removed the request
		} else if t.attempt == wholeRequest {
			c.expire(r)
		} else {
			c.cancelAttempt(r, t.attempt, decision.TimedOut)
		}
	}
}
