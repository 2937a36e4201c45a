package core

import (
	"net/http"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/trace"
)

// Where a request has a story, the core writes it from Submit on, and gives it away
// when the request is forgotten. Without one nothing here is called.

// Delivery is what a target tells of a hop's way to its runner.
type Delivery struct {
	Reused bool // on a connection that was used before
	Bytes  int  // of the body; 0 if it was not handed over whole
}

// SetRecordHook names who takes the stories of requests that have ended; it is called before
// Run. It must not block.
func (c *Core) SetRecordHook(ended func(*trace.Record)) { c.onRecord = ended }

// outcomeNames are the words for how hops end.
var outcomeNames = [...]string{decision.Served: "served", decision.Errored: "errored", decision.Rejected: "rejected",
	decision.TimedOut: "timed_out", decision.ConnectFailed: "unconnected", decision.ConnReset: "reset",
	decision.Canceled: "given_up", decision.NotSent: "not_sent", decision.Unusable: "unusable"}

// jobStateNames are the words for what runners report.
var jobStateNames = [...]string{JobStarted: "started", JobRunning: "running", JobDone: "done", JobFailed: "failed",
	JobReturned: "returned", JobLost: "lost", JobData: "data", JobWarning: "warning", JobException: "exception"}

// Holding is how many tokens of a target are out, and how many may be.
type Holding struct {
	Backend      string
	InUse, Limit int
}

// SetWorkerObserver names who is told what jobs find of runners; it is called before Run.
func (c *Core) SetWorkerObserver(w WorkerObserver) { c.observer = w }

// SetHoldingsHook names who is told from time to time what the targets hold; it is called before
// Run. It must not block; the slice is its own.
func (c *Core) SetHoldingsHook(wanted func() bool, to func([]Holding)) {
	c.holdingsWanted, c.onHoldings = wanted, to
}

// reportHoldings does so.
func (c *Core) reportHoldings() {
	if c.onHoldings == nil || !c.holdingsWanted() {
		return
	}
	out := make([]Holding, 0, len(c.workers))
	for uid, w := range c.workers {
		held, limit := c.module.TokensInUse(w.number)
		out = append(out, Holding{Backend: uid, InUse: held, Limit: limit})
	}
	c.onHoldings(out)
}

// rejectDuplicate answers a request whose id is open already. Guards the match of call-backs by
// id: two open requests of one id could not be told apart.
func (c *Core) rejectDuplicate(job *Job, ingress Ingress) {
	c.releaseAdmission(job, false)
	if job.Record != nil {
		job.Record.Finish(c.now, trace.Invalid, trace.ByCore, reasonDuplicate)
		job.Record.Status = http.StatusConflict
		c.onRecord(job.Record)
	}
	ingress.Respond(Response{Verdict: Duplicate})
}

// recordStart takes down a hop. It has the same place in the story as in the request.
func (c *Core) recordStart(s *trace.Record, w *worker) {
	h := trace.Attempt{Sent: max(c.now, s.Received)} // the clock was read before the request came in its batch
	if w != nil {
		h.Backend, h.Addr, h.Zone = w.uid, w.addr, w.zone
		h.WarmingUp = w.member.StartedAt > 0 && c.now < w.member.StartedAt+c.cfg.Rules.WarmUp
	}
	s.StartAttempt(h)
}

// recordDelivery takes down how a hop went out.
func recordDelivery(r *request, attempt int, f Delivery) {
	if r.record != nil {
		r.record.Attempts[attempt].ReusedConnection, r.record.Attempts[attempt].Bytes = f.Reused, f.Bytes
	}
}

// endRecord takes down how a request was answered.
func (c *Core) endRecord(r *request, a Response, why string) {
	s := r.record
	answer, by := trace.Failed, trace.ByModule
	switch a.Verdict {
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
	if why == reasonHeld {
		by = trace.ByCore
	}
	s.Finish(c.now, answer, by, why)
	s.Retryable = a.Verdict == Rejected
	if answer != trace.Served {
		return
	}
	for i := range s.Attempts {
		if h := &s.Attempts[i]; h.Outcome == outcomeNames[decision.Served] {
			var run time.Duration
			if h.Started > 0 {
				run = h.Ended - h.Started
			}
			s.Backend = h.Backend
			s.Overdue = s.Ended-s.Received > c.cfg.Classes[r.job.Class].LatencyTarget(run)
		}
	}
}

// The reasons that the core gives itself.
const (
	reasonDone       = "done"
	reasonHeld       = "held" // neither answered nor sent, until its time was up
	reasonClientLeft = "client_left"
	reasonDuplicate  = "duplicate"
)

// adoptRecord makes the story that came with a request fit its hops. Guards against an
// older process that wrote none.
func (c *Core) adoptRecord(r *request, m *MovedRequest) {
	s := r.record
	s.HandedOver = true
	for i := len(s.Attempts); i < len(r.attempts); i++ {
		past := m.Attempts[i].Record
		s.StartAttempt(trace.Attempt{Backend: m.Attempts[i].UID, Sent: past.SentAt, Started: past.StartedAt})
		if past.Ended {
			s.Attempts[i].Ended, s.Attempts[i].Outcome = c.now, outcomeNames[past.Outcome]
		}
	}
}
