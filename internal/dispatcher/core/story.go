package core

import (
	"net/http"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/trace"
)

// Where a request has a story, the core writes it from Submit on, and gives it away
// when the request is forgotten. Without one nothing here is called.

// Flight is what a target tells of a hop's way to its runner.
type Flight struct {
	Kept  bool // on a connection that was used before
	Bytes int  // of the body; 0 if it was not handed over whole
}

// Record names who takes the stories of requests that have ended; it is called before
// Run. It must not block.
func (c *Core) Record(ended func(*trace.Story)) { c.ended = ended }

// outcomes are the words for how hops end.
var outcomes = [...]string{decision.Served: "served", decision.Errored: "errored", decision.Rejected: "rejected",
	decision.TimedOut: "timed_out", decision.ConnectFailed: "unconnected", decision.ConnReset: "reset",
	decision.Canceled: "given_up", decision.NotSent: "not_sent", decision.Unusable: "unusable"}

// jobStates are the words for what runners report.
var jobStates = [...]string{JobStarted: "started", JobRunning: "running", JobDone: "done", JobFailed: "failed",
	JobReturned: "returned", JobLost: "lost", JobData: "data", JobWarning: "warning", JobException: "exception"}

// Holding is how many tokens of a target are out, and how many may be.
type Holding struct {
	Target      string
	Held, Limit int
}

// Testify names who is told what jobs find of runners; it is called before Run.
func (c *Core) Testify(w Witness) { c.witness = w }

// TellHeld names who is told from time to time what the targets hold; it is called before
// Run. It must not block; the slice is its own.
func (c *Core) TellHeld(wanted func() bool, to func([]Holding)) {
	c.wanted, c.held = wanted, to
}

// tellHeld does so.
func (c *Core) tellHeld() {
	if c.held == nil || !c.wanted() {
		return
	}
	out := make([]Holding, 0, len(c.workers))
	for uid, w := range c.workers {
		held, limit := c.module.Held(w.number)
		out = append(out, Holding{Target: uid, Held: held, Limit: limit})
	}
	c.held(out)
}

// duplicate answers a request whose id is open already. Guards the match of call-backs by
// id: two open requests of one id could not be told apart.
func (c *Core) duplicate(job *Job, ingress Ingress) {
	c.letOut(job, false)
	if job.Story != nil {
		job.Story.End(c.now, trace.Unusable, trace.ByCore, whyDuplicate)
		job.Story.Status = http.StatusConflict
		c.ended(job.Story)
	}
	ingress.Answer(Answer{Verdict: Duplicate})
}

// began takes down a hop. It has the same place in the story as in the request.
func (c *Core) began(s *trace.Story, w *worker) {
	h := trace.Hop{Began: max(c.now, s.Came)} // the clock was read before the request came in its batch
	if w != nil {
		h.Target, h.Addr, h.Zone = w.uid, w.addr, w.zone
		h.Cold = w.member.StartedAt > 0 && c.now < w.member.StartedAt+c.cfg.Rules.WarmUp
	}
	s.Next(h)
}

// flown takes down how a hop went out.
func flown(r *request, attempt int, f Flight) {
	if r.story != nil {
		r.story.Hops[attempt].Kept, r.story.Hops[attempt].Bytes = f.Kept, f.Bytes
	}
}

// tellEnd takes down how a request was answered.
func (c *Core) tellEnd(r *request, a Answer, why string) {
	s := r.story
	answer, by := trace.Failed, trace.ByModule
	switch a.Verdict {
	case Served:
		answer, by = trace.Served, trace.ByRunner
	case Shed:
		answer = trace.Refused
	case Unusable:
		answer, by = trace.Unusable, trace.ByRunner
	}
	if answer != trace.Served && c.now >= r.deadline {
		answer = trace.Expired
	}
	if why == whyHeld {
		by = trace.ByCore
	}
	s.End(c.now, answer, by, why)
	s.Refusal = a.Verdict == Shed
	if answer != trace.Served {
		return
	}
	for i := range s.Hops {
		if h := &s.Hops[i]; h.Outcome == outcomes[decision.Served] {
			var run time.Duration
			if h.Started > 0 {
				run = h.Ended - h.Started
			}
			s.Target = h.Target
			s.Late = s.Ended-s.Came > c.cfg.Classes[r.job.Class].InTime(run)
		}
	}
}

// The reasons that the core gives itself.
const (
	whyDone      = "done"
	whyHeld      = "held" // neither answered nor sent, until its time was up
	whyLeft      = "client_left"
	whyDuplicate = "duplicate"
)

// adoptStory makes the story that came with a request fit its hops. Guards against an
// older process that wrote none.
func (c *Core) adoptStory(r *request, m *Moved) {
	s := r.story
	s.Moved = true
	for i := len(s.Hops); i < len(r.hops); i++ {
		past := m.Hops[i].Past
		s.Next(trace.Hop{Target: m.Hops[i].UID, Began: past.SentAt, Started: past.StartedAt})
		if past.Ended {
			s.Hops[i].Ended, s.Hops[i].Outcome = c.now, outcomes[past.Outcome]
		}
	}
}
