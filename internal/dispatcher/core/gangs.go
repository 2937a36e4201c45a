package core

import "frosttide/decision"

// reasonGangLate is why a part of a gang is abandoned. The word is part of span
// records.
const reasonGangLate = "gang_late"

// SetGangObserver sets who observes gangs; nil for nobody. It must be called
// before Run.
func (c *Core) SetGangObserver(g GangObserver) { c.gangs = g }

// inObservedGang reports whether a request is a part of a gang that is observed.
func (c *Core) inObservedGang(r *request) bool { return c.gangs != nil && r.job.Gang != nil }

// Hedge has the decision module send a second copy of a job, where its rules and
// its retry credit allow one. A job that has its response is left alone.
func (c *Core) Hedge(jobID string) {
	c.mailbox.Put(func(c *Core) {
		if r := c.byID[jobID]; r != nil && !r.answered && !c.stalled() {
			c.addEvent(decision.Event{Type: decision.RequestStraggling, Request: r.id})
		}
	})
}

// MarkSlow has a worker count as that many times slower than others of its kind,
// until jobs there show otherwise or the module forgets it.
func (c *Core) MarkSlow(uid string, times float64) {
	c.mailbox.Put(func(c *Core) {
		w := c.workers[uid]
		if w == nil {
			return
		}
		health := c.module.Health(w.number)
		if times > health.Pace {
			health.Pace, health.PaceAt = times, c.now
			c.addEvent(decision.Event{Type: decision.HealthRestored, Worker: w.number, Health: health})
		}
	})
}

// Abandon ends a job that is of no use any more. It does so only for jobs that may
// run more than once; others go on, as they may have run.
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
