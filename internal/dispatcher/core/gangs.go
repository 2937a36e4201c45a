package core

import "frosttide/decision"

// reasonGangLate is the reason in span records of a part that was abandoned because its gang will
// miss its deadline.
const reasonGangLate = "gang_late"

// SetGangObserver sets the observer of gangs; nil for none. It must be called before Run.
func (c *Core) SetGangObserver(g GangObserver) { c.gangs = g }

// inObservedGang reports whether a request is part of a gang and gangs are observed.
func (c *Core) inObservedGang(r *request) bool { return c.gangs != nil && r.job.Gang != nil }

// Hedge asks the decision module to send a second copy of a job, if its rules and the retry budget
// allow one. It ignores a job that has been answered.
func (c *Core) Hedge(jobID string) {
	c.mailbox.Put(func(c *Core) {
		if r := c.requestsByJobID[jobID]; r != nil && !r.answered && !c.stalled() {
			c.addEvent(decision.Event{Type: decision.RequestStraggling, Request: r.id})
		}
	})
}

// MarkSlow records that a worker is slower than others of its kind by factor. This holds until jobs
// at the worker show otherwise or the record expires.
func (c *Core) MarkSlow(uid string, factor float64) {
	c.mailbox.Put(func(c *Core) {
		w := c.workers[uid]
		if w == nil {
			return
		}
		health := c.module.Health(w.number)
		if factor > health.Pace {
			health.Pace, health.PaceAt = factor, c.now
			c.addEvent(decision.Event{Type: decision.HealthRestored, Worker: w.number, Health: health})
		}
	})
}

// Abandon fails a job whose result is no longer needed. It applies only to jobs that may run more
// than once; other jobs may have run already, so they continue.
func (c *Core) Abandon(jobID string) {
	c.mailbox.Put(func(c *Core) {
		r := c.requestsByJobID[jobID]
		if r == nil || r.answered || c.cfg.Classes[r.job.Class].Effect != decision.Safe {
			return
		}
		c.respond(r.id, Response{Verdict: Failed}, reasonGangLate)
		c.addEvent(decision.Event{Type: decision.RequestCanceled, Request: r.id})
	})
}
