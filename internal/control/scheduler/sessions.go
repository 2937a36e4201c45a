package scheduler

import (
	"slices"
	"time"

	"frosttide/internal/control/placement"
	"frosttide/internal/protocol"
)

// session is the head's state of the agent at an address. It lasts from the agent's first report until the agent restarts,
// another head takes over, or the session expires.
type session struct {
	// Identity.
	address              string
	number               uint64   // increases with each session of a head
	incarnation          uint64   // incarnation of the agent
	previousIncarnations []uint64 // earlier incarnations at this address, the newest last
	runner               string   // ID of the agent's runner, empty if none is registered

	// State from the newest report.
	reportNumber       uint64 // increases with each report of an incarnation
	lastContact        time.Duration
	runnerUnresponsive bool // the runner has missed heartbeats to the agent
	hasLease           bool // the runner holds a lease that this agent has passed on
	draining           bool // the runner accepts no further runs

	// The lease.
	leaseExpiry time.Duration // expiry of the newest granted lease

	// Orders, which the agent applies in the order of their sequence numbers, without gaps.
	lastSequence    uint64        // sequence number of the newest orders sent
	appliedSequence uint64        // sequence number of the newest orders that the agent has applied
	unappliedSince  time.Duration // when the oldest unapplied orders were sent, or when any were last applied
	fullSync        fullSyncState
	outbox          outbox
	takesParts      bool // the agent takes a full sync in parts
}

// maxPreviousIncarnations bounds the number of earlier incarnations that a session remembers.
const maxPreviousIncarnations = 8

// incarnationHistory returns the incarnations whose reports the successor of a session must ignore: the earlier ones and
// the session's own. It returns nil for a nil session.
func (sess *session) incarnationHistory() []uint64 {
	if sess == nil {
		return nil
	}
	all := append(slices.Clone(sess.previousIncarnations), sess.incarnation)
	return all[max(0, len(all)-maxPreviousIncarnations):]
}

// acknowledge records the sequence number up to which an agent has applied its orders. Sending newer orders does not
// extend the time for which the oldest ones may stay unapplied, as an agent that has missed orders applies no later ones.
func (sess *session) acknowledge(now time.Duration, sequence uint64) {
	sess.outbox.acknowledge(sequence)
	if sequence > sess.appliedSequence {
		sess.appliedSequence, sess.unappliedSince = sequence, now
	}
}

// HandleReport applies an agent's report and replies with a renewed lease. A report that is older than one already
// received is dropped. The parts of a report are applied in a fixed order: runners that are gone, the agent's own runner,
// acknowledged orders, ends and refusals; whether the runner may be assigned tasks is decided last.
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
	sess.takesParts = report.GetTakesParts()
	sess.runnerUnresponsive, sess.hasLease = report.GetSilent(), report.GetHolding()
	if report.GetEpoch() == s.epoch {
		sess.acknowledge(now, report.GetOrdersSeen())
	}
	s.recordEnds(sess, report.GetEnds())
	s.recordRefusals(sess, report.GetRefused())
	s.updateUsable(sess)
	s.renewLease(sess, report)
}

// isStale reports whether a report is out of date: it is from the session's incarnation but not newer than the newest one
// received, or it is from an earlier incarnation. The network may delay and repeat reports.
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

// beginSession replaces the previous session of an address, nil if there is none, by a session with a new incarnation of
// the agent. The session starts with a full sync.
func (s *Scheduler) beginSession(address string, previous *session, incarnation uint64) *session {
	s.endSession(previous)
	s.lastSession++
	sess := &session{address: address, number: s.lastSession, incarnation: incarnation, previousIncarnations: previous.incarnationHistory()}
	s.sessions[address] = sess
	s.requestFullSync(sess)
	return sess
}

// endSession removes a session. Its runner is assigned no tasks until an agent registers it again, and is declared lost if
// that does not happen before its leases are over. A nil session is ignored.
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

// registerRunner applies a report's description of the agent's runner: its ID, capacity, labels and drain state. Agents
// omit the description from reports while it is unchanged.
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
