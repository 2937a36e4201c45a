package core

import (
	"frosttide/decision"
)

// Watch names who watches gangs; nil for nobody. It is called before Run.
func (c *Core) Watch(g Gangs) { c.gangs = g }

// watched tells whether a request is a part of a gang that somebody watches.
func (c *Core) watched(r *request) bool { return c.gangs != nil && r.job.Gang != nil }

// Copy has the module send a second copy of a job, where its rules and its credit let it. A job
// that has its answer is passed over.
func (c *Core) Copy(jobID string) {
	c.box.Put(func(c *Core) {
		if r := c.byID[jobID]; r != nil && !r.answered && !c.fenced() {
			c.event(decision.Event{Type: decision.RequestLags, Request: r.ref})
		}
	})
}

// Slow has a runner count as so many times slower than its like, until jobs there show
// otherwise or the module forgets it.
func (c *Core) Slow(uid string, times float64) {
	c.box.Put(func(c *Core) {
		w := c.workers[uid]
		if w == nil {
			return
		}
		h := c.module.Health(w.number)
		if times > h.Pace {
			h.Pace, h.PaceAt = times, c.now
			c.event(decision.Event{Type: decision.HealthKnown, Worker: w.number, Health: h})
		}
	})
}

// Abandon ends a job that is of no use any more, as far as it may be refused: one that may have
// run stays.
func (c *Core) Abandon(jobID string) {
	c.box.Put(func(c *Core) {
		r := c.byID[jobID]
		if r == nil || r.answered || c.cfg.Classes[r.job.Class].Effect != decision.Safe {
			return
		}
		c.answer(r.ref, Answer{Verdict: Failed}, whyGang)
		c.event(decision.Event{Type: decision.RequestGone, Request: r.ref})
	})
}

// whyGang is why a part is given up.
const whyGang = "gang_late"
