package replica

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gammazero/deque"

	"frosttide/internal/control/journal"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// syncing is how a member takes the state of another.
type syncing struct {
	round     uint64 // of the newest request
	askedAt   time.Duration
	ranges    []uint32 // gathered from replies
	items     []*protocol.Put
	nextProbe time.Duration
}

const (
	// syncRetry is how long a member waits for the state before it asks again.
	syncRetry = 250 * time.Millisecond
	// syncChunk bounds the bytes of one reply.
	syncChunk = 256 << 10
	// installInPlace bounds the bytes of a change of state that is appended to the file; a larger one is
	// written as a new file.
	installInPlace = 1 << 20
)

// adopt takes an agreed view for the newest.
func (m *Machine) adopt(v *protocol.View) {
	if v.GetEpoch() <= m.Epoch() {
		return
	}
	m.stopReads()
	m.sawBallot(v.GetEpoch())
	m.view, m.adopted = v, m.now
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
	m.chain = chain{committed: m.chain.committed, followers: make(map[string]uint64), movedAt: m.now, log: deque.Deque[*protocol.Entry]{}, sync: syncing{round: m.chain.sync.round}}
	m.confirms = confirms{at: m.now, round: m.confirms.round}
	m.suspected, m.givenUp, m.next = 0, 0, 0
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
	m.record(journal.Install, &protocol.InstallRecord{Epoch: m.installedEpoch, Index: m.index})
	m.afterWrite(func() { m.considerInstalled() })
}

// requestSync asks the head, or outside the chain the tail, for what differs from its state.
func (m *Machine) requestSync() {
	from := view.Head(m.view)
	if m.place() < 0 {
		from = view.Tail(m.view)
	}
	s := &m.chain.sync
	s.round++
	s.askedAt, s.ranges, s.items = m.now, nil, nil
	source := view.Find(m.view.GetVoters(), from)
	m.send(source.GetAddress(), &protocol.Envelope{Body: &protocol.Envelope_SyncRequest{SyncRequest: &protocol.SyncRequest{
		Epoch: m.Epoch(), Digests: m.store.Digests(), Round: s.round, Install: m.place() >= 0, Member: m.cfg.Self.GetId()}}})
}

// tickSync asks again where the state has not come.
func (m *Machine) tickSync() {
	needs := m.place() > 0 && m.installedEpoch != m.Epoch() || m.place() < 0 && !m.chain.following && (m.isVoterOf(m.view) || !m.isVoter())
	if needs && m.now-m.chain.sync.askedAt > syncRetry {
		m.requestSync()
	}
}

func (m *Machine) onSyncRequest(from string, r *protocol.SyncRequest) {
	if r.GetEpoch() > m.Epoch() {
		m.earlySync[from] = r // the agreed view is still on its way to this member
		return
	}
	if r.GetEpoch() != m.Epoch() || m.installedEpoch != m.Epoch() {
		return
	}
	if r.GetInstall() != (m.isHead() && !m.chain.active) || !r.GetInstall() && !m.isTail() {
		return // a chain member that lost its state again needs another view
	}
	if !r.GetInstall() {
		if !m.chain.active {
			return
		}
		m.chain.followers[from] = m.index
	}
	m.sendState(from, r)
}

// sendState sends the items of all ranges that differ, in pieces.
func (m *Machine) sendState(to string, r *protocol.SyncRequest) {
	piece := &protocol.SyncReply{Epoch: r.GetEpoch(), Round: r.GetRound(), Index: m.index}
	size := 0
	for _, number := range m.store.Differing(r.GetDigests()) {
		piece.Ranges = append(piece.Ranges, number)
		for _, item := range m.store.Range(number) {
			piece.Items = append(piece.Items, item)
			size += len(item.GetKey()) + len(item.GetValue())
		}
		if size > syncChunk {
			m.send(to, &protocol.Envelope{Body: &protocol.Envelope_SyncReply{SyncReply: piece}})
			piece, size = &protocol.SyncReply{Epoch: r.GetEpoch(), Round: r.GetRound(), Index: m.index}, 0
		}
	}
	piece.Last = true
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_SyncReply{SyncReply: piece}})
}

func (m *Machine) onSyncReply(_ string, r *protocol.SyncReply) {
	s := &m.chain.sync
	if r.GetEpoch() != m.Epoch() || r.GetRound() != s.round || m.promised > m.Epoch() {
		return
	}
	s.ranges = append(s.ranges, r.GetRanges()...)
	s.items = append(s.items, r.GetItems()...)
	s.askedAt = m.now
	if !r.GetLast() {
		return
	}
	m.install(r.GetIndex())
}

// install takes over the state that was gathered. In the chain it is the state of the view.
func (m *Machine) install(index uint64) {
	s := &m.chain.sync
	puts, deletes := m.store.Repair(s.ranges, s.items)
	s.round++ // a reply that comes twice is not taken twice
	s.ranges, s.items = nil, nil
	m.store.Apply(puts, deletes)
	m.index = index
	m.forgetDurable()
	m.chain.log.Clear()
	inChain := m.place() >= 0
	if inChain {
		m.installedEpoch = m.Epoch()
		m.chain.sent, m.chain.behind = index, 0
	} else {
		m.chain.following = true
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
