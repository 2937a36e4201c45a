package core

import (
	"math/rand/v2"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/fleet/recovery/admission"
	"frosttide/internal/dispatcher/fleet/recovery/stall"
	"frosttide/internal/dispatcher/trace"
)

// reasonRejoining is why a job is rejected or not sent while the dispatcher
// rejoins its cluster. The word is part of span records.
const reasonRejoining = "coming_back"

// stallBound returns how long the process must have stalled for its knowledge to
// be doubted: as long as work may be sent to a worker after it began to drain.
// The loop of the core runs every refreshInterval by itself, so a shorter bound
// would detect stalls where there are none.
func stallBound(drainGrace time.Duration) time.Duration { return max(drainGrace, 2*refreshInterval) }

// guard bounds what a dispatcher admits and sends while it rejoins its cluster,
// and detects stalls of the process. A dispatcher without a cluster has none.
type guard struct {
	admission   admission.Limiter
	stallWatch  stall.Watch
	stalls      int                        // detected so far
	detector    stallDetector              // shows stalls to attempts on their way
	admitsKeyed bool                       // jobs that must not run twice are admitted too
	onStall     func(length time.Duration) // must not block
}

// Guard has the core admit jobs gradually, none at first, and detect stalls of
// the process: after one, nothing is admitted or sent until SetAdmission is
// called with the new number of stalls. Each stall is passed to onStall, which
// must not block. Guard must be called before Run.
func (c *Core) Guard(onStall func(length time.Duration)) {
	bound := stallBound(c.cfg.Rules.DrainGrace)
	c.guard = &guard{
		stallWatch: stall.Watch{Bound: bound},
		onStall:    onStall,
		detector:   stallDetector{clock: c.moduleTime, bound: bound},
	}
	c.guard.detector.observe(c.moduleTime(time.Now()), false)
	c.guard.admission.SetLevel(admission.Closed, 0, 0)
}

// SetAdmission sets how many jobs are admitted. At level Ajar, initial is how many
// may be in flight to begin with; admitsKeyed admits jobs that must not run twice
// too. Stalls is how many stalls the caller knows of: a call that was decided on
// before the last stall changes nothing.
func (c *Core) SetAdmission(level admission.Level, admitsKeyed bool, initial, stalls int) {
	c.mailbox.Put(func(c *Core) {
		if c.guard != nil && stalls == c.guard.stalls {
			c.guard.admitsKeyed = admitsKeyed
			c.guard.admission.SetLevel(level, initial, c.now)
		}
	})
}

// RejoinProgress is how far a dispatcher has rejoined, as its core knows it.
type RejoinProgress struct {
	Listed       int  // workers in the list
	Unrestricted bool // admission has been wide enough for all jobs that came
}

// RejoinProgress passes the progress to a function, which the core's goroutine
// calls soon.
func (c *Core) RejoinProgress(to func(RejoinProgress)) {
	c.mailbox.Put(func(c *Core) {
		progress := RejoinProgress{Listed: len(c.workers)}
		if c.guard != nil {
			progress.Unrestricted = c.guard.admission.Unrestricted(c.now)
		}
		to(progress)
	})
}

// SetWarmUpPeers has warming workers be shared among that many dispatchers, this
// one included, in place of the number in the settings.
func (c *Core) SetWarmUpPeers(count int) {
	c.mailbox.Put(func(c *Core) {
		if c.warmUpPeers != count {
			c.warmUpPeers = count
			c.step() // events that came before count by the old number
			c.applyConfig()
		}
	})
}

// observe detects a stall before anything else is done in a turn of the loop. It
// protects workers that were drained or replaced during the stall: what has
// arrived on the process's sockets meanwhile is read in any order.
func (g *guard) observe(now time.Duration) {
	if g == nil {
		return
	}
	length, _ := g.stallWatch.Observe(now, now)
	if length > 0 {
		g.stalls++
		g.admission.SetLevel(admission.Closed, 0, now)
		g.onStall(length)
	}
	g.detector.observe(now, length > 0)
}

// admit reports whether a job is admitted, and responds to it where it is not.
func (c *Core) admit(job *Job, ingress Ingress) bool {
	if c.guard == nil {
		return true
	}
	admitted, counted := false, false
	if c.guard.admitsKeyed || c.cfg.Classes[job.Class].Effect == decision.Safe {
		admitted, counted = c.guard.admission.Admit(c.now)
	}
	if job.Compensating { // no client would retry it
		admitted = admitted || c.guard.admission.Level() == admission.Limited
	}
	if admitted {
		job.admissionCounted = counted
		return true
	}
	c.summary.responses[Rejected]++
	after := c.guard.admission.RetryAfter(rand.Float64(), c.cfg.Limits.MaxRetryAfter, c.now)
	if !c.cfg.Limits.RetryAfter {
		after = 0
	}
	c.endRejectedRecord(job, reasonRejoining)
	ingress.Respond(Response{Verdict: Rejected, RetryAfter: after})
	return false
}

// endRejectedRecord ends the span record, if there is one, of a job that was
// rejected before it became a request.
func (c *Core) endRejectedRecord(job *Job, reason string) {
	if job.Record == nil {
		return
	}
	job.Record.Finish(c.now, trace.Refused, trace.ByCore, reason)
	job.Record.Retryable = true
	c.onRecord(job.Record)
}

// stalled reports whether nothing may be sent: the process has stalled, and has
// not refreshed its knowledge of the workers since.
func (c *Core) stalled() bool { return c.guard != nil && c.guard.admission.Level() == admission.Closed }

// releaseAdmission records that a job no longer counts among those admitted.
// Served says whether a worker served it.
func (c *Core) releaseAdmission(job *Job, served bool) {
	if job.admissionCounted {
		job.admissionCounted = false
		c.guard.admission.JobEnded(served, c.now)
	}
}
