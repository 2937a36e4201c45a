package core

import "time"

// reasonHeldBack is the reason in span records of a held-back job that is rejected because its
// deadline, or the end of the process, came before discovery's first answer.
const reasonHeldBack = "discovery_not_heard"

// heldBackJobs holds the jobs submitted while the route table is not confirmed by discovery, in the
// order of submission. Their number is bounded by the ingress's limit on open jobs.
type heldBackJobs struct{ jobs []heldBackJob }

// heldBackJob is one held-back job. Its client is connected as long as the job is in
// Core.awaitingAdmission.
type heldBackJob struct {
	job     *Job
	ingress Ingress
}

// HoldBack makes the core hold back submitted jobs until ReleaseHeldBack. It must be called before
// Run.
func (c *Core) HoldBack() { c.heldBack = &heldBackJobs{} }

// ReleaseHeldBack processes the jobs that were held back; later jobs are processed when they are
// submitted.
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

// holdBack holds a job back. If its client disconnects meanwhile the job is dropped, and if its
// deadline passes it is rejected.
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

// rejectHeldBack rejects a job that is still held back. It was not sent to any worker.
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

// rejectAllHeldBack rejects all held-back jobs because the process is about to end.
func (c *Core) rejectAllHeldBack() {
	if c.heldBack == nil {
		return
	}
	for _, w := range c.heldBack.jobs {
		c.rejectHeldBack(w.job, w.ingress)
	}
	c.heldBack.jobs = nil
}
