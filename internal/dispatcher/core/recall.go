package core

import "frosttide/decision"

// handleCancel performs a Cancel action of the decision module. If a request may not have two open
// attempts, the attempt ends only when its worker knows of the cancellation: until then the worker
// may still run the job, and another attempt would be a second copy.
func (c *Core) handleCancel(r *request, attempt int) {
	if r.answered || !c.needsConfirmation(r) {
		c.cancelAttempt(r, attempt, decision.Canceled)
		return
	}
	if attempt >= 0 && attempt < len(r.attempts) && !r.attempts[attempt].ended {
		c.recall(r, attempt, true)
	}
}

// cancelAttempt cancels an open attempt and ends it with the given outcome.
func (c *Core) cancelAttempt(r *request, attempt int, outcome decision.Outcome) {
	if attempt < 0 || attempt >= len(r.attempts) || r.attempts[attempt].ended {
		return
	}
	c.recall(r, attempt, false)
	c.endAttempt(r, attempt, outcome, nil)
}

// recall sends the cancellation of an open attempt to its worker, once. With confirm set, another
// attempt may follow when the worker knows of it.
func (c *Core) recall(r *request, attempt int, confirm bool) {
	a := &r.attempts[attempt]
	a.permit.revoke()
	if a.cancelSent {
		return
	}
	a.cancelSent = true
	if r.record != nil {
		r.record.Attempts[attempt].Cancelled = c.now
	}
	canceled := c.newAttempt(r, attempt)
	canceled.Confirm = confirm
	a.worker.backend.Cancel(canceled)
}

// AttemptRecalled reports that an attempt was canceled, and whether its worker certainly knows of
// it.
func (c *Core) AttemptRecalled(ref AttemptRef, confirmed bool) {
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
			c.events[len(c.events)-1].CancelUnconfirmed = !confirmed
		}
	})
}
