package core

import (
	"frosttide/decision"
	"frosttide/internal/dispatcher/fleet/recovery"
)

// maxHints bounds the hints kept for workers that are not listed yet. Further
// ones are dropped.
const maxHints = 20_000

// Hint takes what another dispatcher has found out about a worker. It counts until
// an attempt of this dispatcher has ended there, which says more.
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

// OwnFindings passes on the health of the workers where an attempt of this
// dispatcher has ended, by UID. The core's goroutine calls the function soon.
func (c *Core) OwnFindings(to func(map[string]decision.Health)) {
	c.mailbox.Put(func(c *Core) {
		findings := map[string]decision.Health{}
		for uid, w := range c.workers {
			if w.hasEndedAttempt {
				findings[uid] = c.module.Health(w.number)
			}
		}
		to(findings)
	})
}
