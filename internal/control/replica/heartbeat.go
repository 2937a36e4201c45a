package replica

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// peer holds what this member knows about another one.
type peer struct {
	lastHeartbeat *protocol.Heartbeat
	lastContact   time.Duration // when lastHeartbeat arrived
	restarted     bool          // its incarnation has changed since the current view was adopted
}

// peerRetention is how long a member that is not a voter is kept in peers after its last heartbeat.
const peerRetention = time.Minute

// sendHeartbeats announces this member's state to all members known: the voters of the newest views, those that ask to
// join, and, while this member is no voter or knows no view, its contacts.
func (m *Machine) sendHeartbeats() {
	m.nextHeartbeat = m.now + m.cfg.Timing.HeartbeatInterval
	e := &protocol.Envelope{Body: &protocol.Envelope_Heartbeat{Heartbeat: m.ownHeartbeat()}}
	sent := map[string]bool{m.cfg.Self.GetAddress(): true}
	sendOnce := func(address string) {
		if !sent[address] {
			sent[address] = true
			m.send(address, e)
		}
	}
	for _, v := range []*protocol.View{m.accepted, m.view} {
		for _, member := range view.Electorate(v) {
			sendOnce(member.GetAddress())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.joiners)) {
		sendOnce(m.joiners[id].member.GetAddress())
	}
	if !m.isVoter() || m.view == nil {
		for _, address := range m.cfg.Contacts {
			sendOnce(address)
		}
	}
}

// ownHeartbeat returns a heartbeat with this member's state. It reports an installed epoch only once that epoch is on
// disk, because the head starts to serve based on these reports.
func (m *Machine) ownHeartbeat() *protocol.Heartbeat {
	return &protocol.Heartbeat{
		Member:         m.cfg.Self,
		Incarnation:    m.cfg.Incarnation,
		Epoch:          m.Epoch(),
		Promised:       m.promised,
		InstalledEpoch: m.disk.installedEpoch,
		Index:          m.index,
		Suspects:       m.suspectedEpoch(),
		Serving:        m.Serving(),
		Leaving:        m.draining,
		Voter:          m.isVoter(),
		Following:      m.chain.following,
		DiskLagMs:      uint32(m.disk.lag(m.now) / time.Millisecond),
		DiskBad:        m.diskBad(),
		WallMs:         m.wallMs,
		AgreedMs:       m.agreedMs,
		SyncProgress:   m.transfer.progress,
	}
}

// onHeartbeat records a member's state. It sends that member a newer view or asks it for one, and repeats the Prepare of
// this member's proposal if the member has not promised it.
func (m *Machine) onHeartbeat(from string, h *protocol.Heartbeat) {
	m.updatePeer(h)
	m.observeNumber(max(h.GetPromised(), h.GetEpoch()))
	if h.GetEpoch() > m.Epoch() {
		m.send(from, &protocol.Envelope{Body: &protocol.Envelope_ViewQuery{ViewQuery: &protocol.ViewQuery{Epoch: m.Epoch()}}})
	}
	if h.GetEpoch() < m.Epoch() { // the Decided message may have been lost, and its proposer may have failed since
		m.send(from, decidedMessage(m.view))
	}
	if m.isHead() {
		m.considerJoiner(h)
		m.considerActivation()
	}
	m.resendPrepare(from, h)
}

// updatePeer records a heartbeat, and whether it shows a restart or progress in installing the state.
func (m *Machine) updatePeer(h *protocol.Heartbeat) {
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
}

// installProgressing reports whether a member makes progress in installing the state of its view between two heartbeats:
// chunks have arrived, writes have finished, or a healthy disk is busy.
func installProgressing(previous, current *protocol.Heartbeat) bool {
	if current.GetInstalledEpoch() == current.GetEpoch() {
		return false
	}
	return previous.GetSyncProgress() != current.GetSyncProgress() || current.GetDiskLagMs() > 0 && !current.GetDiskBad()
}

// resendPrepare sends the Prepare again to a member that has not promised this member's proposal: it may not have been
// running when the proposal started.
func (m *Machine) resendPrepare(from string, h *protocol.Heartbeat) {
	proposal := m.proposal
	if proposal == nil || proposal.phase != preparing || proposal.promises[h.GetMember().GetId()] != nil || h.GetPromised() >= proposal.number {
		return
	}
	m.send(from, prepareMessage(proposal.number))
}

// alive reports whether a member has sent a heartbeat within SuspectTimeout and is not draining.
func (m *Machine) alive(id uint64) bool {
	if id == m.selfID() {
		return !m.draining
	}
	p := m.peers[id]
	return p != nil && m.now-p.lastContact < m.cfg.Timing.SuspectTimeout && !p.lastHeartbeat.GetLeaving()
}

// majorityAlive reports whether the live members are a quorum of the newest accepted view.
func (m *Machine) majorityAlive() bool { return view.Quorum(m.accepted, m.alive) }

// forgetPeers removes former members. Each lost disk leads to a new identity, so that they would accumulate.
func (m *Machine) forgetPeers() {
	for id, p := range m.peers {
		if m.now-p.lastContact > peerRetention && view.Find(view.Electorate(m.accepted), id) == nil && view.Find(m.view.GetVoters(), id) == nil {
			delete(m.peers, id)
		}
	}
}
