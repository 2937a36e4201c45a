package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
)

// summaryInterval is how often a summary is logged, if there is anything to tell.
const summaryInterval = 10 * time.Second

// refreshInterval is how often the figures on runners are renewed at least.
const refreshInterval = 200 * time.Millisecond

// membersInterval is how often the figures on the list are renewed at the most: each goes through all
// workers, and the core's loop turns many times for each job.
const membersInterval = refreshInterval / 4

// reportMembers renews the figures on the list.
func (c *Core) reportMembers() {
	if c.now < c.membersReportedAt+membersInterval {
		return // the next round of freshEvery does at the latest
	}
	c.membersReportedAt = c.now
	c.onMembers(len(c.workers), c.module.Unavailable(c.now))
}

// trafficCounts counts what has come to an end since the last summary.
type trafficCounts struct {
	answers  [Unusable + 1]int
	attempts [decision.Unusable + 1]int
}

// logSummary logs the tally and begins a new one.
func (c *Core) logSummary() {
	t := c.summary
	c.summary = trafficCounts{}
	if t == (trafficCounts{}) && len(c.requests) == 0 {
		return
	}
	c.log.WithFields(logrus.Fields{
		"served": t.answers[Served], "shed": t.answers[Rejected], "failed": t.answers[Failed], "open": len(c.requests),
		"hops_served": t.attempts[decision.Served], "hops_errored": t.attempts[decision.Errored],
		"hops_rejected": t.attempts[decision.Rejected], "hops_timed_out": t.attempts[decision.TimedOut],
		"hops_unconnected": t.attempts[decision.ConnectFailed], "hops_reset": t.attempts[decision.ConnReset],
		"unusable": t.answers[Unusable], "hops_given_up": t.attempts[decision.Canceled], "hops_not_sent": t.attempts[decision.NotSent],
	}).Info("traffic of the last 10 s")
}
