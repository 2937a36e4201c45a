package core

import (
	"container/heap"
	"math"
	"time"

	"frosttide/decision"
)

// timerEntry is one thing to do at a time: ring a timer of the module, or end a
// request (attempt -1) or one of its hops.
type timerEntry struct {
	at            time.Duration
	token         uint32
	reinstatedUID string   // a runner that has had its time to warm up since it was put back
	request       *request // nil for a timer of the module
	attempt       int
	heapIndex     int // in the heap; -1 when it has left it
}

// timerHeap is a heap with the earliest first.
type timerHeap []*timerEntry

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *timerHeap) Push(x any) {
	d := x.(*timerEntry)
	d.heapIndex = len(*h)
	*h = append(*h, d)
}

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.heapIndex = -1
	return last
}

func (c *Core) addTimer(d *timerEntry) {
	d.at = min(d.at, math.MaxInt64/2)
	heap.Push(&c.timers, d)
}

// addRequestTimer notes what is to be done about a request at a time, unless it has been
// forgotten by then.
func (c *Core) addRequestTimer(r *request, d timerEntry) {
	d.request = r
	r.timers = append(r.timers, &d)
	c.addTimer(&d)
}

// runTimers does all that has come due.
func (c *Core) runTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		d := heap.Pop(&c.timers).(*timerEntry)
		if d.reinstatedUID != "" {
			if c.now >= c.reinstated[d.reinstatedUID]+c.cfg.Rules.WarmUp {
				delete(c.reinstated, d.reinstatedUID)
			}
			continue
		}
		if d.request == nil {
			c.addEvent(decision.Event{Type: decision.TimerFired, Token: d.token})
			continue
		}
		c.step() // what came in before the deadline counts
		if r := d.request; c.requests[r.id] != r {
			continue // forgotten in that step
		} else if d.attempt < 0 {
			c.expire(r)
		} else {
			c.cancelAttempt(r, d.attempt, decision.TimedOut)
		}
	}
}
