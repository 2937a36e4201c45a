package core

import (
	"frosttide/decision"
	"frosttide/internal/dispatcher/fleet/recovery"
)

// maxHints bounds the number of records kept for workers that are not listed yet. Further ones are
// dropped.
const maxHints = 20_000

// Hint takes over another dispatcher's health record of a worker. It is used until an attempt of
// this dispatcher has ended at the worker, because own observations are more reliable.
func (c *Core) Hint(uid string, health decision.Health) {
	c.mailbox.Put(func(c *Core) {
		health.Pace = recovery.JitteredPace(health.Pace, c.cfg.Instance, uid)
		w := c.workers[uid]
		switch {
		case w == nil && len(c.restoredHealth) < maxHints:
			if c.restoredHealth == nil {
				c.restoredHealth = map[string]decision.Health{}
			}
			c.restoredHealth[uid] = health
		case w != nil && !w.hasEndedAttempt:
			c.addEvent(decision.Event{Type: decision.HealthRestored, Worker: w.number, Health: health})
		}
	})
}

// OwnFindings calls receive with the health, by UID, of the workers at which an attempt of this
// dispatcher has ended, later on the goroutine of Run.
func (c *Core) OwnFindings(receive func(map[string]decision.Health)) {
	c.mailbox.Put(func(c *Core) {
		findings := map[string]decision.Health{}
		for uid, w := range c.workers {
			if w.hasEndedAttempt {
				findings[uid] = c.module.Health(w.number)
			}
		}
		receive(findings)
	})
}
