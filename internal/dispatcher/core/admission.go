package core

import (
	"math/rand/v2"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/fleet/recovery/admission"
	"frosttide/internal/dispatcher/fleet/recovery/stall"
	"frosttide/internal/dispatcher/trace"
)

// Why a job is not let in, or not sent, while the dispatcher comes back.
const reasonRejoining = "coming_back"

// stallBound is how long a process has to have stood still for what it knows to be doubted: as
// long as work may be sent after a drain was told. The core's loop looks every freshEvery by
// itself.
func stallBound(grace time.Duration) time.Duration { return max(grace, 2*refreshInterval) }

// guard is what watches over a dispatcher that comes back together with others. One on its own
// has none.
type guard struct {
	admission   admission.Door
	stallWatch  stall.Watch
	stalls      int                       // standstills so far
	detector    stallDetector             // tells attempts of them
	admitsKeyed bool                      // jobs that must not run twice are let in too
	onStall     func(still time.Duration) // must not block
}

// Guard has the core let jobs in by a door, closed at first, and notice when the process stood
// still: from then on the door is closed, and nothing is sent, until Open says otherwise. It
// is called before Run.
func (c *Core) Guard(woke func(still time.Duration)) {
	bound := stallBound(c.cfg.Rules.DrainGrace)
	c.guard = &guard{stallWatch: stall.Watch{Bound: bound}, onStall: woke, detector: stallDetector{clock: c.moduleTime, bound: bound}}
	c.guard.detector.observe(c.moduleTime(time.Now()), false)
	c.guard.admission.Set(admission.Closed, 0, 0)
}

// SetAdmission sets how far the door stands open. First is how many jobs may be under way to begin with,
// where it is ajar; keyed lets in jobs that must not run twice too. Stood is how many standstills the caller knows of: what was decided before
// the last one does not count.
func (c *Core) SetAdmission(level admission.Level, keyed bool, first, stood int) {
	c.mailbox.Put(func(c *Core) {
		if c.guard != nil && stood == c.guard.stalls {
			c.guard.admitsKeyed = keyed
			c.guard.admission.Set(level, first, c.now)
		}
	})
}

// RejoinProgress is what the core knows of a dispatcher's coming back.
type RejoinProgress struct {
	Listed       int  // runners
	Unrestricted bool // the door has been wide enough for all that came
}

// RejoinProgress tells it, soon, from another goroutine.
func (c *Core) RejoinProgress(to func(RejoinProgress)) {
	c.mailbox.Put(func(c *Core) {
		w := RejoinProgress{Listed: len(c.workers)}
		if c.guard != nil {
			w.Unrestricted = c.guard.admission.Bears(c.now)
		}
		to(w)
	})
}

// SetWarmUpPeers has runners that are cold be shared with so many dispatchers, this one among them, in
// place of the settings' number.
func (c *Core) SetWarmUpPeers(count int) {
	c.mailbox.Put(func(c *Core) {
		if c.warmUpPeers != count {
			c.warmUpPeers = count
			c.step() // what came in before counts by the old number
			c.applyConfig()
		}
	})
}

// observe notices a standstill before anything else is done. Guards runners that were drained or
// replaced meanwhile: what is written in the process's sockets is read in any order.
func (g *guard) observe(now time.Duration) {
	if g == nil {
		return
	}
	still, _ := g.stallWatch.Look(now, now)
	if still > 0 {
		g.stalls++
		g.admission.Set(admission.Closed, 0, now)
		g.onStall(still)
	}
	g.detector.observe(now, still > 0)
}

// admit tells whether a job may come in, and refuses it where it may not.
func (c *Core) admit(job *Job, ingress Ingress) bool {
	if c.guard == nil {
		return true
	}
	in, counted := false, false
	if c.guard.admitsKeyed || c.cfg.Classes[job.Class].Effect == decision.Safe {
		in, counted = c.guard.admission.Admit(c.now)
	}
	if job.Compensating { // nobody would come again for it
		in = in || c.guard.admission.Level() == admission.Ajar
	}
	if in {
		job.admissionCounted = counted
		return true
	}
	c.summary.answers[Rejected]++
	after := c.guard.admission.After(rand.Float64(), c.cfg.Limits.MaxRetryAfter, c.now)
	if !c.cfg.Limits.RetryAfter {
		after = 0
	}
	if job.Record != nil {
		job.Record.Finish(c.now, trace.Refused, trace.ByCore, reasonRejoining)
		job.Record.Retryable = true
		c.onRecord(job.Record)
	}
	ingress.Respond(Response{Verdict: Rejected, RetryAfter: after})
	return false
}

// stalled tells whether nothing may be sent: the process stood still, and has not heard anew
// what there is.
func (c *Core) stalled() bool { return c.guard != nil && c.guard.admission.Level() == admission.Closed }

// releaseAdmission takes in that a job has its answer.
func (c *Core) releaseAdmission(job *Job, served bool) {
	if job.admissionCounted {
		job.admissionCounted = false
		c.guard.admission.Ended(served, c.now)
	}
}
