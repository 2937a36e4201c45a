package core

import "time"

// reasonHeldBack is why a held-back job is rejected: its deadline, or the end of
// the process, came before discovery's answer. The word is part of span records.
const reasonHeldBack = "discovery_not_heard"

// heldBackJobs are the jobs that were submitted before the route table was known
// to be discovery's own, in the order of their submission. Their number is
// bounded by the ingress's limit on open jobs.
type heldBackJobs struct{ jobs []heldBackJob }

// heldBackJob is a job that waits. Its client is there as long as
// Core.awaitingAdmission holds it.
type heldBackJob struct {
	job     *Job
	ingress Ingress
}

// HoldBack has the core hold back submitted jobs until ReleaseHeldBack. It must
// be called before Run.
func (c *Core) HoldBack() { c.heldBack = &heldBackJobs{} }

// ReleaseHeldBack admits the jobs that were held back, and from now on every job
// at once.
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

// holdBack holds a job back. A job whose client leaves meanwhile is never taken
// in; one whose deadline passes first is rejected then.
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

// rejectHeldBack rejects a job that is still held back, which was sent to nobody.
func (c *Core) rejectHeldBack(job *Job, ingress Ingress) {
	if !c.awaitingAdmission[job] {
		return
	}
	delete(c.awaitingAdmission, job)
	c.releaseAdmission(job, false)
	c.summary.responses[Rejected]++
	c.endRejectedRecord(job, reasonHeldBack)
	ingress.Respond(Response{Verdict: Rejected})
}

// rejectAllHeldBack rejects all held-back jobs because the process will end.
func (c *Core) rejectAllHeldBack() {
	if c.heldBack == nil {
		return
	}
	for _, w := range c.heldBack.jobs {
		c.rejectHeldBack(w.job, w.ingress)
	}
	c.heldBack.jobs = nil
}
