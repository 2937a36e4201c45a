package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/gammazero/deque"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// chain is the member's part in the chain of the newest view.
type chain struct {
	active            bool // as the head: all members hold the state; as another: the state is installed
	following         bool // outside the chain: the state follows the tail's
	log               deque.Deque[*protocol.Entry]
	sentIndex         uint64 // last entry passed on to the successor
	suffixDurable     uint64 // durable at the successor and all after it
	prefixDurable     uint64 // durable at all members before this one
	committed         uint64
	commitProgressAt  time.Duration // when committed last rose, or had nothing to rise to
	sentPrefixDurable uint64        // last durable told to the successor
	sentSuffixDurable uint64        // last durable told to the predecessor
	followers         map[string]uint64
	lastTailContact   time.Duration // outside the chain: when the tail was last heard of
	nextResendAt      time.Duration // when what may have been lost is repeated
}

// Append writes an entry as the serving head and returns its index; it fails where the member does not
// serve. The entry belongs to the machine from then on.
func (m *Machine) Append(now time.Duration, e *protocol.Entry) (uint64, Actions, bool) {
	m.now = now
	if !m.CanAppend() {
		return 0, m.takeActions(), false
	}
	e.Index = m.index + 1
	m.appendEntry(e)
	m.forwardEntries()
	return e.GetIndex(), m.takeActions(), true
}

// CanAppend tells whether the member serves as the head and has not promised to follow another view. It
// may serve and not be able to append for the length of an election round.
func (m *Machine) CanAppend() bool {
	return m.Serving() && !m.disk.failed && m.promised <= m.Epoch()
}

const (
	// contactTimeout is how long the head goes on taking requests without a majority that stands by its epoch: what it
	// takes then waits in memory, and is answered by nobody.
	contactTimeout = 2 * time.Second
	// maxUncommitted bounds the entries that the chain has not committed.
	maxUncommitted = 4096
)

// Accepting tells whether the head may take requests: a majority has lately stood by its epoch, and what it has
// taken before gets on.
func (m *Machine) Accepting(now time.Duration) bool {
	return m.Serving() && now-m.confirmations.confirmedAt <= contactTimeout && m.index-m.chain.committed < maxUncommitted
}

// appendEntry takes an entry into the state, the file and the log.
func (m *Machine) appendEntry(e *protocol.Entry) {
	if m.index == m.chain.committed {
		m.chain.commitProgressAt = m.now
	}
	m.index = e.GetIndex()
	m.store.Apply(e.GetPuts(), e.GetDeletes())
	m.recordEntry(e)
	m.chain.log.PushBack(e)
}

// successor returns the chain member behind this one, nil for the tail and outside the chain.
func (m *Machine) successor() *protocol.Member {
	position := m.chainPosition()
	if position < 0 || position+1 >= len(m.view.GetChain()) {
		return nil
	}
	return view.Find(m.view.GetVoters(), m.view.GetChain()[position+1])
}

// predecessor returns the chain member before this one, nil for the head and outside the chain.
func (m *Machine) predecessor() *protocol.Member {
	position := m.chainPosition()
	if position < 1 {
		return nil
	}
	return view.Find(m.view.GetVoters(), m.view.GetChain()[position-1])
}

// isTail tells whether the member is the last of the chain.
func (m *Machine) isTail() bool {
	return m.view != nil && view.Tail(m.view) == m.cfg.Self.GetId()
}

// forwardEntries sends the successor, and as the tail the followers, what they have not been sent.
func (m *Machine) forwardEntries() {
	if successor := m.successor(); successor != nil {
		if m.chain.sentIndex < m.index {
			m.sendEntries(successor.GetAddress(), m.chain.sentIndex)
			m.chain.sentIndex = m.index
		}
		return
	}
	for _, address := range slices.Sorted(maps.Keys(m.chain.followers)) {
		if sent := m.chain.followers[address]; sent < m.index {
			m.sendEntries(address, sent)
			m.chain.followers[address] = m.index
		}
	}
}

// sendEntries sends the entries after an index; an empty append lets the receiver see whether it lacks any.
func (m *Machine) sendEntries(address string, after uint64) {
	durable := m.prefixDurable()
	a := &protocol.Append{Epoch: m.Epoch(), First: after, Durable: durable}
	for i := range m.chain.log.Len() {
		if e := m.chain.log.At(i); e.GetIndex() > after {
			a.Entries = append(a.Entries, e)
		}
	}
	m.send(address, &protocol.Envelope{Body: &protocol.Envelope_Append{Append: a}})
}

// prefixDurable returns what this member and all before it have synced.
func (m *Machine) prefixDurable() uint64 {
	if m.isHead() {
		return m.durable
	}
	return min(m.durable, m.chain.prefixDurable)
}

// suffixDurable returns what this member and all behind it have synced.
func (m *Machine) suffixDurable() uint64 {
	if m.successor() == nil {
		return m.durable
	}
	return min(m.durable, m.chain.suffixDurable)
}

func (m *Machine) onAppend(from string, a *protocol.Append) {
	if a.GetEpoch() != m.Epoch() || m.promised > a.GetEpoch() {
		return // it is of an older view, or this member has promised to leave that one
	}
	inChain := m.chainPosition() > 0
	if inChain && m.installedEpoch != a.GetEpoch() || !inChain && !m.chain.following {
		return
	}
	m.chain.lastTailContact = m.now
	if a.GetFirst() > m.index {
		m.reportGap(from, inChain)
		return
	}
	for _, e := range a.GetEntries() {
		if e.GetIndex() == m.index+1 {
			m.appendEntry(e)
		}
	}
	m.chain.active = inChain
	m.chain.prefixDurable = max(m.chain.prefixDurable, a.GetDurable())
	m.forwardEntries()
	m.advance()
}

// reportGap tells the sender of an append that entries before it are missing here.
func (m *Machine) reportGap(from string, inChain bool) {
	if !inChain {
		m.chain.following = false // it is synced anew
		return
	}
	m.send(from, &protocol.Envelope{Body: &protocol.Envelope_AppendAck{AppendAck: &protocol.AppendAck{
		Epoch: m.Epoch(), Durable: m.suffixDurable(), Resend: true, Index: m.index}}})
}

func (m *Machine) onAppendAck(from string, a *protocol.AppendAck) {
	successor := m.successor()
	if a.GetEpoch() != m.Epoch() || successor == nil || successor.GetAddress() != from {
		return
	}
	m.chain.suffixDurable = max(m.chain.suffixDurable, a.GetDurable())
	if a.GetResend() {
		m.chain.sentIndex = min(m.chain.sentIndex, a.GetIndex())
		m.forwardEntries()
	}
	m.advance()
}

// advance raises what is committed, answers what the tail can answer, and tells the neighbors what is
// synced here.
func (m *Machine) advance() {
	if m.chainPosition() < 0 || m.installedEpoch != m.Epoch() {
		m.trimLog()
		return
	}
	if committed := min(m.prefixDurable(), m.suffixDurable()); committed > m.chain.committed && m.chain.active {
		m.commit(committed)
	}
	if predecessor := m.predecessor(); predecessor != nil && m.suffixDurable() > m.chain.sentSuffixDurable {
		m.chain.sentSuffixDurable = m.suffixDurable()
		m.send(predecessor.GetAddress(), &protocol.Envelope{Body: &protocol.Envelope_AppendAck{AppendAck: &protocol.AppendAck{
			Epoch: m.Epoch(), Durable: m.chain.sentSuffixDurable, Index: m.index}}})
	}
	if successor := m.successor(); successor != nil && m.prefixDurable() > m.chain.sentPrefixDurable && m.chain.active {
		m.chain.sentPrefixDurable = m.prefixDurable()
		m.sendEntries(successor.GetAddress(), m.chain.sentIndex)
	}
	m.trimLog()
	m.finishReads()
}

// commit takes entries for committed; the tail answers them.
func (m *Machine) commit(upTo uint64) {
	if m.isTail() {
		for i := range m.chain.log.Len() {
			e := m.chain.log.At(i)
			if e.GetIndex() > m.chain.committed && e.GetIndex() <= upTo {
				m.actions.Replies = append(m.actions.Replies, e.GetReplies()...)
			}
		}
	}
	m.chain.committed = upTo
	m.chain.commitProgressAt = m.now
}

// trimLog drops entries from the log that nobody will ask for: those that the members behind have synced,
// and at the tail those that are answered. Outside the chain none is kept.
func (m *Machine) trimLog() {
	keepAfter := m.index
	switch {
	case m.chainPosition() < 0:
	case m.successor() != nil:
		keepAfter = min(m.chain.suffixDurable, m.chain.committed)
	default:
		keepAfter = m.chain.committed
	}
	for m.chain.log.Len() > 0 && m.chain.log.Front().GetIndex() <= keepAfter {
		m.chain.log.PopFront()
	}
}

// tickChain repeats what may have been lost on the way.
func (m *Machine) tickChain() {
	if m.view == nil {
		return
	}
	m.tickSync()
	if m.now < m.chain.nextResendAt || !m.chain.active {
		return
	}
	m.chain.nextResendAt = m.now + m.cfg.Timing.HeartbeatInterval
	if successor := m.successor(); successor != nil {
		m.sendEntries(successor.GetAddress(), m.chain.sentIndex)
	}
	for _, address := range slices.Sorted(maps.Keys(m.chain.followers)) {
		m.sendEntries(address, m.chain.followers[address])
	}
	if predecessor := m.predecessor(); predecessor != nil {
		m.send(predecessor.GetAddress(), &protocol.Envelope{Body: &protocol.Envelope_AppendAck{AppendAck: &protocol.AppendAck{
			Epoch: m.Epoch(), Durable: m.suffixDurable(), Index: m.index}}})
	}
}
