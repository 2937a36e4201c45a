package core

import (
	"container/heap"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/trace"
)

// request is a request from its arrival until it is answered and none of its
// hops is out.
type request struct {
	id       decision.RequestID
	job      *Job
	ingress  Ingress
	deadline time.Duration
	answered bool
	unusable bool // a runner has said so
	attempts []attemptState
	timers   []*timerEntry // what is to be done about it at a time
	record   *trace.Record
}

// Submit hands over a request; its answer goes to the ingress. The ingress names
// the request in Leave.
func (c *Core) Submit(job *Job, ingress Ingress) {
	c.mailbox.Put(func(c *Core) {
		switch {
		case !c.admit(job, ingress):
		case c.heldBack != nil:
			c.holdBack(job, ingress)
		default:
			c.handleAdmitted(job, ingress)
		}
	})
}

// handleAdmitted takes in a job that was let in, once others have said what they know of it.
func (c *Core) handleAdmitted(job *Job, ingress Ingress) {
	if c.recordsOutcome(job) {
		c.lookUpOutcomes(job, ingress)
		return
	}
	c.handleArrival(job, ingress)
}

// ClientLeft tells that the client of a request has gone away.
func (c *Core) ClientLeft(job *Job) {
	c.mailbox.Put(func(c *Core) {
		if c.awaitingAdmission[job] {
			delete(c.awaitingAdmission, job)
			c.releaseAdmission(job, false)
		}
		if r := c.byID[job.ID]; r != nil && r.job == job && !r.answered {
			c.closeRequest(r)
			if r.record != nil {
				r.record.Finish(c.now, trace.Abandoned, trace.ByCore, reasonClientLeft)
			}
			c.addEvent(decision.Event{Type: decision.RequestCanceled, Request: r.id})
			c.removeIfDone(r)
		}
	})
}

// StopBy tells when the process may be ended: what is open then gets its answer.
// Guards rule 1, and clients from a reset where they could have been told to try
// again.
func (c *Core) StopBy(by time.Time) {
	c.mailbox.Put(func(c *Core) {
		c.stopAt = c.moduleTime(by) // for those whose fate is asked for yet
		c.rejectAllHeldBack()
		for _, r := range c.requests {
			if at := c.moduleTime(by); at < r.deadline {
				r.deadline = at
				c.addRequestTimer(r, timerEntry{at: at, attempt: -1})
			}
		}
	})
}

func (c *Core) handleArrival(job *Job, ingress Ingress) {
	if c.byID[job.ID] != nil {
		c.rejectDuplicate(job, ingress)
		return
	}
	c.addEvent(c.arrivalEvent(c.newRequest(job, ingress)))
}

// newRequest makes the request of a job.
func (c *Core) newRequest(job *Job, ingress Ingress) *request {
	c.lastRequestID++
	for c.lastRequestID == 0 || c.requests[c.lastRequestID] != nil { // numbers may come round
		c.lastRequestID++
	}
	r := &request{id: c.lastRequestID, job: job, ingress: ingress, deadline: c.moduleTime(job.Deadline), record: job.Record}
	if clientTimeout := c.cfg.Classes[job.Class].ClientTimeout; clientTimeout > 0 {
		// Guards tokens and memory against a client that claims to wait for days.
		r.deadline = min(r.deadline, c.now+clientTimeout)
	}
	if c.stopAt > 0 {
		r.deadline = min(r.deadline, c.stopAt)
	}
	if r.record != nil {
		r.record.Deadline = r.deadline
	}
	c.requests[r.id], c.byID[job.ID] = r, r
	if c.inObservedGang(r) {
		c.gangs.Joined(job, r.deadline-c.now)
	}
	c.addRequestTimer(r, timerEntry{at: r.deadline, attempt: -1})
	return r
}

// arrivalEvent is the event of a new request.
func (c *Core) arrivalEvent(r *request) decision.Event {
	job := r.job
	return decision.Event{Type: decision.RequestArrived, Request: r.id, Class: job.Class, Tenant: job.Tenant - 1,
		Deadline: r.deadline, Slots: job.Slots, Memory: job.Memory, Hint: job.Hint, Key: job.Subject, Retry: job.Retry,
		ProcessStopping: job.ProcessStopping, Compensating: job.Compensating}
}

// respond is the one place where a request gets its final answer.
func (c *Core) respond(id decision.RequestID, a Response, why string) {
	r := c.requests[id]
	if r == nil || r.answered {
		return
	}
	c.summary.answers[a.Verdict]++
	c.releaseAdmission(r.job, a.Verdict == Served)
	if r.record != nil {
		c.endRecord(r, a, why)
	}
	r.ingress.Respond(a)
	c.closeRequest(r)
}

// closeRequest marks a request as one that nothing more is owed.
func (c *Core) closeRequest(r *request) {
	if !r.answered && c.inObservedGang(r) {
		c.gangs.Closed(r.job)
	}
	c.releaseAdmission(r.job, false)
	for i := range r.attempts {
		r.attempts[i].permit.revoke()
	}
	r.answered, r.ingress = true, nil
}

// removeIfDone gives back the id, the body and the reminders of a request that is
// answered and has no hop out. Guards against a flood of requests that are
// refused at once: their deadlines would pile up until they come.
func (c *Core) removeIfDone(r *request) {
	if !r.answered || c.requests[r.id] != r {
		return
	}
	for i := range r.attempts {
		if !r.attempts[i].ended {
			return
		}
	}
	delete(c.requests, r.id)
	delete(c.byID, r.job.ID)
	if r.record != nil {
		c.onRecord(r.record)
	}
	for _, d := range r.timers {
		if d.heapIndex >= 0 {
			heap.Remove(&c.timers, d.heapIndex)
		}
	}
}

// expire acts on a request whose deadline has come: each hop that is out times
// out, an answered request's too, and what the module then leaves without an
// answer fails.
func (c *Core) expire(r *request) {
	for i := range r.attempts {
		c.cancelAttempt(r, i, decision.TimedOut)
	}
	c.step()
	if !r.answered {
		// Guards rule 1 against a module that holds a request without a hop.
		h := Attempt{Job: r.job}
		if r.record != nil {
			h.Parent = trace.Context{Trace: r.record.Trace, Span: r.record.Span}.Parent()
		}
		c.log.WithFields(h.Fields()).Warn("request was still held at its deadline and fails")
		c.respond(r.id, Response{Verdict: Failed}, reasonHeld)
		c.addEvent(decision.Event{Type: decision.RequestCanceled, Request: r.id})
	}
}
