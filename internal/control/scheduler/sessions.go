package scheduler

import (
	"slices"
	"time"

	"frosttide/internal/control/placement"
	"frosttide/internal/protocol"
)

// session is what the head knows of the agent at an address, from its first report until it restarts, another head
// takes over or the session expires.
type session struct {
	// Identity.
	address              string
	number               uint64   // rises with each session of a head
	incarnation          uint64   // of the agent
	previousIncarnations []uint64 // of earlier agents at this address, the newest last
	runner               string   // id of the agent's runner, empty before the agent has registered one

	// The newest report.
	reportNumber       uint64 // rises with each report of an incarnation
	lastContact        time.Duration
	runnerUnresponsive bool // the runner has missed its heartbeats to the agent
	hasLease           bool // the runner acts within a lease that this agent has passed on
	draining           bool // the runner accepts no further runs

	// The lease.
	leaseExpiry time.Duration // of the newest lease that was granted

	// Orders: the agent applies them in the order of their sequence numbers, without a gap.
	lastSequence    uint64        // of the newest orders sent
	appliedSequence uint64        // of the newest orders that the agent has applied
	unappliedSince  time.Duration // since when the oldest unapplied orders wait, or when some were last applied
	fullSync        fullSyncState
}

// maxPreviousIncarnations bounds how many earlier incarnations of an agent are known.
const maxPreviousIncarnations = 8

// incarnationHistory returns the incarnations that a successor of a session must not accept reports of: the earlier
// ones and the session's own. A nil session has none.
func (sess *session) incarnationHistory() []uint64 {
	if sess == nil {
		return nil
	}
	all := append(slices.Clone(sess.previousIncarnations), sess.incarnation)
	return all[max(0, len(all)-maxPreviousIncarnations):]
}

// acknowledge records up to which sequence number an agent has applied its orders. Newer orders do not extend the time
// that the oldest ones may stay unapplied, as an agent that misses one applies none after it.
func (sess *session) acknowledge(now time.Duration, sequence uint64) {
	if sequence > sess.appliedSequence {
		sess.appliedSequence, sess.unappliedSince = sequence, now
	}
}

// HandleReport takes over an agent's report and replies with a renewed lease. A report that arrives after a later one
// is dropped. What the report says is applied in a fixed order: runners that are gone, the agent's own runner, orders
// applied, ends, refusals, and only then whether the runner may be assigned tasks.
func (s *Scheduler) HandleReport(now time.Duration, from string, report *protocol.RunnerReport) {
	s.now = now
	sess := s.sessions[from]
	if sess.isStale(report) {
		return
	}
	if sess == nil || sess.incarnation != report.GetIncarnation() {
		sess = s.beginSession(from, sess, report.GetIncarnation())
	}
	sess.lastContact, sess.reportNumber = now, report.GetLeaseRound()
	for _, id := range report.GetGone() {
		s.declareLost(id)
	}
	s.registerRunner(sess, report)
	sess.runnerUnresponsive, sess.hasLease = report.GetSilent(), report.GetHolding()
	if report.GetEpoch() == s.epoch {
		sess.acknowledge(now, report.GetOrdersSeen())
	}
	s.recordEnds(sess, report.GetEnds())
	s.recordRefusals(sess, report.GetRefused())
	s.updateUsable(sess)
	s.renewLease(sess, report)
}

// isStale reports whether a report is older than what is known of its sender: a report of the session's incarnation
// that is not newer than its newest, or any of an earlier incarnation. The network may delay and repeat reports.
func (sess *session) isStale(report *protocol.RunnerReport) bool {
	switch {
	case sess == nil:
		return false
	case sess.incarnation == report.GetIncarnation():
		return report.GetLeaseRound() <= sess.reportNumber
	default:
		return slices.Contains(sess.previousIncarnations, report.GetIncarnation())
	}
}

// beginSession replaces the session of an address, nil where there was none, by one with a new incarnation of the
// agent. It starts with a full sync.
func (s *Scheduler) beginSession(address string, previous *session, incarnation uint64) *session {
	s.endSession(previous)
	s.lastSession++
	sess := &session{address: address, number: s.lastSession, incarnation: incarnation, previousIncarnations: previous.incarnationHistory()}
	s.sessions[address] = sess
	s.requestFullSync(sess)
	return sess
}

// endSession removes a session. Its runner is assigned nothing until an agent registers it again, and is lost unless
// that happens before its leases have run out.
func (s *Scheduler) endSession(sess *session) {
	if sess == nil {
		return
	}
	if r := s.runners[sess.runner]; r != nil && r.session == sess {
		r.session = nil
		s.fleet.SetUsable(r.fleetRunner, false)
		r.lostAfter = s.leaseOverAt(sess.leaseExpiry)
	}
	delete(s.sessions, sess.address)
}

// registerRunner takes over which runner an agent reports for, with its capacity and labels. Reports leave them out
// while they have not changed.
func (s *Scheduler) registerRunner(sess *session, report *protocol.RunnerReport) {
	account := report.GetAccount()
	if account == nil {
		return
	}
	if sess.runner != account.GetId() {
		s.declareOthersLost(sess.address, account.GetId())
		sess.runner = account.GetId()
		s.requestFullSync(sess)
	}
	r := s.runner(account.GetId())
	r.session, r.registered = sess, true
	if r.agent != sess.address {
		r.agent = sess.address
		s.writeRunner(r)
	}
	sess.draining = account.GetDraining()
	if sess.draining {
		s.evacuate(r, time.Duration(account.GetRemainingMs())*time.Millisecond)
	}
	c := account.GetCapacity()
	capacity := placement.Resources{CPU: c.GetCpu(), MemMB: c.GetMemMb(), GPUs: c.GetGpus()}
	s.fleet.UpdateRunner(r.fleetRunner, account.GetService(), rackOf(s.cfg.RackPrefix, account.GetLabels()), account.GetLabels(), capacity)
}
