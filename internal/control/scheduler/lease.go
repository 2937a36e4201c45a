package scheduler

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
)

const (
	// maxClockDrift is the fraction by which a runner's clock may run slower than the head's. The operators' rules
	// allow 2%; the rest is a margin.
	maxClockDrift = 0.03
	// leaseMargin is added to the end of a lease to allow for message delivery and for stopping the runs.
	leaseMargin = 300 * time.Millisecond
	// sessionTimeout is how long an agent must be out of contact before its session ends. The session also outlives the
	// agent's lease.
	sessionTimeout = 1200 * time.Millisecond
	// maxMissedReports is the number of report intervals for which an agent may be out of contact, or leave orders
	// unapplied, before its runner is assigned no further tasks.
	maxMissedReports = 2.5
	// fullSyncRetryAfter is how long orders may stay unapplied before a full sync replaces them.
	fullSyncRetryAfter = 700 * time.Millisecond
	// minReportInterval and maxReportInterval bound the time between two reports of an agent. maxReportsPerSecond is
	// the target rate of reports from all agents together, from which the interval is computed.
	minReportInterval   = 100 * time.Millisecond
	maxReportInterval   = 500 * time.Millisecond
	maxReportsPerSecond = 700
)

// renewLease replies to a report. If the head's epoch is confirmed, the reply grants a lease. The lease is counted from
// the time at which the confirmation was requested: a newer head can't have begun to serve before that time.
func (s *Scheduler) renewLease(sess *session, report *protocol.RunnerReport) {
	if report.GetLeaseRound() == 0 {
		return
	}
	orders := &protocol.RunnerOrders{}
	until := s.confirmedAt + s.cfg.Lease
	if until > s.now {
		orders.LeaseRound = report.GetLeaseRound()
		orders.LeaseMs = uint32((until - s.now) / time.Millisecond)
		sess.leaseExpiry = max(sess.leaseExpiry, until)
		s.updateUsable(sess)
	}
	s.sendOrders(sess, orders)
}

// leaseOverAt returns the time on the head's clock after which a lease that expires at a given time is also over on the
// runner's clock, if that clock drifts by at most maxClockDrift.
func (s *Scheduler) leaseOverAt(expiry time.Duration) time.Duration {
	return expiry + time.Duration(maxClockDrift*float64(s.cfg.Lease)) + leaseMargin
}

// reportInterval returns the time between two reports of an agent. It is shorter with fewer agents, so that the head
// detects a loss of contact sooner.
func (s *Scheduler) reportInterval() time.Duration {
	return min(max(time.Duration(len(s.sessions))*time.Second/maxReportsPerSecond, minReportInterval), maxReportInterval)
}

// contactTimeout returns how long an agent may be out of contact, or leave orders unapplied, before its runner is
// assigned no further tasks.
func (s *Scheduler) contactTimeout() time.Duration {
	return time.Duration(maxMissedReports * float64(s.reportInterval()))
}

// updateUsable updates in the fleet whether the runner of a session may be assigned tasks.
func (s *Scheduler) updateUsable(sess *session) {
	r := s.runners[sess.runner]
	if r == nil || r.session != sess {
		return
	}
	runnerReady := r.registered && sess.hasLease && !sess.runnerUnresponsive && !sess.draining
	inContact := s.now-sess.lastContact < s.contactTimeout() && sess.leaseExpiry > s.now
	appliesOrders := sess.appliedSequence >= sess.lastSequence || s.now-sess.unappliedSince < s.contactTimeout()
	s.fleet.SetUsable(r.fleetRunner, runnerReady && inContact && appliesOrders)
}

// expireSessions ends sessions that are out of contact, requests full syncs to replace orders that stay unapplied, and
// declares runners lost that have no session and whose leases are over.
func (s *Scheduler) expireSessions() {
	for _, address := range slices.Sorted(maps.Keys(s.sessions)) {
		sess := s.sessions[address]
		if s.now > s.leaseOverAt(sess.leaseExpiry) && s.now-sess.lastContact > sessionTimeout {
			s.endSession(sess)
			continue
		}
		s.updateUsable(sess)
		if sess.appliedSequence < sess.lastSequence && s.now-sess.unappliedSince > fullSyncRetryAfter && s.now-sess.lastContact < s.contactTimeout() {
			s.requestFullSync(sess)
			sess.unappliedSince = s.now
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.runners)) {
		if r := s.runners[id]; r.session == nil && s.now > r.lostAfter {
			s.declareLost(id)
		}
	}
}
