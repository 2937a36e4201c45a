package core

import (
	"time"

	"frosttide/internal/dispatcher/trace"
)

// reasonHeldBack is why a job that was held back is refused: its time, or the process's, was over first.
const reasonHeldBack = "discovery_not_heard"

// heldBackJobs are the jobs that came before the list was known to be discovery's own, in their order.
// Their number is bounded by the ingress' bound on what it has open.
type heldBackJobs struct{ jobs []heldBackJob }

// heldBackJob is a job that waits; its client is there as long as Core.asking has it.
type heldBackJob struct {
	job     *Job
	ingress Ingress
}

// HoldBack has the core keep back what is submitted until Begin. It is called before Run.
func (c *Core) HoldBack() { c.heldBack = &heldBackJobs{} }

// ReleaseHeldBack lets what was held back go, and what comes from now on. It may be called from any
// goroutine.
func (c *Core) ReleaseHeldBack() {
	c.mailbox.Put(func(c *Core) {
		if c.heldBack == nil {
			return
		}
		waiting := c.heldBack.jobs
		c.heldBack = nil
		for _, w := range waiting {
			if c.awaitingAdmission[w.job] {
				delete(c.awaitingAdmission, w.job)
				c.handleAdmitted(w.job, w.ingress)
			}
		}
	})
}

// holdBack keeps a job. Guards against a client that leaves meanwhile: its job is not taken in any
// more; and against one whose time is over first: it has its answer then.
func (c *Core) holdBack(job *Job, ingress Ingress) {
	c.awaitingAdmission[job] = true
	c.heldBack.jobs = append(c.heldBack.jobs, heldBackJob{job, ingress})
	remaining := c.moduleTime(job.Deadline) - c.now
	if clientTimeout := c.cfg.Classes[job.Class].ClientTimeout; clientTimeout > 0 {
		remaining = min(remaining, clientTimeout)
	}
	time.AfterFunc(remaining, func() {
		c.mailbox.Put(func(c *Core) {
			if c.heldBack != nil {
				c.rejectHeldBack(job, ingress)
			}
		})
	})
}

// rejectHeldBack refuses a job that is held back still; it was sent to nobody.
func (c *Core) rejectHeldBack(job *Job, ingress Ingress) {
	if !c.awaitingAdmission[job] {
		return
	}
	delete(c.awaitingAdmission, job)
	c.releaseAdmission(job, false)
	c.summary.answers[Rejected]++
	if job.Record != nil {
		job.Record.Finish(c.now, trace.Refused, trace.ByCore, reasonHeldBack)
		job.Record.Retryable = true
		c.onRecord(job.Record)
	}
	ingress.Respond(Response{Verdict: Rejected})
}

// rejectAllHeldBack refuses all that is held back, as the process is about to end.
func (c *Core) rejectAllHeldBack() {
	if c.heldBack == nil {
		return
	}
	for _, w := range c.heldBack.jobs {
		c.rejectHeldBack(w.job, w.ingress)
	}
	c.heldBack.jobs = nil
}
