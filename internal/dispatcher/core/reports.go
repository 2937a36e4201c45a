package core

import "frosttide/decision"

// Report processes a worker's report on a job, and calls onResult with whether this process holds
// the job. A report that matches no open attempt, such as a repeated one or one on a canceled
// attempt, has no effect on the request.
func (c *Core) Report(ev JobEvent, onResult func(ReportResult)) {
	c.mailbox.Put(func(c *Core) {
		onResult(c.reportResult(ev.ID))
		c.handleReport(ev)
	})
}

// reportResult returns whether this process holds the job.
func (c *Core) reportResult(id string) ReportResult {
	switch {
	case c.requestsByJobID[id] != nil:
		return Held
	case c.releasedIDs[id]:
		return Moving
	}
	return NotHeld
}

// handleReport applies a report to the open attempt of the worker that sent it.
func (c *Core) handleReport(ev JobEvent) {
	r := c.requestsByJobID[ev.ID]
	if r == nil {
		return
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.ended && a.worker.uid == ev.From {
			c.applyReport(r, i, ev)
			return
		}
	}
	c.handleUnknownSender(r, ev)
}

// applyReport applies a report to an attempt.
func (c *Core) applyReport(r *request, attempt int, ev JobEvent) {
	a := &r.attempts[attempt]
	if r.record != nil {
		r.record.Attempts[attempt].AddEvent(c.now, jobStateNames[ev.State], ev.Share)
	}
	if streamer, ok := r.ingress.(Streamer); ok {
		streamer.Stream(ev)
	}
	switch ev.State {
	case JobStarted:
		c.handleStarted(r, attempt, ev)
	case JobRunning:
		c.handleProgress(r, attempt, ev)
	case JobDone:
		c.recordDone(r, a, ev.Result)
		c.endAttempt(r, attempt, decision.Served, ev.Load)
		c.respond(r.id, Response{Verdict: Served, Result: ev.Result, Last: ev.Last, Streamed: ev.Streamed}, reasonDone)
	case JobFailed:
		c.endAttempt(r, attempt, decision.Errored, ev.Load)
	case JobReturned:
		c.endAttempt(r, attempt, decision.Rejected, ev.Load)
	case JobLost:
		c.endAttempt(r, attempt, decision.ConnReset, ev.Load)
	}
}

// handleStarted handles the report that a job has started.
func (c *Core) handleStarted(r *request, attempt int, ev JobEvent) {
	a := &r.attempts[attempt]
	a.reported = true
	if c.observer != nil {
		c.observer.JobStarted(ev.From)
	}
	if c.inObservedGang(r) {
		c.gangs.Started(r.job, attempt)
	}
	c.addEvent(decision.Event{Type: decision.AttemptStarted, Request: r.id, Attempt: attempt, Worker: a.workerNumber, Progress: ev.Share})
}

// handleProgress handles the report that a job is running.
func (c *Core) handleProgress(r *request, attempt int, ev JobEvent) {
	a := &r.attempts[attempt]
	a.reported = true
	if c.inObservedGang(r) {
		c.gangs.Progressed(r.job, attempt, ev.Share)
	}
	c.addEvent(decision.Event{Type: decision.AttemptProgressed, Request: r.id, Attempt: attempt, Worker: a.workerNumber, Progress: ev.Share})
}

// handleUnknownSender handles a report by a worker that the job was not sent to. If the job has a
// single attempt, another worker has taken over the address of that attempt's worker, and the
// observer is notified.
func (c *Core) handleUnknownSender(r *request, ev JobEvent) {
	if c.observer == nil || ev.State != JobStarted || c.workers[ev.From] == nil {
		return
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.ended && len(r.attempts) == 1 {
			c.observer.UnknownSender(a.worker.uid)
		}
	}
}
