package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
)

const (
	// summaryInterval is the interval of the logged summaries. A summary without any traffic is
	// skipped.
	summaryInterval = 10 * time.Second
	// refreshInterval is the longest interval between two updates of the member counts and of the
	// tokens in use.
	refreshInterval = 200 * time.Millisecond
	// membersInterval is the shortest interval between two updates of the member counts. Each
	// update visits all workers, and the loop turns many times per job.
	membersInterval = refreshInterval / 4
)

// reportMembers updates the member counts if membersInterval has passed.
func (c *Core) reportMembers() {
	if c.now < c.membersReportedAt+membersInterval {
		return // the next turn, after refreshInterval at the latest, catches up
	}
	c.membersReportedAt = c.now
	c.onMembers(len(c.workers), c.module.Unavailable(c.now))
}

// trafficCounts counts the final responses and the ended attempts since the last summary.
type trafficCounts struct {
	responses [Unusable + 1]int
	attempts  [decision.Unusable + 1]int
}

// logSummary logs the counts and resets them.
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
