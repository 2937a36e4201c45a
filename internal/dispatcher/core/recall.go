package core

import "frosttide/decision"

// giveUp stops waiting for a hop that is out.
func (c *Core) giveUp(r *request, attempt int, outcome decision.Outcome) {
	if attempt < 0 || attempt >= len(r.hops) || r.hops[attempt].ended {
		return
	}
	c.callOff(r, attempt, false)
	c.end(r, attempt, outcome, nil)
}

// callOff tells the worker of a hop that is out that it is given up, once. With confirm another may
// follow when the worker has heard of it.
func (c *Core) callOff(r *request, attempt int, confirm bool) {
	h := &r.hops[attempt]
	h.permit.revoke()
	if !h.recalled {
		h.recalled = true
		if r.story != nil {
			r.story.Hops[attempt].Recalled = c.now
		}
		out := c.hop(r, attempt)
		out.Confirm = confirm
		h.to.target.GiveUp(out)
	}
}

// cancel gives a hop up that the module calls off. Where a request may not have two copies out the
// hop ends once its worker knows: until then another would be a second copy.
func (c *Core) cancel(r *request, attempt int) {
	if r.answered || !c.confirms(r) {
		c.giveUp(r, attempt, decision.Canceled)
		return
	}
	if attempt >= 0 && attempt < len(r.hops) && !r.hops[attempt].ended {
		c.callOff(r, attempt, true)
	}
}

// HopRecalled tells that a hop was given up, and whether its runner surely knows.
func (c *Core) HopRecalled(ref HopRef, known bool) {
	c.box.Put(func(c *Core) {
		r := c.requests[ref.Request]
		if r == nil {
			return
		}
		why := decision.Canceled
		if r.hops[ref.Attempt].silent {
			why = decision.TimedOut
		}
		if c.end(r, ref.Attempt, why, nil) {
			c.events[len(c.events)-1].Unsure = !known
		}
	})
}
