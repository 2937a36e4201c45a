package replica

import (
	"maps"
	"slices"

	"github.com/gammazero/deque"

	"frosttide/internal/control/journal"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// maxInstallRecordBytes bounds the bytes of a change of state that is appended to the file; a larger one is written as
// a new file.
const maxInstallRecordBytes = 1 << 20

// adoptView takes an agreed view for the newest.
func (m *Machine) adoptView(v *protocol.View) {
	if v.GetEpoch() <= m.Epoch() {
		return
	}
	if !view.Valid(v) {
		m.dropMessage("a view that can't be")
		return
	}
	m.failReads()
	m.observeNumber(v.GetEpoch())
	m.view, m.adoptedAt, m.installProgressAt = v, m.now, m.now
	if m.accepted.GetEpoch() < v.GetEpoch() { // agreed without this member
		m.promised = max(m.promised, v.GetEpoch())
		m.accepted = v
		m.appendRecord(journal.KindAccept, &protocol.AcceptRecord{View: v})
	}
	if m.proposal != nil && m.proposal.number <= v.GetEpoch() {
		m.proposal = nil
	}
	for _, p := range m.peers {
		p.restarted = false
	}
	m.chain = chain{committed: m.chain.committed, followers: make(map[string]uint64), commitProgressAt: m.now, log: deque.Deque[*protocol.Entry]{}}
	m.confirmations = confirmations{confirmedAt: m.now, sequence: m.confirmations.sequence}
	m.suspectedAt, m.failedProposals, m.nextProposalAt, m.transfer.retryAfter = 0, 0, 0, 0
	if m.announcedHead && !m.isHead() {
		m.announcedHead = false
		m.actions.RoleChanges = append(m.actions.RoleChanges, RoleChange{Epoch: v.GetEpoch()})
		m.event("No longer serving as the head", "epoch", v.GetEpoch())
	}
	if m.isHead() {
		if !m.wasHeadBeforeRestart() {
			m.becomeSource()
			m.serveEarlySyncRequests()
		}
	} else if m.votesIn(v) || !m.isVoter() {
		m.requestSync()
	}
	clear(m.earlySyncRequests)
	m.sendHeartbeats()
}

// serveEarlySyncRequests answers the chain members that knew the view before its head did.
func (m *Machine) serveEarlySyncRequests() {
	for _, from := range slices.Sorted(maps.Keys(m.earlySyncRequests)) {
		m.onSyncRequest(from, m.earlySyncRequests[from])
	}
}

func (m *Machine) votesIn(v *protocol.View) bool {
	return view.Find(v.GetVoters(), m.cfg.Self.GetId()) != nil
}

// wasHeadBeforeRestart tells whether the view may be one that this member has served as the head before its process
// began. It has forgotten then which entries it has sent, so that it must not go on in that view.
func (m *Machine) wasHeadBeforeRestart() bool { return m.isHead() && m.view.GetEpoch() <= m.bootEpoch }

// becomeSource makes this member's state the one that the view begins with.
func (m *Machine) becomeSource() {
	m.installedEpoch = m.view.GetEpoch()
	m.transfer.receivedRanges = nil
	m.appendRecord(journal.KindInstall, &protocol.InstallRecord{Epoch: m.installedEpoch, Index: m.index})
	m.afterSync(func() { m.considerActivation() })
}

// installSnapshot takes over the state that has arrived. In the chain it is the state of the view.
func (m *Machine) installSnapshot(index uint64) {
	puts, deletes := m.takeReceivedRanges()
	m.store.Apply(puts, deletes)
	m.index = index
	m.resetDurable()
	m.chain.log.Clear()
	inChain := m.chainPosition() >= 0
	if inChain {
		m.installedEpoch = m.Epoch()
		m.chain.sentIndex, m.chain.suffixDurable = index, 0
	} else {
		m.chain.following, m.chain.lastTailContact = true, m.now
	}
	m.recordSnapshot(puts, deletes)
	epoch := m.Epoch()
	m.afterSync(func() {
		if m.Epoch() == epoch {
			m.sendHeartbeats() // tells the head that the state is installed
		}
	})
	m.event("Snapshot installed", "epoch", m.Epoch(), "index", index, "puts", len(puts), "deletes", len(deletes))
}

// recordSnapshot writes a change of state at once: in one record, or as a new file where it is large.
func (m *Machine) recordSnapshot(puts []*protocol.Put, deletes []string) {
	size := 0
	for _, p := range puts {
		size += len(p.GetKey()) + len(p.GetValue())
	}
	if size > maxInstallRecordBytes {
		m.rewrite()
		return
	}
	m.appendRecord(journal.KindInstall, &protocol.InstallRecord{Epoch: m.installedEpoch, Index: m.index, Puts: puts, Deletes: deletes})
}

// considerActivation makes the chain active once all its members hold the state.
func (m *Machine) considerActivation() {
	if m.chain.active || !m.isHead() || m.wasHeadBeforeRestart() || m.disk.installedEpoch != m.Epoch() || m.promised > m.Epoch() {
		return
	}
	for _, id := range m.view.GetChain()[1:] {
		// A member that has promised a higher ballot may have told its candidate of an older state.
		p := m.peers[id]
		if p == nil || p.lastHeartbeat.GetInstalledEpoch() != m.Epoch() || p.lastHeartbeat.GetPromised() > m.Epoch() {
			return
		}
	}
	m.chain.active = true
	m.chain.sentIndex, m.chain.suffixDurable, m.chain.committed = m.index, m.index, m.index
	m.chain.commitProgressAt = m.now
	m.confirmations.confirmedAt = m.now
	m.event("Serving as the head", "epoch", m.Epoch(), "index", m.index)
	m.announcedHead = true
	m.actions.RoleChanges = append(m.actions.RoleChanges, RoleChange{Serving: true, Epoch: m.Epoch()})
	m.sendHeartbeats()
	if next := m.successor(); next != nil {
		m.sendEntries(next.GetAddress(), m.index)
	}
}
