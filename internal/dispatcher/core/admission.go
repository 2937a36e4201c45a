package core

import (
	"math/rand/v2"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/fleet/recovery/admission"
	"frosttide/internal/dispatcher/fleet/recovery/stall"
	"frosttide/internal/dispatcher/trace"
)

// reasonRejoining is the reason in span records of a job that is rejected or not sent while the
// dispatcher rejoins its cluster.
const reasonRejoining = "coming_back"

// stallBound returns the shortest gap between turns of the loop that counts as a stall. It is the
// time for which work may be sent to a worker after its drain was announced: after a longer gap the
// process's knowledge of the workers is outdated. The loop runs at least every refreshInterval, so
// a bound close to that would report stalls where there are none.
func stallBound(drainGrace time.Duration) time.Duration { return max(drainGrace, 2*refreshInterval) }

// guard limits what a dispatcher admits and sends while it rejoins its cluster, and detects stalls
// of the process. A dispatcher without staged rejoin has none.
type guard struct {
	admission   admission.Limiter
	stallWatch  stall.Watch
	stalls      int                        // number of stalls detected by the loop
	detector    stallDetector              // for attempts that are about to be sent
	admitsKeyed bool                       // admit also jobs that must not run twice
	onStall     func(length time.Duration) // must not block
}

// Guard makes the core start with admission closed, to be opened by SetAdmission, and makes it
// detect stalls of the process. After a stall nothing is admitted or sent until SetAdmission is
// called with the new number of stalls. onStall is called with the length of each stall and must
// not block. Guard must be called before Run.
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

// SetAdmission sets the admission level. initial is the number of jobs that may be in flight when
// level changes to Limited. admitsKeyed allows jobs that must not run twice. stalls is the number
// of stalls that the caller has been notified of; if another stall has occurred since, the call has
// no effect, because the decision behind it is outdated.
func (c *Core) SetAdmission(level admission.Level, admitsKeyed bool, initial, stalls int) {
	c.mailbox.Put(func(c *Core) {
		if c.guard != nil && stalls == c.guard.stalls {
			c.guard.admitsKeyed = admitsKeyed
			c.guard.admission.SetLevel(level, initial, c.now)
		}
	})
}

// RejoinProgress is a dispatcher's progress in rejoining its cluster, as far as the core can tell.
type RejoinProgress struct {
	Listed       int  // number of workers in the list
	Unrestricted bool // the admission window is wide enough for all arriving jobs
}

// RejoinProgress calls receive with the progress, later on the goroutine of Run.
func (c *Core) RejoinProgress(receive func(RejoinProgress)) {
	c.mailbox.Put(func(c *Core) {
		progress := RejoinProgress{Listed: len(c.workers)}
		if c.guard != nil {
			progress.Unrestricted = c.guard.admission.Unrestricted(c.now)
		}
		receive(progress)
	})
}

// SetWarmUpPeers sets the number of dispatchers, including this one, that share the workers that
// are warming up. It replaces the number in the settings.
func (c *Core) SetWarmUpPeers(count int) {
	c.mailbox.Put(func(c *Core) {
		if c.warmUpPeers != count {
			c.warmUpPeers = count
			c.step() // the queued events are decided under the old number
			c.applyConfig()
		}
	})
}

// observe checks for a stall. The loop calls it first in each turn: workers may have been drained
// or replaced during the stall, and the messages that announce it may be read after others that
// arrived meanwhile. A stall closes admission before any of them is handled.
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

// admit reports whether a job is admitted, and rejects it if not.
func (c *Core) admit(job *Job, ingress Ingress) bool {
	if c.guard == nil {
		return true
	}
	admitted, counted := false, false
	if c.guard.admitsKeyed || c.cfg.Classes[job.Class].Effect == decision.Safe {
		admitted, counted = c.guard.admission.Admit(c.now)
	}
	if job.Compensating { // its client would not retry it
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

// endRejectedRecord completes the span record, if any, of a job that is rejected before it becomes
// a request.
func (c *Core) endRejectedRecord(job *Job, reason string) {
	if job.Record == nil {
		return
	}
	job.Record.Finish(c.now, trace.Refused, trace.ByCore, reason)
	job.Record.Retryable = true
	c.onRecord(job.Record)
}

// stalled reports whether nothing may be sent, because admission is closed: the process has stalled
// or has just started, and its knowledge of the workers has not been refreshed since.
func (c *Core) stalled() bool { return c.guard != nil && c.guard.admission.Level() == admission.Closed }

// releaseAdmission stops counting a job as in flight. served says whether a worker completed it.
func (c *Core) releaseAdmission(job *Job, served bool) {
	if job.admissionCounted {
		job.admissionCounted = false
		c.guard.admission.JobEnded(served, c.now)
	}
}
