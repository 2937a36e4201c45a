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
	ref      decision.RequestID
	job      *Job
	ingress  Ingress
	deadline time.Duration
	answered bool
	unusable bool // a runner has said so
	hops     []hop
	due      []*due // what is to be done about it at a time
	story    *trace.Story
}

// Submit hands over a request; its answer goes to the ingress. The ingress names
// the request in Leave.
func (c *Core) Submit(job *Job, ingress Ingress) {
	c.box.Put(func(c *Core) {
		switch {
		case !c.lets(job, ingress):
		case c.early != nil:
			c.holdBack(job, ingress)
		default:
			c.admitted(job, ingress)
		}
	})
}

// admitted takes in a job that was let in, once others have said what they know of it.
func (c *Core) admitted(job *Job, ingress Ingress) {
	if c.remembers(job) {
		c.ask(job, ingress)
		return
	}
	c.arrived(job, ingress)
}

// Leave tells that the client of a request has gone away.
func (c *Core) Leave(job *Job) {
	c.box.Put(func(c *Core) {
		if c.asking[job] {
			delete(c.asking, job)
			c.letOut(job, false)
		}
		if r := c.byID[job.ID]; r != nil && r.job == job && !r.answered {
			c.settle(r)
			if r.story != nil {
				r.story.End(c.now, trace.Gone, trace.ByCore, whyLeft)
			}
			c.event(decision.Event{Type: decision.RequestGone, Request: r.ref})
			c.forget(r)
		}
	})
}

// EndBy tells when the process may be ended: what is open then gets its answer.
// Guards rule 1, and clients from a reset where they could have been told to try
// again.
func (c *Core) EndBy(by time.Time) {
	c.box.Put(func(c *Core) {
		c.ends = c.clock(by) // for those whose fate is asked for yet
		c.endEarly()
		for _, r := range c.requests {
			if at := c.clock(by); at < r.deadline {
				r.deadline = at
				c.remind(r, due{at: at, attempt: -1})
			}
		}
	})
}

func (c *Core) arrived(job *Job, ingress Ingress) {
	if c.byID[job.ID] != nil {
		c.duplicate(job, ingress)
		return
	}
	c.event(c.arrival(c.take(job, ingress)))
}

// take makes the request of a job.
func (c *Core) take(job *Job, ingress Ingress) *request {
	c.lastID++
	for c.lastID == 0 || c.requests[c.lastID] != nil { // numbers may come round
		c.lastID++
	}
	r := &request{ref: c.lastID, job: job, ingress: ingress, deadline: c.clock(job.Deadline), story: job.Story}
	if most := c.cfg.Classes[job.Class].GiveUp; most > 0 {
		// Guards tokens and memory against a client that claims to wait for days.
		r.deadline = min(r.deadline, c.now+most)
	}
	if c.ends > 0 {
		r.deadline = min(r.deadline, c.ends)
	}
	if r.story != nil {
		r.story.Deadline = r.deadline
	}
	c.requests[r.ref], c.byID[job.ID] = r, r
	if c.watched(r) {
		c.gangs.Joined(job, r.deadline-c.now)
	}
	c.remind(r, due{at: r.deadline, attempt: -1})
	return r
}

// arrival is the event of a new request.
func (c *Core) arrival(r *request) decision.Event {
	job := r.job
	return decision.Event{Type: decision.RequestArrived, Request: r.ref, Class: job.Class, Tenant: job.Tenant - 1,
		Deadline: r.deadline, Slots: job.Slots, Memory: job.Memory, Hint: job.Hint, Key: job.Subject, Retry: job.Retry,
		Ending: job.Ending, Owed: job.Owed}
}

// answer is the one place where a request gets its final answer.
func (c *Core) answer(id decision.RequestID, a Answer, why string) {
	r := c.requests[id]
	if r == nil || r.answered {
		return
	}
	c.tally.answers[a.Verdict]++
	c.letOut(r.job, a.Verdict == Served)
	if r.story != nil {
		c.tellEnd(r, a, why)
	}
	r.ingress.Answer(a)
	c.settle(r)
}

// settle marks a request as one that nothing more is owed.
func (c *Core) settle(r *request) {
	if !r.answered && c.watched(r) {
		c.gangs.Gone(r.job)
	}
	c.letOut(r.job, false)
	for i := range r.hops {
		r.hops[i].permit.revoke()
	}
	r.answered, r.ingress = true, nil
}

// forget gives back the id, the body and the reminders of a request that is
// answered and has no hop out. Guards against a flood of requests that are
// refused at once: their deadlines would pile up until they come.
func (c *Core) forget(r *request) {
	if !r.answered || c.requests[r.ref] != r {
		return
	}
	for i := range r.hops {
		if !r.hops[i].ended {
			return
		}
	}
	delete(c.requests, r.ref)
	delete(c.byID, r.job.ID)
	if r.story != nil {
		c.ended(r.story)
	}
	for _, d := range r.due {
		if d.place >= 0 {
			heap.Remove(&c.due, d.place)
		}
	}
}

// expire acts on a request whose deadline has come: each hop that is out times
// out, an answered request's too, and what the module then leaves without an
// answer fails.
func (c *Core) expire(r *request) {
	for i := range r.hops {
		c.giveUp(r, i, decision.TimedOut)
	}
	c.step()
	if !r.answered {
		// Guards rule 1 against a module that holds a request without a hop.
		h := Hop{Job: r.job}
		if r.story != nil {
			h.Parent = trace.Context{Trace: r.story.Trace, Span: r.story.Span}.Parent()
		}
		c.log.WithFields(h.Fields()).Warn("request was still held at its deadline and fails")
		c.answer(r.ref, Answer{Verdict: Failed}, whyHeld)
		c.event(decision.Event{Type: decision.RequestGone, Request: r.ref})
	}
}
