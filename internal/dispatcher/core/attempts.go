package core

import (
	"time"

	"frosttide/decision"
)

// attemptState is the state of one attempt of a request. Its index in request.attempts is the
// number that the decision module uses for it.
type attemptState struct {
	workerNumber decision.WorkerID // the number in the Send action
	worker       *worker           // nil if the worker had left the list
	deadline     time.Duration
	permit       *Permit // nil if the attempt was made by another process or dispatcher

	reported     bool // the worker has reported that the job started or is running
	accepted     bool // the worker has confirmed that it has the job
	recorded     bool // the attempt was announced to the outcome store
	cancelSent   bool // the cancellation is being sent to the worker
	unresponsive bool // the worker did not accept the job in time
	delivery     Delivery
	ended        bool
	neverRan     bool // it has ended and certainly never ran
}

// workerUID returns the UID of the attempt's worker, "" if the worker had left the list.
func (a *attemptState) workerUID() string {
	if a.worker == nil {
		return ""
	}
	return a.worker.uid
}

// AttemptAccepted reports that the worker has accepted the job. The result follows by Report.
func (c *Core) AttemptAccepted(ref AttemptRef, d Delivery) {
	c.mailbox.Put(func(c *Core) {
		if r := c.requests[ref.Request]; r != nil {
			r.attempts[ref.Number].accepted = true
			recordDelivery(r, ref.Number, d)
			// The report on the end of the job may arrive before the worker's 202 response.
			if r.record != nil && !r.attempts[ref.Number].ended {
				r.record.Attempts[ref.Number].Accepted = c.now
			}
		}
	})
}

// AttemptEnded reports that an attempt ended without a report on its job. The values of load are in
// the order of decision.Config.Metrics.
func (c *Core) AttemptEnded(ref AttemptRef, outcome decision.Outcome, load []float32, d Delivery) {
	c.mailbox.Put(func(c *Core) {
		r := c.requests[ref.Request]
		if r == nil || outcome == decision.TimedOut && r.attempts[ref.Number].reported {
			return // the worker's report proves that it has the job
		}
		recordDelivery(r, ref.Number, d)
		a := &r.attempts[ref.Number]
		a.delivery = d
		if outcome == decision.TimedOut && c.needsConfirmation(r) && !r.answered && !a.ended {
			// The connection was closed, but a stalled or unreachable worker does not know it.
			a.unresponsive = true
			c.recall(r, ref.Number, true)
			return
		}
		if c.endAttempt(r, ref.Number, outcome, load) {
			r.unusable = r.unusable || outcome == decision.Unusable
		}
	})
}

// sendAttempt performs a Send action of the decision module.
func (c *Core) sendAttempt(action *decision.Action) {
	r := c.requests[action.Request]
	if r == nil {
		return
	}
	w, attempt := c.workersByNumber[action.Worker], len(r.attempts)
	deadline := r.deadline
	if action.After > 0 {
		deadline = min(deadline, c.now+action.After)
	}
	r.attempts = append(r.attempts, attemptState{
		workerNumber: action.Worker,
		worker:       w,
		deadline:     deadline,
		permit:       c.newPermit(r, w, action.LatestStart),
	})
	if r.record != nil {
		c.recordStart(r.record, w)
	}
	maxAttempts := c.cfg.Limits.MaxAttempts
	exhausted := maxAttempts > 0 && attempt >= maxAttempts
	if w == nil || r.answered || c.now >= deadline || exhausted || c.stalled() {
		c.endAttempt(r, attempt, decision.NotSent, nil)
		return
	}
	if deadline < r.deadline {
		c.addRequestTimer(r, timerEntry{at: deadline, attempt: attempt})
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

// newPermit returns the permit of an attempt that is decided on now. The attempt may start until
// latestStart; 0 stands for its deadline.
func (c *Core) newPermit(r *request, w *worker, latestStart time.Duration) *Permit {
	p := &Permit{clientLeft: r.job.ClientLeft}
	if c.guard != nil {
		p.detector, p.decidedStalls = &c.guard.detector, c.guard.detector.stallCount()
	}
	if w != nil {
		p.epoch, p.decidedEpoch = &w.epoch, w.epoch.current()
	}
	if latestStart > 0 {
		p.latestStart = c.wallTime(latestStart)
	}
	return p
}

// newAttempt returns an attempt in the form that backends take.
func (c *Core) newAttempt(r *request, number int) Attempt {
	state := &r.attempts[number]
	a := Attempt{
		Ref:       AttemptRef{r.id, number},
		Job:       r.job,
		Deadline:  c.wallTime(state.deadline),
		Permit:    state.permit,
		Exclusive: c.exclusive(r),
	}
	if r.record != nil {
		span := r.record.AttemptContext(number)
		a.Parent, a.State = span.Parent(), span.State
	}
	return a
}

// exclusive reports whether the request may have only one open attempt at a time, and no further
// attempt after one that may have run.
func (c *Core) exclusive(r *request) bool {
	return !c.cfg.Limits.HedgingAllowed || c.cfg.Classes[r.job.Class].Effect == decision.Unsafe
}

// needsConfirmation reports whether a worker must know that an attempt is canceled before the next
// attempt is sent. This does not apply to jobs that must not run twice, as no attempt follows
// theirs.
func (c *Core) needsConfirmation(r *request) bool {
	return !c.cfg.Limits.HedgingAllowed && c.cfg.Classes[r.job.Class].Effect != decision.Unsafe
}

// endAttempt is the only place where an attempt ends. It reports whether it ended the attempt, and
// ignores an attempt that has ended already: a report may arrive twice or after a cancellation, and
// a broken connection may be noticed after the report.
func (c *Core) endAttempt(r *request, attempt int, outcome decision.Outcome, load []float32) bool {
	if attempt < 0 || attempt >= len(r.attempts) || r.attempts[attempt].ended {
		return false
	}
	a := &r.attempts[attempt]
	a.ended, a.neverRan = true, outcome.NeverRan()
	c.recordNeverRan(r, attempt)
	c.observeEnd(r, attempt, outcome)
	if r.record != nil {
		span := &r.record.Attempts[attempt]
		span.Ended, span.Outcome, span.MayHaveRun = c.now, outcomeNames[outcome], !outcome.NeverRan()
	}
	// Use the worker's number from the Send action even if the worker left the list in the same
	// batch. With another number the module would not find the attempt and would hold the request
	// until its deadline.
	ev := decision.Event{
		Type:          decision.AttemptEnded,
		Request:       r.id,
		Attempt:       attempt,
		Worker:        a.workerNumber,
		Outcome:       outcome,
		RequestClosed: r.answered || outcome == decision.Served,
	}
	ev.LoadCount = uint8(copy(ev.Load[:], load))
	c.addEvent(ev)
	return true
}

// observeEnd counts the end of an attempt and notifies the observers.
func (c *Core) observeEnd(r *request, attempt int, outcome decision.Outcome) {
	w := r.attempts[attempt].worker
	c.summary.attempts[outcome]++
	if outcome == decision.Rejected && c.guard != nil {
		c.guard.admission.RunnerRejected(c.now)
	}
	if w != nil && outcome != decision.NotSent && outcome != decision.Canceled {
		w.hasEndedAttempt = true
	}
	if c.inObservedGang(r) {
		c.gangs.Ended(r.job, attempt, outcome == decision.Served)
	}
	if c.observer != nil && w != nil {
		c.observer.AttemptEnded(w.uid, outcome, r.attempts[attempt].delivery)
	}
}
