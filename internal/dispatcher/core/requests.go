package core

import (
	"container/heap"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/trace"
)

// request is the state of a request from its arrival until it has been answered and none of its
// attempts is open.
type request struct {
	id       decision.RequestID
	job      *Job
	ingress  Ingress // nil once answered is set
	deadline time.Duration
	answered bool // it has its response, or its client has disconnected
	unusable bool // a worker has reported that no worker can run the job
	attempts []attemptState
	timers   []*timerEntry
	record   *trace.Record // nil for none
}

// Submit submits a job. Its response is delivered to ingress, unless ClientLeft is called for the
// job before.
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

// handleAdmitted processes an admitted job, after a lookup in the outcome store if that is
// required.
func (c *Core) handleAdmitted(job *Job, ingress Ingress) {
	if c.recordsOutcome(job) {
		c.lookUpOutcomes(job, ingress)
		return
	}
	c.handleArrival(job, ingress)
}

// ClientLeft reports that the client of a job has disconnected, so the job needs no response.
func (c *Core) ClientLeft(job *Job) {
	c.mailbox.Put(func(c *Core) {
		if c.awaitingAdmission[job] {
			delete(c.awaitingAdmission, job)
			c.releaseAdmission(job, false)
		}
		if r := c.requestsByJobID[job.ID]; r != nil && r.job == job && !r.answered {
			c.closeRequest(r)
			if r.record != nil {
				r.record.Finish(c.now, trace.Abandoned, trace.ByCore, reasonClientLeft)
			}
			c.addEvent(decision.Event{Type: decision.RequestCanceled, Request: r.id})
			c.removeIfDone(r)
		}
	})
}

// StopBy sets the time at which the process may be terminated. Every open request gets a response
// by then; otherwise its client would see a connection reset instead of a rejection, which it may
// retry.
func (c *Core) StopBy(deadline time.Time) {
	c.mailbox.Put(func(c *Core) {
		c.stopAt = c.moduleTime(deadline) // for jobs still being looked up in the outcome store
		c.rejectAllHeldBack()
		for _, r := range c.requests {
			if at := c.moduleTime(deadline); at < r.deadline {
				r.deadline = at
				c.addRequestTimer(r, timerEntry{at: at, attempt: wholeRequest})
			}
		}
	})
}

// handleArrival creates the request of a job and passes it to the decision module.
func (c *Core) handleArrival(job *Job, ingress Ingress) {
	if c.requestsByJobID[job.ID] != nil {
		c.rejectDuplicate(job, ingress)
		return
	}
	c.addEvent(c.arrivalEvent(c.newRequest(job, ingress)))
}

// newRequest creates the request of a job and the timer for its deadline.
func (c *Core) newRequest(job *Job, ingress Ingress) *request {
	c.lastRequestID++
	for c.lastRequestID == 0 || c.requests[c.lastRequestID] != nil { // the numbers wrap around
		c.lastRequestID++
	}
	r := &request{id: c.lastRequestID, job: job, ingress: ingress, deadline: c.moduleTime(job.Deadline), record: job.Record}
	if clientTimeout := c.cfg.Classes[job.Class].ClientTimeout; clientTimeout > 0 {
		// A client may state a deadline that is days away; its request must not hold tokens and
		// memory for that long.
		r.deadline = min(r.deadline, c.now+clientTimeout)
	}
	if c.stopAt > 0 {
		r.deadline = min(r.deadline, c.stopAt)
	}
	if r.record != nil {
		r.record.Deadline = r.deadline
	}
	c.requests[r.id], c.requestsByJobID[job.ID] = r, r
	if c.inObservedGang(r) {
		c.gangs.Joined(job, r.deadline-c.now)
	}
	c.addRequestTimer(r, timerEntry{at: r.deadline, attempt: wholeRequest})
	return r
}

// arrivalEvent returns the RequestArrived event of a request.
func (c *Core) arrivalEvent(r *request) decision.Event {
	job := r.job
	return decision.Event{
		Type:            decision.RequestArrived,
		Request:         r.id,
		Class:           job.Class,
		Tenant:          job.Tenant - 1,
		Deadline:        r.deadline,
		Slots:           job.Slots,
		Memory:          job.Memory,
		Hint:            job.Hint,
		Key:             job.Subject,
		Retry:           job.Retry,
		ProcessStopping: job.ProcessStopping,
		Compensating:    job.Compensating,
	}
}

// respond delivers the final response to a request. It is the only function that does so once a job
// has a request. It ignores requests that are unknown or have been answered.
func (c *Core) respond(id decision.RequestID, response Response, reason string) {
	r := c.requests[id]
	if r == nil || r.answered {
		return
	}
	c.summary.responses[response.Verdict]++
	c.releaseAdmission(r.job, response.Verdict == Served)
	if r.record != nil {
		c.endRecord(r, response, reason)
	}
	r.ingress.Respond(response)
	c.closeRequest(r)
}

// rejectDuplicate rejects a job that has the ID of an open request. Workers' reports are matched to
// requests by that ID, so two open requests must not share one.
func (c *Core) rejectDuplicate(job *Job, ingress Ingress) {
	c.releaseAdmission(job, false)
	if job.Record != nil {
		c.endDuplicateRecord(job.Record)
	}
	ingress.Respond(Response{Verdict: Duplicate})
}

// closeRequest marks a request as answered, so that its client gets no further response.
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

// removeIfDone removes an answered request without open attempts and frees its ID, body and timers.
// Without that, the timers of requests rejected in an overload would accumulate until their
// deadlines.
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
	delete(c.requestsByJobID, r.job.ID)
	if r.record != nil {
		c.onRecord(r.record)
	}
	for _, t := range r.timers {
		if t.heapIndex >= 0 {
			heap.Remove(&c.timers, t.heapIndex)
		}
	}
}

// expire ends a request whose deadline has passed. Its open attempts time out, also if the request
// has been answered, and the request fails if the decision module still leaves it unanswered.
func (c *Core) expire(r *request) {
	for i := range r.attempts {
		c.cancelAttempt(r, i, decision.TimedOut)
	}
	c.step()
	if r.answered {
		return
	}
	// Answer every request by its deadline, even one that the module holds without an attempt.
	a := Attempt{Job: r.job}
	if r.record != nil {
		a.Parent = trace.Context{Trace: r.record.Trace, Span: r.record.Span}.Parent()
	}
	c.log.WithFields(a.Fields()).Warn("request was still held at its deadline and fails")
	c.respond(r.id, Response{Verdict: Failed}, reasonHeld)
	c.addEvent(decision.Event{Type: decision.RequestCanceled, Request: r.id})
}
