package scheduler

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
)

const (
	// maxClockDrift is the share by which a runner's clock may run slower than the head's. The operators' rules allow
	// 2%; the rest is a margin.
	maxClockDrift = 0.03
	// leaseMargin is added to the end of a lease for the delivery of messages and the stopping of runs.
	leaseMargin = 300 * time.Millisecond
	// sessionTimeout is how long an agent may be out of contact, beyond the end of its lease, until its session ends.
	sessionTimeout = 1200 * time.Millisecond
	// maxMissedReports is how many report intervals an agent may be out of contact, or leave orders unapplied, until
	// its runner is assigned no more tasks.
	maxMissedReports = 2.5
	// fullSyncRetryAfter is how long orders may stay unapplied until a full sync replaces them.
	fullSyncRetryAfter = 700 * time.Millisecond
	// minReportInterval and maxReportInterval bound the time between two reports of an agent; maxReportsPerSecond is
	// how many the head handles of all agents together.
	minReportInterval   = 100 * time.Millisecond
	maxReportInterval   = 500 * time.Millisecond
	maxReportsPerSecond = 700
)

// renewLease replies to a report. Where the head's epoch is confirmed the reply grants a lease, counted from when that
// confirmation was asked for: a newer head can't have begun to serve earlier than that.
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

// leaseOverAt returns the time, on the head's clock, from which a runner surely no longer acts within a lease that
// expires at a given time, however slow its clock.
func (s *Scheduler) leaseOverAt(expiry time.Duration) time.Duration {
	return expiry + time.Duration(maxClockDrift*float64(s.cfg.Lease)) + leaseMargin
}

// reportInterval returns the time between two reports of an agent. The fewer agents there are, the shorter it is, and
// the sooner the head finds that one is out of contact.
func (s *Scheduler) reportInterval() time.Duration {
	return min(max(time.Duration(len(s.sessions))*time.Second/maxReportsPerSecond, minReportInterval), maxReportInterval)
}

// contactTimeout returns how long an agent may be out of contact, or leave orders unapplied, until its runner is
// assigned no more tasks.
func (s *Scheduler) contactTimeout() time.Duration {
	return time.Duration(maxMissedReports * float64(s.reportInterval()))
}

// updateUsable decides whether the runner of a session may be assigned tasks.
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

// expireSessions ends sessions that are out of contact, replaces orders that stay unapplied by a full sync, and
// declares runners lost whose leases are over.
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
