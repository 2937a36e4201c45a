package core

import "frosttide/decision"

// cancelAttempt stops waiting for a hop that is out.
func (c *Core) cancelAttempt(r *request, attempt int, outcome decision.Outcome) {
	if attempt < 0 || attempt >= len(r.attempts) || r.attempts[attempt].ended {
		return
	}
	c.recall(r, attempt, false)
	c.endAttempt(r, attempt, outcome, nil)
}

// recall tells the worker of a hop that is out that it is given up, once. With confirm another may
// follow when the worker has heard of it.
func (c *Core) recall(r *request, attempt int, confirm bool) {
	h := &r.attempts[attempt]
	h.permit.revoke()
	if !h.recalled {
		h.recalled = true
		if r.record != nil {
			r.record.Attempts[attempt].Cancelled = c.now
		}
		out := c.newAttempt(r, attempt)
		out.Confirm = confirm
		h.worker.backend.Cancel(out)
	}
}

// handleCancel gives a hop up that the module calls off. Where a request may not have two copies out the
// hop ends once its worker knows: until then another would be a second copy.
func (c *Core) handleCancel(r *request, attempt int) {
	if r.answered || !c.needsConfirmation(r) {
		c.cancelAttempt(r, attempt, decision.Canceled)
		return
	}
	if attempt >= 0 && attempt < len(r.attempts) && !r.attempts[attempt].ended {
		c.recall(r, attempt, true)
	}
}

// AttemptRecalled tells that a hop was given up, and whether its runner surely knows.
func (c *Core) AttemptRecalled(ref AttemptRef, known bool) {
	c.mailbox.Put(func(c *Core) {
		r := c.requests[ref.Request]
		if r == nil {
			return
		}
		outcome := decision.Canceled
		if r.attempts[ref.Number].unresponsive {
			outcome = decision.TimedOut
		}
		if c.endAttempt(r, ref.Number, outcome, nil) {
			c.events[len(c.events)-1].CancelUnconfirmed = !known
		}
	})
}
