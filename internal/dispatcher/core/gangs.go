package core

import (
	"frosttide/decision"
)

// SetGangObserver names who watches gangs; nil for nobody. It is called before Run.
func (c *Core) SetGangObserver(g GangObserver) { c.gangs = g }

// inObservedGang tells whether a request is a part of a gang that somebody watches.
func (c *Core) inObservedGang(r *request) bool { return c.gangs != nil && r.job.Gang != nil }

// Hedge has the module send a second copy of a job, where its rules and its credit let it. A job
// that has its answer is passed over.
func (c *Core) Hedge(jobID string) {
	c.mailbox.Put(func(c *Core) {
		if r := c.byID[jobID]; r != nil && !r.answered && !c.stalled() {
			c.addEvent(decision.Event{Type: decision.RequestStraggling, Request: r.id})
		}
	})
}

// MarkSlow has a runner count as so many times slower than its like, until jobs there show
// otherwise or the module forgets it.
func (c *Core) MarkSlow(uid string, times float64) {
	c.mailbox.Put(func(c *Core) {
		w := c.workers[uid]
		if w == nil {
			return
		}
		h := c.module.Health(w.number)
		if times > h.Pace {
			h.Pace, h.PaceAt = times, c.now
			c.addEvent(decision.Event{Type: decision.HealthRestored, Worker: w.number, Health: h})
		}
	})
}

// Abandon ends a job that is of no use any more, as far as it may be refused: one that may have
// run stays.
func (c *Core) Abandon(jobID string) {
	c.mailbox.Put(func(c *Core) {
		r := c.byID[jobID]
		if r == nil || r.answered || c.cfg.Classes[r.job.Class].Effect != decision.Safe {
			return
		}
		c.respond(r.id, Response{Verdict: Failed}, reasonGangLate)
		c.addEvent(decision.Event{Type: decision.RequestCanceled, Request: r.id})
	})
}

// reasonGangLate is why a part is given up.
const reasonGangLate = "gang_late"
