package core

import (
	"time"

	"frosttide/decision"
)

// hop is one attempt. The core ends it exactly once, whatever the target and
// the runner report, and in whatever order.
type hop struct {
	number   decision.WorkerID // whom the module named
	to       *worker           // nil if it has left the list
	deadline time.Duration
	permit   *Permit // nil where it was begun by another process
	reported bool    // the runner has said that the job started or runs
	taken    bool    // it has said that it has the job
	ended    bool
	never    bool // it ended, and surely never ran
	told     bool // others know of it
	recalled bool // its worker is being told that it is given up
	silent   bool // its worker has said nothing in time
}

// Report takes a runner's report on a job and tells whether the job is held here. One
// that names no hop that is out, as a repeat or one on a hop given up, changes nothing.
func (c *Core) Report(ev JobEvent, took func(bool)) {
	c.box.Put(func(c *Core) {
		took(c.byID[ev.ID] != nil)
		c.reported(ev)
	})
}

// HopEnded tells how a hop ended without a report on its job.
func (c *Core) HopEnded(ref HopRef, outcome decision.Outcome, load []float32, f Flight) {
	c.box.Put(func(c *Core) {
		r := c.requests[ref.Request]
		if r == nil || outcome == decision.TimedOut && r.hops[ref.Attempt].reported {
			return // that the runner has the job is known by its call-back
		}
		flown(r, ref.Attempt, f)
		h := &r.hops[ref.Attempt]
		if outcome == decision.TimedOut && c.confirms(r) && !r.answered && !h.ended {
			// Its connection is closed, of which a runner that stands still, or that nothing
			// reaches by it, has not heard.
			h.silent = true
			c.callOff(r, ref.Attempt, true)
			return
		}
		if c.end(r, ref.Attempt, outcome, load) {
			r.unusable = r.unusable || outcome == decision.Unusable
		}
	})
}

// HopTaken tells that the runner has the job: what becomes of it comes by Report.
func (c *Core) HopTaken(ref HopRef, f Flight) {
	c.box.Put(func(c *Core) {
		if r := c.requests[ref.Request]; r != nil {
			r.hops[ref.Attempt].taken = true
			flown(r, ref.Attempt, f)
			if r.story != nil && !r.hops[ref.Attempt].ended { // a call-back may come before the 202
				r.story.Hops[ref.Attempt].Taken = c.now
			}
		}
	})
}

// uid names the runner of a hop; empty if it has left the list before.
func (h *hop) uid() string {
	if h.to == nil {
		return ""
	}
	return h.to.uid
}

func (c *Core) send(a *decision.Action) {
	r := c.requests[a.Request]
	if r == nil {
		return
	}
	w, attempt := c.byNumber[a.Worker], len(r.hops)
	end := r.deadline
	if a.After > 0 {
		end = min(end, c.now+a.After)
	}
	r.hops = append(r.hops, hop{number: a.Worker, to: w, deadline: end, permit: c.permit(r, w, a.Begin)})
	if r.story != nil {
		c.began(r.story, w)
	}
	if most := c.cfg.Limits.MaxAttempts; w == nil || r.answered || c.now >= end || most > 0 && attempt >= most || c.fenced() {
		c.end(r, attempt, decision.NotSent, nil)
		return
	}
	if end < r.deadline {
		c.remind(r, due{at: end, attempt: attempt})
	}
	if c.watched(r) {
		c.gangs.Sent(r.job, attempt, w.uid)
	}
	if c.remembers(r.job) {
		c.sending(r, attempt, w)
		return
	}
	w.target.Send(c.hop(r, attempt))
}

// permit makes the permit of an attempt that is decided on now and may begin until a moment, 0 for
// its deadline.
func (c *Core) permit(r *request, w *worker, until time.Duration) *Permit {
	p := &Permit{gone: r.job.Gone}
	if c.guard != nil {
		p.fence, p.stood = &c.guard.fence, c.guard.fence.seen()
	}
	if w != nil {
		p.epoch, p.of = &w.epoch, w.epoch.now()
	}
	if until > 0 {
		p.latest = c.moment(until)
	}
	return p
}

func (c *Core) hop(r *request, attempt int) Hop {
	out := &r.hops[attempt]
	h := Hop{Ref: HopRef{r.ref, attempt}, Job: r.job, Deadline: c.moment(out.deadline), Permit: out.permit,
		Sole: c.sole(r)}
	if r.story != nil {
		of := r.story.Of(attempt)
		h.Parent, h.State = of.Parent(), of.State
	}
	return h
}

// sole tells whether no attempt of the request may be out beside another, or follow one that may
// have run.
func (c *Core) sole(r *request) bool {
	return !c.cfg.Limits.HedgingAllowed || c.cfg.Classes[r.job.Class].Effect == decision.Unsafe
}

// confirms tells whether a worker has to have heard that an attempt was given up before another
// follows. What must not run twice has no other.
func (c *Core) confirms(r *request) bool {
	return !c.cfg.Limits.HedgingAllowed && c.cfg.Classes[r.job.Class].Effect != decision.Unsafe
}

// end is the one place where a hop ends: what is told of it later is passed
// over. Guards against a call-back that comes twice, or after the hop was given
// up, and against a broken connection told after its call-back.
func (c *Core) end(r *request, attempt int, outcome decision.Outcome, load []float32) bool {
	if attempt < 0 || attempt >= len(r.hops) || r.hops[attempt].ended {
		return false
	}
	h := &r.hops[attempt]
	h.ended, h.never = true, outcome.NeverRan()
	c.freed(r, attempt)
	c.tally.hops[outcome]++
	if outcome == decision.Rejected && c.guard != nil {
		c.guard.door.TurnedAway(c.now)
	}
	if h.to != nil && outcome != decision.NotSent && outcome != decision.Canceled {
		h.to.met = true
	}
	if c.watched(r) {
		c.gangs.Ended(r.job, attempt, outcome == decision.Served)
	}
	if c.witness != nil && h.to != nil {
		c.witness.HopEnded(h.to.uid, outcome)
	}
	if r.story != nil {
		told := &r.story.Hops[attempt]
		told.Ended, told.Outcome, told.MayHaveRun = c.now, outcomes[outcome], !outcome.NeverRan()
	}
	// The module's own number, also for a worker that left in the same batch as
	// the Send: with another the module would not find the attempt, and hold the
	// request until its deadline.
	ev := decision.Event{Type: decision.AttemptEnded, Request: r.ref, Attempt: attempt, Worker: h.number,
		Outcome: outcome, Closed: r.answered || outcome == decision.Served}
	ev.Loads = uint8(copy(ev.Load[:], load))
	c.event(ev)
	return true
}

func (c *Core) reported(ev JobEvent) {
	r := c.byID[ev.ID]
	if r == nil {
		return
	}
	for i := range r.hops {
		h := &r.hops[i]
		if h.ended || h.to.uid != ev.From {
			continue
		}
		note := decision.Event{Request: r.ref, Attempt: i, Worker: h.number, Progress: ev.Share}
		if r.story != nil {
			r.story.Hops[i].Note(c.now, jobStates[ev.State], ev.Share)
		}
		if to, ok := r.ingress.(Streamer); ok {
			to.Stream(ev)
		}
		switch ev.State {
		case JobStarted:
			h.reported = true
			if c.witness != nil {
				c.witness.JobStarted(ev.From)
			}
			if c.watched(r) {
				c.gangs.Started(r.job, i)
			}
			note.Type = decision.AttemptStarted
			c.event(note)
		case JobRunning:
			h.reported = true
			if c.watched(r) {
				c.gangs.Reported(r.job, i, ev.Share)
			}
			note.Type = decision.AttemptProgressed
			c.event(note)
		case JobDone:
			c.done(r, h, ev.Result)
			c.end(r, i, decision.Served, ev.Load)
			c.answer(r.ref, Answer{Verdict: Served, Result: ev.Result, Last: ev.Last, Streamed: ev.Streamed}, whyDone)
		case JobFailed:
			c.end(r, i, decision.Errored, ev.Load)
		case JobReturned:
			c.end(r, i, decision.Rejected, ev.Load)
		case JobLost:
			c.end(r, i, decision.ConnReset, ev.Load)
		}
		return
	}
	c.strange(r, ev)
}

// strange takes in a report on a job by a runner that it was not sent to. Guards against
// an address that is another runner's by now: while the job is out at one alone, that one
// is not who it was.
func (c *Core) strange(r *request, ev JobEvent) {
	if c.witness == nil || ev.State != JobStarted || c.workers[ev.From] == nil {
		return
	}
	for i := range r.hops {
		if h := &r.hops[i]; !h.ended && len(r.hops) == 1 {
			c.witness.Stranger(h.to.uid)
		}
	}
}
