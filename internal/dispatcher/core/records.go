package core

import (
	"net/http"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/trace"
)

// This file writes the span records of requests. A traced request has a record from Submit on; the
// core passes it to the hook when it removes the request. Except for recordDelivery, which checks
// for it, these functions must not be called for a request without a record.

// The core's own reasons for the end of a request, as written to span records.
const (
	reasonDone       = "done"
	reasonHeld       = "held" // neither answered nor sent by its deadline
	reasonClientLeft = "client_left"
	reasonDuplicate  = "duplicate"
)

// outcomeNames are the names of the outcomes of attempts in span records.
var outcomeNames = [...]string{
	decision.Served:        "served",
	decision.Errored:       "errored",
	decision.Rejected:      "rejected",
	decision.TimedOut:      "timed_out",
	decision.ConnectFailed: "unconnected",
	decision.ConnReset:     "reset",
	decision.Canceled:      "given_up",
	decision.NotSent:       "not_sent",
	decision.Unusable:      "unusable",
}

// jobStateNames are the names of the workers' reports in span records.
var jobStateNames = [...]string{
	JobStarted:   "started",
	JobRunning:   "running",
	JobDone:      "done",
	JobFailed:    "failed",
	JobReturned:  "returned",
	JobLost:      "lost",
	JobData:      "data",
	JobWarning:   "warning",
	JobException: "exception",
}

// Delivery describes how a backend delivered an attempt to its worker.
type Delivery struct {
	Reused bool // it was sent on a connection that had been used before
	Bytes  int  // size of the body; 0 if it was not sent completely
	// NoConnection means that the worker did not answer the attempt to connect in time. It has not
	// refused the connection either.
	NoConnection bool
}

// SetRecordHook sets the function that receives the span records of completed requests. It must be
// called before Run, and the hook must not block.
func (c *Core) SetRecordHook(onRecord func(*trace.Record)) { c.onRecord = onRecord }

// recordStart adds an attempt to a span record, at the same index as in the request.
func (c *Core) recordStart(record *trace.Record, w *worker) {
	// c.now was read at the start of the turn, possibly before the request arrived.
	span := trace.Attempt{Sent: max(c.now, record.Received)}
	if w != nil {
		span.Backend, span.Addr, span.Zone = w.uid, w.addr, w.zone
		span.WarmingUp = w.member.StartedAt > 0 && c.now < w.member.StartedAt+c.cfg.Rules.WarmUp
	}
	record.StartAttempt(span)
}

// recordDelivery records how an attempt was delivered.
func recordDelivery(r *request, attempt int, d Delivery) {
	if r.record != nil {
		r.record.Attempts[attempt].ReusedConnection, r.record.Attempts[attempt].Bytes = d.Reused, d.Bytes
	}
}

// endRecord records the final response to a request.
func (c *Core) endRecord(r *request, response Response, reason string) {
	record := r.record
	answer, by := trace.Failed, trace.ByModule
	switch response.Verdict {
	case Served:
		answer, by = trace.Served, trace.ByRunner
	case Rejected:
		answer = trace.Refused
	case Unusable:
		answer, by = trace.Invalid, trace.ByRunner
	}
	if answer != trace.Served && c.now >= r.deadline {
		answer = trace.Expired
	}
	if reason == reasonHeld {
		by = trace.ByCore
	}
	record.Finish(c.now, answer, by, reason)
	record.Retryable = response.Verdict == Rejected
	if answer == trace.Served {
		c.recordServed(r)
	}
}

// recordServed records which worker served a request, and whether the request missed the latency
// target of its class.
func (c *Core) recordServed(r *request) {
	record := r.record
	for i := range record.Attempts {
		span := &record.Attempts[i]
		if span.Outcome != outcomeNames[decision.Served] {
			continue
		}
		var run time.Duration
		if span.Started > 0 {
			run = span.Ended - span.Started
		}
		record.Backend = span.Backend
		record.Overdue = record.Ended-record.Received > c.cfg.Classes[r.job.Class].LatencyTarget(run)
	}
}

// endDuplicateRecord completes the record of a job that has the ID of an open request.
func (c *Core) endDuplicateRecord(record *trace.Record) {
	record.Finish(c.now, trace.Invalid, trace.ByCore, reasonDuplicate)
	record.Status = http.StatusConflict
	c.onRecord(record)
}

// adoptRecord completes the record of a request that another process has released: a process of an
// older release may not have recorded its attempts.
func (c *Core) adoptRecord(r *request, m *MovedRequest) {
	record := r.record
	record.HandedOver = true
	for i := len(record.Attempts); i < len(r.attempts); i++ {
		attempt := m.Attempts[i].Record
		record.StartAttempt(trace.Attempt{Backend: m.Attempts[i].UID, Sent: attempt.SentAt, Started: attempt.StartedAt})
		if attempt.Ended {
			record.Attempts[i].Ended, record.Attempts[i].Outcome = c.now, outcomeNames[attempt.Outcome]
		}
	}
}
