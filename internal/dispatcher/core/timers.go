package core

import (
	"container/heap"
	"math"
	"time"

	"frosttide/decision"
)

// due is one thing to do at a time: ring a timer of the module, or end a
// request (attempt -1) or one of its hops.
type due struct {
	at      time.Duration
	token   uint32
	putBack string   // a runner that has had its time to warm up since it was put back
	request *request // nil for a timer of the module
	attempt int
	place   int // in the heap; -1 when it has left it
}

// deadlines is a heap with the earliest first.
type deadlines []*due

func (h deadlines) Len() int           { return len(h) }
func (h deadlines) Less(i, j int) bool { return h[i].at < h[j].at }
func (h deadlines) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *deadlines) Push(x any) {
	d := x.(*due)
	d.place = len(*h)
	*h = append(*h, d)
}

func (h *deadlines) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.place = -1
	return last
}

func (c *Core) wake(d *due) {
	d.at = min(d.at, math.MaxInt64/2)
	heap.Push(&c.due, d)
}

// remind notes what is to be done about a request at a time, unless it has been
// forgotten by then.
func (c *Core) remind(r *request, d due) {
	d.request = r
	r.due = append(r.due, &d)
	c.wake(&d)
}

// ring does all that has come due.
func (c *Core) ring() {
	for len(c.due) > 0 && c.due[0].at <= c.now {
		d := heap.Pop(&c.due).(*due)
		if d.putBack != "" {
			if c.now >= c.putBack[d.putBack]+c.cfg.Rules.WarmUp {
				delete(c.putBack, d.putBack)
			}
			continue
		}
		if d.request == nil {
			c.event(decision.Event{Type: decision.TimerFired, Token: d.token})
			continue
		}
		c.step() // what came in before the deadline counts
		if r := d.request; c.requests[r.ref] != r {
			continue // forgotten in that step
		} else if d.attempt < 0 {
			c.expire(r)
		} else {
			c.giveUp(r, d.attempt, decision.TimedOut)
		}
	}
}
