package core

import (
	"container/heap"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/trace"
)

// request is a request from its arrival until it has its response and none of its
// attempts is out.
type request struct {
	id       decision.RequestID
	job      *Job
	ingress  Ingress // nil once answered
	deadline time.Duration
	answered bool // it has its response, or nothing more is owed to its client
	unusable bool // a worker has said that the job can't be used
	attempts []attemptState
	timers   []*timerEntry
	record   *trace.Record // nil for none
}

// Submit hands over a job. Its response goes to the ingress, unless ClientLeft
// is called for the job before.
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

// handleAdmitted takes in an admitted job, once the outcome store has been asked
// where that is needed.
func (c *Core) handleAdmitted(job *Job, ingress Ingress) {
	if c.recordsOutcome(job) {
		c.lookUpOutcomes(job, ingress)
		return
	}
	c.handleArrival(job, ingress)
}

// ClientLeft reports that the client of a job has left. Nothing is owed to it any
// more.
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

// StopBy sets when the process may be ended: every open request gets its response
// by then. Otherwise clients would see a reset in place of a rejection, which they may
// retry.
func (c *Core) StopBy(deadline time.Time) {
	c.mailbox.Put(func(c *Core) {
		c.stopAt = c.moduleTime(deadline) // for jobs that still wait for the outcome store
		c.rejectAllHeldBack()
		for _, r := range c.requests {
			if at := c.moduleTime(deadline); at < r.deadline {
				r.deadline = at
				c.addRequestTimer(r, timerEntry{at: at, attempt: wholeRequest})
			}
		}
	})
}

// handleArrival makes the request of a job and passes it to the decision module.
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
	for c.lastRequestID == 0 || c.requests[c.lastRequestID] != nil { // numbers may wrap around
		c.lastRequestID++
	}
	r := &request{id: c.lastRequestID, job: job, ingress: ingress, deadline: c.moduleTime(job.Deadline), record: job.Record}
	if clientTimeout := c.cfg.Classes[job.Class].ClientTimeout; clientTimeout > 0 {
		// A client that claims to wait for days must not hold tokens and memory for so long.
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
	c.addRequestTimer(r, timerEntry{at: r.deadline, attempt: wholeRequest})
	return r
}

// arrivalEvent returns the decision module's event of a new request.
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

// respond is the one place where a request gets its final response. A request that
// is unknown or has its response is left alone.
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

// rejectDuplicate responds to a job whose ID is that of an open request: reports
// of workers are matched by ID, so two open requests would be confused.
func (c *Core) rejectDuplicate(job *Job, ingress Ingress) {
	c.releaseAdmission(job, false)
	if job.Record != nil {
		c.endDuplicateRecord(job.Record)
	}
	ingress.Respond(Response{Verdict: Duplicate})
}

// closeRequest marks a request whose client is owed nothing more.
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

// removeIfDone frees the ID, the body and the timers of a request that is answered
// and has no attempt out. The timers of a flood of requests that are rejected at
// once would otherwise pile up until their deadlines.
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
	for _, t := range r.timers {
		if t.heapIndex >= 0 {
			heap.Remove(&c.timers, t.heapIndex)
		}
	}
}

// expire acts on a request whose deadline has come. Each attempt that is out times
// out, also those of a request that has its response, and a request that the
// decision module then still leaves open fails.
func (c *Core) expire(r *request) {
	for i := range r.attempts {
		c.cancelAttempt(r, i, decision.TimedOut)
	}
	c.step()
	if r.answered {
		return
	}
	// Each request has its response by its deadline, also if the module should hold
	// one without an attempt.
	a := Attempt{Job: r.job}
	if r.record != nil {
		a.Parent = trace.Context{Trace: r.record.Trace, Span: r.record.Span}.Parent()
	}
	c.log.WithFields(a.Fields()).Warn("request was still held at its deadline and fails")
	c.respond(r.id, Response{Verdict: Failed}, reasonHeld)
	c.addEvent(decision.Event{Type: decision.RequestCanceled, Request: r.id})
}
