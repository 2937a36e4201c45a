package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
)

const (
	// summaryInterval is the time between two logged summaries; one without any
	// traffic is left out.
	summaryInterval = 10 * time.Second
	// refreshInterval is the longest time between two updates of the figures on
	// workers.
	refreshInterval = 200 * time.Millisecond
	// membersInterval is the least time between two updates of the member counts:
	// each goes through all workers, and the core's loop turns many times for each
	// job.
	membersInterval = refreshInterval / 4
)

// reportMembers updates the member counts.
func (c *Core) reportMembers() {
	if c.now < c.membersReportedAt+membersInterval {
		return // a turn of the loop after refreshInterval at the latest does it
	}
	c.membersReportedAt = c.now
	c.onMembers(len(c.workers), c.module.Unavailable(c.now))
}

// trafficCounts counts the responses and the ends of attempts since the last
// summary.
type trafficCounts struct {
	responses [Unusable + 1]int
	attempts  [decision.Unusable + 1]int
}

// logSummary logs the counts and begins new ones.
func (c *Core) logSummary() {
	t := c.summary
	c.summary = trafficCounts{}
	if t == (trafficCounts{}) && len(c.requests) == 0 {
		return
	}
	c.log.WithFields(logrus.Fields{
		"served":           t.responses[Served],
		"shed":             t.responses[Rejected],
		"failed":           t.responses[Failed],
		"unusable":         t.responses[Unusable],
		"open":             len(c.requests),
		"hops_served":      t.attempts[decision.Served],
		"hops_errored":     t.attempts[decision.Errored],
		"hops_rejected":    t.attempts[decision.Rejected],
		"hops_timed_out":   t.attempts[decision.TimedOut],
		"hops_unconnected": t.attempts[decision.ConnectFailed],
		"hops_reset":       t.attempts[decision.ConnReset],
		"hops_given_up":    t.attempts[decision.Canceled],
		"hops_not_sent":    t.attempts[decision.NotSent],
	}).Info("traffic of the last 10 s")
}
