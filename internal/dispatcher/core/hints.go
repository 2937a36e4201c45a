package core

import (
	"frosttide/decision"
	"frosttide/internal/dispatcher/fleet/recovery"
)

// maxHints bounds what is kept for runners that are not listed yet; more is passed over.
const maxHints = 20_000

// Hint takes what another dispatcher has found of a runner. It counts until a job from here
// has met the runner: what was met here says more.
func (c *Core) Hint(uid string, h decision.Health) {
	c.mailbox.Put(func(c *Core) {
		h.Pace = recovery.Pace(h.Pace, c.cfg.Instance, uid)
		w := c.workers[uid]
		switch {
		case w == nil && len(c.restoredHealth) < maxHints:
			if c.restoredHealth == nil {
				c.restoredHealth = map[string]decision.Health{}
			}
			c.restoredHealth[uid] = h
		case w != nil && !w.hasEndedAttempt:
			c.addEvent(decision.Event{Type: decision.HealthRestored, Worker: w.number, Health: h})
		}
	})
}

// OwnFindings tells what jobs from here have found of the runners that they have met.
func (c *Core) OwnFindings(to func(map[string]decision.Health)) {
	c.mailbox.Put(func(c *Core) {
		out := map[string]decision.Health{}
		for uid, w := range c.workers {
			if w.hasEndedAttempt {
				out[uid] = c.module.Health(w.number)
			}
		}
		to(out)
	})
}
