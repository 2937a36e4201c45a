package core

import (
	"time"

	"frosttide/internal/dispatcher/trace"
)

// whyEarly is why a job that was held back is refused: its time, or the process's, was over first.
const whyEarly = "discovery_not_heard"

// early are the jobs that came before the list was known to be discovery's own, in their order.
// Their number is bounded by the ingress' bound on what it has open.
type early struct{ jobs []earlyJob }

// earlyJob is a job that waits; its client is there as long as Core.asking has it.
type earlyJob struct {
	job     *Job
	ingress Ingress
}

// HoldBack has the core keep back what is submitted until Begin. It is called before Run.
func (c *Core) HoldBack() { c.early = &early{} }

// Begin lets what was held back go, and what comes from now on. It may be called from any
// goroutine.
func (c *Core) Begin() {
	c.box.Put(func(c *Core) {
		if c.early == nil {
			return
		}
		waiting := c.early.jobs
		c.early = nil
		for _, w := range waiting {
			if c.asking[w.job] {
				delete(c.asking, w.job)
				c.admitted(w.job, w.ingress)
			}
		}
	})
}

// holdBack keeps a job. Guards against a client that leaves meanwhile: its job is not taken in any
// more; and against one whose time is over first: it has its answer then.
func (c *Core) holdBack(job *Job, ingress Ingress) {
	c.asking[job] = true
	c.early.jobs = append(c.early.jobs, earlyJob{job, ingress})
	left := c.clock(job.Deadline) - c.now
	if most := c.cfg.Classes[job.Class].GiveUp; most > 0 {
		left = min(left, most)
	}
	time.AfterFunc(left, func() {
		c.box.Put(func(c *Core) {
			if c.early != nil {
				c.refuseEarly(job, ingress)
			}
		})
	})
}

// refuseEarly refuses a job that is held back still; it was sent to nobody.
func (c *Core) refuseEarly(job *Job, ingress Ingress) {
	if !c.asking[job] {
		return
	}
	delete(c.asking, job)
	c.letOut(job, false)
	c.tally.answers[Shed]++
	if job.Story != nil {
		job.Story.End(c.now, trace.Refused, trace.ByCore, whyEarly)
		job.Story.Refusal = true
		c.ended(job.Story)
	}
	ingress.Answer(Answer{Verdict: Shed})
}

// endEarly refuses all that is held back, as the process is about to end.
func (c *Core) endEarly() {
	if c.early == nil {
		return
	}
	for _, w := range c.early.jobs {
		c.refuseEarly(w.job, w.ingress)
	}
	c.early.jobs = nil
}
