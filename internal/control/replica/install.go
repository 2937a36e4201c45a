package replica

import (
	"fmt"
	"maps"
	"slices"

	"github.com/gammazero/deque"

	"frosttide/internal/control/journal"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// installInPlace bounds the bytes of a change of state that is appended to the file; a larger one is written as
// a new file.
const installInPlace = 1 << 20

// adopt takes an agreed view for the newest.
func (m *Machine) adopt(v *protocol.View) {
	if v.GetEpoch() <= m.Epoch() {
		return
	}
	if !view.Valid(v) {
		m.drop("a view that can't be")
		return
	}
	m.stopReads()
	m.sawBallot(v.GetEpoch())
	m.view, m.adopted, m.installing = v, m.now, m.now
	if m.accepted.GetEpoch() < v.GetEpoch() { // agreed without this member
		m.promised = max(m.promised, v.GetEpoch())
		m.accepted = v
		m.record(journal.Accept, &protocol.AcceptRecord{View: v})
	}
	if m.round != nil && m.round.ballot <= v.GetEpoch() {
		m.round = nil
	}
	for _, p := range m.peers {
		p.restarted = false
	}
	m.chain = chain{committed: m.chain.committed, followers: make(map[string]uint64), movedAt: m.now, log: deque.Deque[*protocol.Entry]{}}
	m.confirms = confirms{at: m.now, round: m.confirms.round}
	m.suspected, m.givenUp, m.next, m.transfer.retry = 0, 0, 0, 0
	if m.announced && !m.isHead() {
		m.announced = false
		m.actions.Roles = append(m.actions.Roles, Role{Epoch: v.GetEpoch()})
		m.note("no longer the head")
	}
	if m.isHead() {
		if !m.headBefore() {
			m.becomeSource()
			m.answerEarlySync()
		}
	} else if m.isVoterOf(v) || !m.isVoter() {
		m.requestSync()
	}
	clear(m.earlySync)
	m.heartbeat()
}

// answerEarlySync answers the chain members that knew the view before its head did.
func (m *Machine) answerEarlySync() {
	for _, from := range slices.Sorted(maps.Keys(m.earlySync)) {
		m.onSyncRequest(from, m.earlySync[from])
	}
}

func (m *Machine) isVoterOf(v *protocol.View) bool {
	return view.Find(v.GetVoters(), m.cfg.Self.GetId()) != nil
}

// headBefore tells whether the view may be one that this member has served as the head before its process
// began. It has forgotten then which entries it has sent, so that it must not go on in that view.
func (m *Machine) headBefore() bool { return m.isHead() && m.view.GetEpoch() <= m.bootEpoch }

// becomeSource makes this member's state the one that the view begins with.
func (m *Machine) becomeSource() {
	m.installedEpoch = m.view.GetEpoch()
	m.transfer.staged = nil
	m.record(journal.Install, &protocol.InstallRecord{Epoch: m.installedEpoch, Index: m.index})
	m.afterWrite(func() { m.considerInstalled() })
}

// install takes over the state that has arrived. In the chain it is the state of the view.
func (m *Machine) install(index uint64) {
	puts, deletes := m.takeStaged()
	m.store.Apply(puts, deletes)
	m.index = index
	m.forgetDurable()
	m.chain.log.Clear()
	inChain := m.place() >= 0
	if inChain {
		m.installedEpoch = m.Epoch()
		m.chain.sent, m.chain.behind = index, 0
	} else {
		m.chain.following, m.chain.followedAt = true, m.now
	}
	m.recordInstall(puts, deletes)
	epoch := m.Epoch()
	m.afterWrite(func() {
		if m.Epoch() == epoch {
			m.heartbeat() // tells the head that the state is installed
		}
	})
	m.note(fmt.Sprintf("state taken over: epoch=%d index=%d puts=%d deletes=%d", m.Epoch(), index, len(puts), len(deletes)))
}

// recordInstall writes a change of state at once: in one record, or as a new file where it is large.
func (m *Machine) recordInstall(puts []*protocol.Put, deletes []string) {
	size := 0
	for _, p := range puts {
		size += len(p.GetKey()) + len(p.GetValue())
	}
	if size > installInPlace {
		m.rewrite()
		return
	}
	m.record(journal.Install, &protocol.InstallRecord{Epoch: m.installedEpoch, Index: m.index, Puts: puts, Deletes: deletes})
}

// considerInstalled makes the chain active once all its members hold the state.
func (m *Machine) considerInstalled() {
	if m.chain.active || !m.isHead() || m.headBefore() || m.disk.installedEpoch != m.Epoch() || m.promised > m.Epoch() {
		return
	}
	for _, id := range m.view.GetChain()[1:] {
		// A member that has promised a higher ballot may have told its candidate of an older state.
		p := m.peers[id]
		if p == nil || p.last.GetInstalledEpoch() != m.Epoch() || p.last.GetPromised() > m.Epoch() {
			return
		}
	}
	m.chain.active = true
	m.chain.sent, m.chain.behind, m.chain.committed = m.index, m.index, m.index
	m.chain.movedAt = m.now
	m.confirms.at = m.now
	m.note(fmt.Sprintf("serving as the head: epoch=%d index=%d", m.Epoch(), m.index))
	m.announced = true
	m.actions.Roles = append(m.actions.Roles, Role{Serving: true, Epoch: m.Epoch()})
	m.heartbeat()
	if next := m.successor(); next != nil {
		m.sendEntries(next.GetAddress(), m.index)
	}
}
