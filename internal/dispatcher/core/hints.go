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
	c.box.Put(func(c *Core) {
		h.Pace = recovery.Pace(h.Pace, c.cfg.Instance, uid)
		w := c.workers[uid]
		switch {
		case w == nil && len(c.health) < maxHints:
			if c.health == nil {
				c.health = map[string]decision.Health{}
			}
			c.health[uid] = h
		case w != nil && !w.met:
			c.event(decision.Event{Type: decision.HealthKnown, Worker: w.number, Health: h})
		}
	})
}

// Found tells what jobs from here have found of the runners that they have met.
func (c *Core) Found(to func(map[string]decision.Health)) {
	c.box.Put(func(c *Core) {
		out := map[string]decision.Health{}
		for uid, w := range c.workers {
			if w.met {
				out[uid] = c.module.Health(w.number)
			}
		}
		to(out)
	})
}
