package replica

import (
	"maps"
	"slices"

	"github.com/gammazero/deque"

	"frosttide/internal/control/journal"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// maxInstallRecordBytes bounds a snapshot's changes that are appended to the file as one record. For larger ones the file
// is rewritten.
const maxInstallRecordBytes = 1 << 20

// adoptView adopts an agreed view if it is newer than the current one, and starts to install its state.
func (m *Machine) adoptView(v *protocol.View) {
	if v.GetEpoch() <= m.Epoch() {
		return
	}
	if !view.Valid(v) {
		m.dropMessage("invalid view in a Decided message")
		return
	}
	m.failReads()
	m.observeNumber(v.GetEpoch())
	m.view, m.adoptedAt, m.installProgressAt = v, m.now, m.now
	m.acceptAgreed(v)
	m.resetForView()
	if m.announcedHead && !m.isHead() {
		m.announcedHead = false
		m.actions.RoleChanges = append(m.actions.RoleChanges, RoleChange{Epoch: v.GetEpoch()})
		m.event("No longer serving as the head", "epoch", v.GetEpoch())
	}
	if m.isHead() {
		if !m.wasHeadInEarlierIncarnation() {
			m.becomeSource()
			m.serveEarlySyncRequests()
		}
	} else if m.votesIn(v) || !m.isVoter() {
		m.requestSync()
	}
	clear(m.earlySyncRequests)
	m.sendHeartbeats()
}

// acceptAgreed accepts a view that was agreed without this member, and ends this member's proposal if its number is not
// higher.
func (m *Machine) acceptAgreed(v *protocol.View) {
	if m.accepted.GetEpoch() < v.GetEpoch() {
		m.promised = max(m.promised, v.GetEpoch())
		m.accepted = v
		m.appendRecord(journal.KindAccept, &protocol.AcceptRecord{View: v})
	}
	if m.proposal != nil && m.proposal.number <= v.GetEpoch() {
		m.proposal = nil
	}
}

// resetForView resets the state that belongs to a single view.
func (m *Machine) resetForView() {
	for _, p := range m.peers {
		p.restarted = false
	}
	m.chain = chain{committed: m.chain.committed, followers: make(map[string]uint64), commitProgressAt: m.now, log: deque.Deque[*protocol.Entry]{}}
	m.confirmations = confirmations{confirmedAt: m.now, sequence: m.confirmations.sequence}
	m.suspectedAt, m.failedProposals, m.nextProposalAt, m.transfer.retryAfter = 0, 0, 0, 0
}

// serveEarlySyncRequests serves the chain members that adopted the view before its head did. They would otherwise
// repeat their requests only after minSyncRetry, and nothing is committed until they have the state.
func (m *Machine) serveEarlySyncRequests() {
	for _, from := range slices.Sorted(maps.Keys(m.earlySyncRequests)) {
		m.onSyncRequest(from, m.earlySyncRequests[from])
	}
}

// wasHeadInEarlierIncarnation reports whether this member may have served as the head of its view before the process
// started. It no longer knows which entries it has sent, and could send different ones under the same indexes, so that it
// must not serve in that view again.
func (m *Machine) wasHeadInEarlierIncarnation() bool {
	return m.isHead() && m.view.GetEpoch() <= m.bootEpoch
}

// becomeSource makes this member's state the initial state of the view.
func (m *Machine) becomeSource() {
	m.installedEpoch = m.view.GetEpoch()
	m.transfer.receivedRanges = nil
	m.appendRecord(journal.KindInstall, &protocol.InstallRecord{Epoch: m.installedEpoch, Index: m.index})
	m.afterSync(func() { m.considerActivation() })
}

// installSnapshot replaces this member's state with the received one. For a chain member that is the state of the view;
// a member outside the chain follows the tail from then on.
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
			m.sendHeartbeats() // shows the head at once that the state is installed
		}
	})
	m.event("Snapshot installed", "epoch", m.Epoch(), "index", index, "puts", len(puts), "deletes", len(deletes))
}

// recordSnapshot writes a snapshot's changes so that a crash leaves all of them or none on disk: in one record, or as a
// new file if they are large.
func (m *Machine) recordSnapshot(puts []*protocol.Put, deletes []string) {
	size := 0
	for _, p := range puts {
		size += itemSize(p)
	}
	if size > maxInstallRecordBytes {
		m.rewrite()
		return
	}
	m.appendRecord(journal.KindInstall, &protocol.InstallRecord{Epoch: m.installedEpoch, Index: m.index, Puts: puts, Deletes: deletes})
}

// itemSize returns the bytes of an item's key and value.
func itemSize(p *protocol.Put) int { return len(p.GetKey()) + len(p.GetValue()) }

// considerActivation starts to serve as the head once all members of the chain have installed the state and none of
// them, this one included, has promised a higher number.
func (m *Machine) considerActivation() {
	if m.chain.active || !m.isHead() || m.wasHeadInEarlierIncarnation() || m.disk.installedEpoch != m.Epoch() || m.promised > m.Epoch() {
		return
	}
	for _, id := range m.view.GetChain()[1:] {
		// A member that has promised a higher number may have reported an older state to its proposer.
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
	if successor := m.successor(); successor != nil {
		m.sendEntries(successor.GetAddress(), m.index)
	}
}
