package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
)

// tallyEvery is how often a summary is logged, if there is anything to tell.
const tallyEvery = 10 * time.Second

// freshEvery is how often the figures on runners are renewed at least.
const freshEvery = 200 * time.Millisecond

// membersEvery is how often the figures on the list are renewed at the most: each goes through all
// workers, and the core's loop turns many times for each job.
const membersEvery = freshEvery / 4

// tellMembers renews the figures on the list.
func (c *Core) tellMembers() {
	if c.now < c.membersAt+membersEvery {
		return // the next round of freshEvery does at the latest
	}
	c.membersAt = c.now
	c.members(len(c.workers), c.module.Unavailable(c.now))
}

// tally counts what has come to an end since the last summary.
type tally struct {
	answers [Unusable + 1]int
	hops    [decision.Unusable + 1]int
}

// report logs the tally and begins a new one.
func (c *Core) report() {
	t := c.tally
	c.tally = tally{}
	if t == (tally{}) && len(c.requests) == 0 {
		return
	}
	c.log.WithFields(logrus.Fields{
		"served": t.answers[Served], "shed": t.answers[Shed], "failed": t.answers[Failed], "open": len(c.requests),
		"hops_served": t.hops[decision.Served], "hops_errored": t.hops[decision.Errored],
		"hops_rejected": t.hops[decision.Rejected], "hops_timed_out": t.hops[decision.TimedOut],
		"hops_unconnected": t.hops[decision.ConnectFailed], "hops_reset": t.hops[decision.ConnReset],
		"unusable": t.answers[Unusable], "hops_given_up": t.hops[decision.Canceled], "hops_not_sent": t.hops[decision.NotSent],
	}).Info("traffic of the last 10 s")
}
