package core

import "frosttide/decision"

// handleCancel executes a Cancel action of the decision module. Where a request
// may not have two copies out, the attempt ends only once its worker knows of the
// cancellation: until then another attempt would be a second copy.
func (c *Core) handleCancel(r *request, attempt int) {
	if r.answered || !c.needsConfirmation(r) {
		c.cancelAttempt(r, attempt, decision.Canceled)
		return
	}
	if attempt >= 0 && attempt < len(r.attempts) && !r.attempts[attempt].ended {
		c.recall(r, attempt, true)
	}
}

// cancelAttempt stops waiting for an attempt that is out and ends it with an
// outcome.
func (c *Core) cancelAttempt(r *request, attempt int, outcome decision.Outcome) {
	if attempt < 0 || attempt >= len(r.attempts) || r.attempts[attempt].ended {
		return
	}
	c.recall(r, attempt, false)
	c.endAttempt(r, attempt, outcome, nil)
}

// recall notifies the worker of an attempt that is out, once, that it is canceled.
// With confirm another attempt may follow when the worker knows.
func (c *Core) recall(r *request, attempt int, confirm bool) {
	a := &r.attempts[attempt]
	a.permit.revoke()
	if a.recalled {
		return
	}
	a.recalled = true
	if r.record != nil {
		r.record.Attempts[attempt].Cancelled = c.now
	}
	canceled := c.newAttempt(r, attempt)
	canceled.Confirm = confirm
	a.worker.backend.Cancel(canceled)
}

// AttemptRecalled reports that an attempt was canceled, and whether its worker
// surely knows.
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
