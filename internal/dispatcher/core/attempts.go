package core

import (
	"time"

	"frosttide/decision"
)

// attemptState is one attempt. The core ends it exactly once, whatever the target and
// the runner report, and in whatever order.
type attemptState struct {
	workerNumber decision.WorkerID // whom the module named
	worker       *worker           // nil if it has left the list
	deadline     time.Duration
	permit       *Permit // nil where it was begun by another process
	reported     bool    // the runner has said that the job started or runs
	accepted     bool    // it has said that it has the job
	ended        bool
	neverRan     bool // it ended, and surely never ran
	recorded     bool // others know of it
	recalled     bool // its worker is being told that it is given up
	unresponsive bool // its worker has said nothing in time
}

// Report takes a runner's report on a job and tells whether the job is held here. One
// that names no hop that is out, as a repeat or one on a hop given up, changes nothing.
func (c *Core) Report(ev JobEvent, took func(bool)) {
	c.mailbox.Put(func(c *Core) {
		took(c.byID[ev.ID] != nil)
		c.handleReport(ev)
	})
}

// AttemptEnded tells how a hop ended without a report on its job.
func (c *Core) AttemptEnded(ref AttemptRef, outcome decision.Outcome, load []float32, f Delivery) {
	c.mailbox.Put(func(c *Core) {
		r := c.requests[ref.Request]
		if r == nil || outcome == decision.TimedOut && r.attempts[ref.Number].reported {
			return // that the runner has the job is known by its call-back
		}
		recordDelivery(r, ref.Number, f)
		h := &r.attempts[ref.Number]
		if outcome == decision.TimedOut && c.needsConfirmation(r) && !r.answered && !h.ended {
			// Its connection is closed, of which a runner that stands still, or that nothing
			// reaches by it, has not heard.
			h.unresponsive = true
			c.recall(r, ref.Number, true)
			return
		}
		if c.endAttempt(r, ref.Number, outcome, load) {
			r.unusable = r.unusable || outcome == decision.Unusable
		}
	})
}

// AttemptAccepted tells that the runner has the job: what becomes of it comes by Report.
func (c *Core) AttemptAccepted(ref AttemptRef, f Delivery) {
	c.mailbox.Put(func(c *Core) {
		if r := c.requests[ref.Request]; r != nil {
			r.attempts[ref.Number].accepted = true
			recordDelivery(r, ref.Number, f)
			if r.record != nil && !r.attempts[ref.Number].ended { // a call-back may come before the 202
				r.record.Attempts[ref.Number].Accepted = c.now
			}
		}
	})
}

// workerUID names the runner of a hop; empty if it has left the list before.
func (h *attemptState) workerUID() string {
	if h.worker == nil {
		return ""
	}
	return h.worker.uid
}

func (c *Core) sendAttempt(a *decision.Action) {
	r := c.requests[a.Request]
	if r == nil {
		return
	}
	w, attempt := c.workersByNumber[a.Worker], len(r.attempts)
	end := r.deadline
	if a.After > 0 {
		end = min(end, c.now+a.After)
	}
	r.attempts = append(r.attempts, attemptState{workerNumber: a.Worker, worker: w, deadline: end, permit: c.newPermit(r, w, a.LatestStart)})
	if r.record != nil {
		c.recordStart(r.record, w)
	}
	if maxAttempts := c.cfg.Limits.MaxAttempts; w == nil || r.answered || c.now >= end || maxAttempts > 0 && attempt >= maxAttempts || c.stalled() {
		c.endAttempt(r, attempt, decision.NotSent, nil)
		return
	}
	if end < r.deadline {
		c.addRequestTimer(r, timerEntry{at: end, attempt: attempt})
	}
	if c.inObservedGang(r) {
		c.gangs.Sent(r.job, attempt, w.uid)
	}
	if c.recordsOutcome(r.job) {
		c.sendRecorded(r, attempt, w)
		return
	}
	w.backend.Send(c.newAttempt(r, attempt))
}

// newPermit makes the permit of an attempt that is decided on now and may begin until a moment, 0 for
// its deadline.
func (c *Core) newPermit(r *request, w *worker, until time.Duration) *Permit {
	p := &Permit{clientLeft: r.job.ClientLeft}
	if c.guard != nil {
		p.detector, p.decidedStalls = &c.guard.detector, c.guard.detector.stallCount()
	}
	if w != nil {
		p.epoch, p.decidedEpoch = &w.epoch, w.epoch.current()
	}
	if until > 0 {
		p.latestStart = c.wallTime(until)
	}
	return p
}

func (c *Core) newAttempt(r *request, attempt int) Attempt {
	out := &r.attempts[attempt]
	h := Attempt{Ref: AttemptRef{r.id, attempt}, Job: r.job, Deadline: c.wallTime(out.deadline), Permit: out.permit,
		Exclusive: c.exclusive(r)}
	if r.record != nil {
		of := r.record.AttemptContext(attempt)
		h.Parent, h.State = of.Parent(), of.State
	}
	return h
}

// exclusive tells whether no attempt of the request may be out beside another, or follow one that may
// have run.
func (c *Core) exclusive(r *request) bool {
	return !c.cfg.Limits.HedgingAllowed || c.cfg.Classes[r.job.Class].Effect == decision.Unsafe
}

// needsConfirmation tells whether a worker has to have heard that an attempt was given up before another
// follows. What must not run twice has no other.
func (c *Core) needsConfirmation(r *request) bool {
	return !c.cfg.Limits.HedgingAllowed && c.cfg.Classes[r.job.Class].Effect != decision.Unsafe
}

// endAttempt is the one place where a hop ends: what is told of it later is passed
// over. Guards against a call-back that comes twice, or after the hop was given
// up, and against a broken connection told after its call-back.
func (c *Core) endAttempt(r *request, attempt int, outcome decision.Outcome, load []float32) bool {
	if attempt < 0 || attempt >= len(r.attempts) || r.attempts[attempt].ended {
		return false
	}
	h := &r.attempts[attempt]
	h.ended, h.neverRan = true, outcome.NeverRan()
	c.recordNeverRan(r, attempt)
	c.summary.attempts[outcome]++
	if outcome == decision.Rejected && c.guard != nil {
		c.guard.admission.TurnedAway(c.now)
	}
	if h.worker != nil && outcome != decision.NotSent && outcome != decision.Canceled {
		h.worker.hasEndedAttempt = true
	}
	if c.inObservedGang(r) {
		c.gangs.Ended(r.job, attempt, outcome == decision.Served)
	}
	if c.observer != nil && h.worker != nil {
		c.observer.AttemptEnded(h.worker.uid, outcome)
	}
	if r.record != nil {
		span := &r.record.Attempts[attempt]
		span.Ended, span.Outcome, span.MayHaveRun = c.now, outcomeNames[outcome], !outcome.NeverRan()
	}
	// The module's own number, also for a worker that left in the same batch as
	// the Send: with another the module would not find the attempt, and hold the
	// request until its deadline.
	ev := decision.Event{Type: decision.AttemptEnded, Request: r.id, Attempt: attempt, Worker: h.workerNumber,
		Outcome: outcome, RequestClosed: r.answered || outcome == decision.Served}
	ev.LoadCount = uint8(copy(ev.Load[:], load))
	c.addEvent(ev)
	return true
}

func (c *Core) handleReport(ev JobEvent) {
	r := c.byID[ev.ID]
	if r == nil {
		return
	}
	for i := range r.attempts {
		h := &r.attempts[i]
		if h.ended || h.worker.uid != ev.From {
			continue
		}
		event := decision.Event{Request: r.id, Attempt: i, Worker: h.workerNumber, Progress: ev.Share}
		if r.record != nil {
			r.record.Attempts[i].AddEvent(c.now, jobStateNames[ev.State], ev.Share)
		}
		if to, ok := r.ingress.(Streamer); ok {
			to.Stream(ev)
		}
		switch ev.State {
		case JobStarted:
			h.reported = true
			if c.observer != nil {
				c.observer.JobStarted(ev.From)
			}
			if c.inObservedGang(r) {
				c.gangs.Started(r.job, i)
			}
			event.Type = decision.AttemptStarted
			c.addEvent(event)
		case JobRunning:
			h.reported = true
			if c.inObservedGang(r) {
				c.gangs.Progressed(r.job, i, ev.Share)
			}
			event.Type = decision.AttemptProgressed
			c.addEvent(event)
		case JobDone:
			c.recordDone(r, h, ev.Result)
			c.endAttempt(r, i, decision.Served, ev.Load)
			c.respond(r.id, Response{Verdict: Served, Result: ev.Result, Last: ev.Last, Streamed: ev.Streamed}, reasonDone)
		case JobFailed:
			c.endAttempt(r, i, decision.Errored, ev.Load)
		case JobReturned:
			c.endAttempt(r, i, decision.Rejected, ev.Load)
		case JobLost:
			c.endAttempt(r, i, decision.ConnReset, ev.Load)
		}
		return
	}
	c.handleUnknownSender(r, ev)
}

// handleUnknownSender takes in a report on a job by a runner that it was not sent to. Guards against
// an address that is another runner's by now: while the job is out at one alone, that one
// is not who it was.
func (c *Core) handleUnknownSender(r *request, ev JobEvent) {
	if c.observer == nil || ev.State != JobStarted || c.workers[ev.From] == nil {
		return
	}
	for i := range r.attempts {
		if h := &r.attempts[i]; !h.ended && len(r.attempts) == 1 {
			c.observer.UnknownSender(h.worker.uid)
		}
	}
}
