package replica

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// sendHeartbeats tells all members that are known how this one stands.
func (m *Machine) sendHeartbeats() {
	m.nextHeartbeat = m.now + m.cfg.Timing.HeartbeatInterval
	e := &protocol.Envelope{Body: &protocol.Envelope_Heartbeat{Heartbeat: &protocol.Heartbeat{
		Member: m.cfg.Self, Incarnation: m.cfg.Incarnation, Epoch: m.Epoch(), Promised: m.promised, InstalledEpoch: m.disk.installedEpoch,
		Index: m.index, Suspects: m.suspectedEpoch(), Serving: m.Serving(), Leaving: m.draining, Voter: m.isVoter(), Following: m.chain.following,
		DiskLagMs: uint32(m.disk.lag(m.now) / time.Millisecond), DiskBad: m.diskBad(), WallMs: m.wallMs,
		AgreedMs: m.agreedMs, SyncProgress: m.transfer.progress,
	}}}
	notified := map[string]bool{m.cfg.Self.GetAddress(): true}
	notify := func(address string) {
		if !notified[address] {
			notified[address] = true
			m.send(address, e)
		}
	}
	for _, v := range []*protocol.View{m.accepted, m.view} {
		for _, member := range view.Electorate(v) {
			notify(member.GetAddress())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.joiners)) {
		notify(m.joiners[id].member.GetAddress())
	}
	if !m.isVoter() || m.view == nil {
		for _, address := range m.cfg.Contacts {
			notify(address)
		}
	}
}

func (m *Machine) onHeartbeat(from string, h *protocol.Heartbeat) {
	id := h.GetMember().GetId()
	p := m.peers[id]
	if p == nil {
		p = &peer{}
		m.peers[id] = p
	}
	if p.lastHeartbeat != nil && p.lastHeartbeat.GetIncarnation() != h.GetIncarnation() {
		p.restarted = true
	}
	if m.view != nil && h.GetEpoch() == m.Epoch() && slices.Contains(m.view.GetChain(), id) && installProgressing(p.lastHeartbeat, h) {
		m.installProgressAt = m.now
	}
	p.lastHeartbeat, p.lastContact = h, m.now
	m.observeNumber(max(h.GetPromised(), h.GetEpoch()))
	if h.GetEpoch() > m.Epoch() {
		m.send(from, &protocol.Envelope{Body: &protocol.Envelope_ViewQuery{ViewQuery: &protocol.ViewQuery{Epoch: m.Epoch()}}})
	}
	if h.GetEpoch() < m.Epoch() { // it may not know the view, whoever decided it
		m.send(from, &protocol.Envelope{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: m.view}}})
	}
	if m.isHead() {
		m.considerJoiner(h)
		m.considerActivation()
	}
	m.resendPrepare(from, h)
}

// peerRetention is how long a member that votes no more is remembered after it was last heard of.
const peerRetention = time.Minute

// forgetPeers drops what is known of members that are gone: each lost disk brings a new identity.
func (m *Machine) forgetPeers() {
	for id, p := range m.peers {
		if m.now-p.lastContact > peerRetention && view.Find(view.Electorate(m.accepted), id) == nil && view.Find(m.view.GetVoters(), id) == nil {
			delete(m.peers, id)
		}
	}
}

// installProgressing tells whether a member gets on with taking the state of its view: pieces arrive or writes finish, or
// its disk is busy and sound.
func installProgressing(before, now *protocol.Heartbeat) bool {
	if now.GetInstalledEpoch() == now.GetEpoch() {
		return false
	}
	return before.GetSyncProgress() != now.GetSyncProgress() || now.GetDiskLagMs() > 0 && !now.GetDiskBad()
}

// resendPrepare asks a voter that has been heard of and has not promised: it may not have been there yet
// when the round began.
func (m *Machine) resendPrepare(from string, h *protocol.Heartbeat) {
	proposal := m.proposal
	if proposal == nil || proposal.phase != preparing || proposal.promises[h.GetMember().GetId()] != nil || h.GetPromised() >= proposal.number {
		return
	}
	m.send(from, &protocol.Envelope{Body: &protocol.Envelope_Prepare{Prepare: &protocol.Prepare{Ballot: proposal.number}}})
}

// alive tells whether a member has been heard of lately and is not about to end.
func (m *Machine) alive(id uint64) bool {
	if id == m.cfg.Self.GetId() {
		return !m.draining
	}
	p := m.peers[id]
	return p != nil && m.now-p.lastContact < m.cfg.Timing.SuspectTimeout && !p.lastHeartbeat.GetLeaving()
}

// headLost tells whether the head of the newest view has to be replaced, as far as this member sees.
func (m *Machine) headLost() bool {
	id := view.Head(m.view)
	if id == m.cfg.Self.GetId() { // with a bad disk it would rather not be the head, and the others need its word for it
		return m.chain.active && m.diskBad() && m.otherDiskHealthy(id)
	}
	if !m.alive(id) {
		return m.now-m.adoptedAt > m.cfg.Timing.SuspectTimeout // it may never have been heard of before
	}
	p := m.peers[id]
	installing := m.now-m.installProgressAt < 2*m.cfg.Timing.InstallTimeout
	return p.restarted || p.lastHeartbeat.GetDiskBad() && m.otherDiskHealthy(id) || !p.lastHeartbeat.GetServing() && !installing
}

// otherDiskHealthy tells whether a chain member but one has a sound disk, so that it could take over.
func (m *Machine) otherDiskHealthy(except uint64) bool {
	for _, id := range m.view.GetChain() {
		switch {
		case id == except:
		case id == m.cfg.Self.GetId():
			if !m.diskBad() {
				return true
			}
		case m.alive(id) && !m.peers[id].lastHeartbeat.GetDiskBad():
			return true
		}
	}
	return false
}

// suspectedEpoch returns the epoch whose head this member takes for lost, 0 where it doesn't.
func (m *Machine) suspectedEpoch() uint64 {
	if m.view == nil || !m.headLost() {
		return 0
	}
	return m.view.GetEpoch()
}

// headLossAgreed tells whether a quorum of the voters finds the head lost, or knows no view.
func (m *Machine) headLossAgreed() bool {
	return view.Quorum(m.accepted, func(id uint64) bool {
		if id == m.cfg.Self.GetId() {
			return true
		}
		if !m.alive(id) {
			return false
		}
		h := m.peers[id].lastHeartbeat
		return h.GetEpoch() == 0 || h.GetSuspects() == h.GetEpoch()
	})
}

// considerProposal begins an election round where the head's place is vacant, or, by the head, where the
// chain or the voters are to change.
func (m *Machine) considerProposal() {
	if m.proposal != nil || m.now < m.nextProposalAt || m.disk.failed || m.draining || !m.isVoter() {
		return
	}
	if m.isHead() {
		m.considerProposalAsHead()
		return
	}
	vacant := m.view == nil && m.now-m.startedAt > m.cfg.Timing.BootstrapDelay || m.view != nil && m.headLost()
	if !vacant || !m.headLossAgreed() {
		m.suspectedAt = 0
		return
	}
	if m.suspectedAt == 0 {
		m.suspectedAt = m.now
	}
	if m.now-m.suspectedAt >= time.Duration(m.rank())*rankDelay {
		m.suspectedAt = 0
		m.startProposal("the head's place is vacant", 0, view.Change{}, false)
	}
}

// rankDelay is how long a candidate leaves the first try to each one that ranks before it.
const rankDelay = 60 * time.Millisecond

// rank returns how many living voters would make better heads: those of the newest state, by the
// longest log, then by number.
func (m *Machine) rank() int {
	before := 0
	for _, v := range view.Electorate(m.accepted) {
		id := v.GetId()
		if id == m.cfg.Self.GetId() || !m.alive(id) {
			continue
		}
		h := m.peers[id].lastHeartbeat
		switch {
		case m.view != nil && id == view.Head(m.view):
		case h.GetDiskBad() != m.diskBad():
			if m.diskBad() {
				before++
			}
		case h.GetInstalledEpoch() != m.disk.installedEpoch:
			if h.GetInstalledEpoch() > m.disk.installedEpoch {
				before++
			}
		case h.GetIndex() != m.index:
			if h.GetIndex() > m.index {
				before++
			}
		case id < m.cfg.Self.GetId():
			before++
		}
	}
	return before
}

// considerProposalAsHead begins a round of the head's own: the chain without a member that is lost, or with
// other voters.
func (m *Machine) considerProposalAsHead() {
	if !m.majorityAlive() {
		return // no view can be agreed on, and the ballots would disturb the others' when they are back
	}
	self := m.cfg.Self.GetId()
	if reason := m.chainFault(); reason != "" {
		m.startProposal(reason, self, view.Change{}, false)
		return
	}
	if !m.chain.active {
		return
	}
	if len(m.accepted.GetPrevious()) > 0 {
		m.startProposal("the voters have changed", self, view.Change{}, true)
		return
	}
	if change := m.nextVoterChange(); !change.Empty() {
		m.startProposal("the voters are to change", self, change, false)
	}
}

// chainFault says why the chain can't go on as it is, empty where it can.
func (m *Machine) chainFault() string {
	if m.chain.active && m.diskBad() && m.otherDiskHealthy(m.cfg.Self.GetId()) && !(m.sealed() && m.now-m.highestNumberAt > handOverTimeout) {
		return "" // the others choose another head
	}
	if m.wasHeadBeforeRestart() {
		return "the head has restarted"
	}
	for _, id := range m.view.GetChain() {
		if id == m.cfg.Self.GetId() {
			continue
		}
		if !m.alive(id) && m.now-m.adoptedAt > m.cfg.Timing.SuspectTimeout {
			return "a chain member is lost"
		}
		if p := m.peers[id]; p != nil && p.restarted {
			return "a chain member has restarted"
		}
	}
	switch {
	case m.sealed() && m.now-m.highestNumberAt > sealedTimeout:
		return "a chain member has promised a higher ballot"
	case !m.chain.active && m.now-m.installProgressAt > m.cfg.Timing.InstallTimeout:
		return "the chain does not take the state"
	case m.chain.active && m.now-m.chain.commitProgressAt > m.cfg.Timing.DiskStallTimeout && m.chain.committed < m.durable && m.spareHealthyDisk():
		return "a chain member does not acknowledge"
	case m.chain.active && m.now-m.confirmations.confirmedAt > confirmationLostAfter && m.majorityAlive():
		return "the epoch is not confirmed"
	}
	for _, id := range m.view.GetChain()[1:] {
		if p := m.peers[id]; p != nil && p.lastHeartbeat.GetDiskBad() && m.spareHealthyDisk() && m.now-m.adoptedAt > slowDiskGrace {
			return "a chain member's disk is slow"
		}
	}
	return ""
}

// sealed tells whether this epoch can't go on, as a chain member has promised a higher ballot.
func (m *Machine) sealed() bool {
	if m.promised > m.Epoch() {
		return true
	}
	for _, id := range m.view.GetChain() {
		if p := m.peers[id]; p != nil && p.lastHeartbeat.GetPromised() > m.Epoch() {
			return true
		}
	}
	return false
}

const (
	// sealedTimeout is how long the head leaves the candidate of a higher ballot to end its round.
	sealedTimeout = 250 * time.Millisecond
	// handOverTimeout is how long a head with a bad disk, which can't go on as it is, waits for the others to choose
	// another one.
	handOverTimeout = 2 * time.Second
	// confirmationLostAfter is how long the head goes on without a majority that stands by its epoch.
	confirmationLostAfter = time.Second
	// slowDiskGrace is how long a chain stays as it is before a slow disk is a reason for another.
	slowDiskGrace = 2 * time.Second
)

// spareHealthyDisk tells whether a living voter outside the chain has a sound disk.
func (m *Machine) spareHealthyDisk() bool {
	for _, v := range m.view.GetVoters() {
		id := v.GetId()
		if !slices.Contains(m.view.GetChain(), id) && m.alive(id) && !m.peers[id].lastHeartbeat.GetDiskBad() {
			return true
		}
	}
	return false
}

func (m *Machine) majorityAlive() bool { return view.Quorum(m.accepted, m.alive) }
