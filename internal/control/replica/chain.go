package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gammazero/deque"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

const (
	// contactTimeout is how long the head accepts requests after a majority last confirmed its epoch. Requests accepted in
	// that time may be lost when the epoch ends; the clients of lost requests get no reply.
	contactTimeout = 2 * time.Second
	// maxUncommitted is the number of appended but uncommitted entries from which the head accepts no more requests.
	maxUncommitted = 4096
)

// chain holds this member's replication state in the newest view.
type chain struct {
	active    bool                         // all chain members have installed the state (head), or an Append of the epoch has arrived (other chain members)
	following bool                         // outside the chain: this member has the tail's state and appends its entries
	committed uint64                       // index of the last entry that every chain member is known to have synced
	log       deque.Deque[*protocol.Entry] // entries that the successor, a follower or a client may still need

	sentIndex         uint64 // last entry sent to the successor
	suffixDurable     uint64 // index up to which the successor and all members after it have synced
	prefixDurable     uint64 // index up to which all members before this one have synced
	sentPrefixDurable uint64 // last prefixDurable sent to the successor
	sentSuffixDurable uint64 // last suffixDurable sent to the predecessor

	followers        map[string]uint64 // at the tail: last entry sent to each member outside the chain, by address
	commitProgressAt time.Duration     // when committed last rose, or when the first uncommitted entry was appended
	lastTailContact  time.Duration     // outside the chain: when the tail last sent anything
	nextResendAt     time.Duration     // when messages that may have been lost are repeated
}

var (
	// ErrCannotAppend is the error of Append while CanAppend returns false.
	ErrCannotAppend = errors.New("replica: this member can't append entries")
	// ErrUnencodable marks the error of Append for an entry that can't be encoded.
	ErrUnencodable = errors.New("replica: the entry can't be encoded")
)

// Append appends an entry at the serving head and returns its index. The machine owns the entry from then on. The error
// is ErrCannotAppend if CanAppend returns false, and marked with ErrUnencodable for an entry that can't be encoded. With
// an error nothing has changed.
func (m *Machine) Append(now time.Duration, e *protocol.Entry) (uint64, Actions, error) {
	m.now = now
	if !m.CanAppend() {
		return 0, m.takeActions(), ErrCannotAppend
	}
	e.Index = m.index + 1
	if err := m.appendEntry(e); err != nil {
		return 0, m.takeActions(), err
	}
	m.forwardEntries()
	return e.GetIndex(), m.takeActions(), nil
}

// CanAppend reports whether the member serves as the head, its disk accepts writes and it has not promised a number above
// its epoch. While another member's proposal is in progress, a serving head may be unable to append.
func (m *Machine) CanAppend() bool {
	return m.Serving() && !m.disk.failed && m.promised <= m.Epoch()
}

// Accepting reports whether the head may accept requests: a majority has recently confirmed its epoch, and the entries
// appended before are being committed.
func (m *Machine) Accepting(now time.Duration) bool {
	return m.Serving() && now-m.confirmations.confirmedAt <= contactTimeout && m.index-m.chain.committed < maxUncommitted
}

// appendEntry adds an entry to the next write and to the log and applies it to the store. An entry that can't be encoded
// changes nothing; the error is marked with ErrUnencodable. It must not be applied, as each later copy of the store would
// include what can't be encoded.
func (m *Machine) appendEntry(e *protocol.Entry) error {
	if err := m.recordEntry(e); err != nil {
		return errors.Mark(err, ErrUnencodable)
	}
	if m.index == m.chain.committed {
		m.chain.commitProgressAt = m.now
	}
	m.index = e.GetIndex()
	m.store.Apply(e.GetPuts(), e.GetDeletes())
	m.chain.log.PushBack(e)
	return nil
}

// successor returns the next chain member towards the tail, nil at the tail and outside the chain.
func (m *Machine) successor() *protocol.Member {
	position := m.chainPosition()
	if position < 0 || position+1 >= len(m.view.GetChain()) {
		return nil
	}
	return view.Find(m.view.GetVoters(), m.view.GetChain()[position+1])
}

// predecessor returns the next chain member towards the head, nil at the head and outside the chain.
func (m *Machine) predecessor() *protocol.Member {
	position := m.chainPosition()
	if position < 1 {
		return nil
	}
	return view.Find(m.view.GetVoters(), m.view.GetChain()[position-1])
}

// forwardEntries sends the unsent entries to the successor, or at the tail to the followers.
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

// sendEntries sends the entries after an index, in messages of a bounded size. A message without entries still shows the
// receiver whether it is missing any.
func (m *Machine) sendEntries(address string, after uint64) {
	a := &protocol.Append{Epoch: m.Epoch(), First: after, Durable: m.prefixDurable()}
	size := 0
	for i := range m.chain.log.Len() {
		e := m.chain.log.At(i)
		if e.GetIndex() <= after {
			continue
		}
		if len(a.Entries) > 0 {
			size += proto.Size(a.Entries[len(a.Entries)-1])
		}
		if size >= protocol.MaxListBytes {
			m.send(address, &protocol.Envelope{Body: &protocol.Envelope_Append{Append: a}})
			a = &protocol.Append{Epoch: m.Epoch(), First: e.GetIndex() - 1, Durable: m.prefixDurable()}
			size = 0
		}
		a.Entries = append(a.Entries, e)
	}
	m.send(address, &protocol.Envelope{Body: &protocol.Envelope_Append{Append: a}})
}

// prefixDurable returns the index up to which the head and all members down to this one have synced.
func (m *Machine) prefixDurable() uint64 {
	if m.isHead() {
		return m.durable
	}
	return min(m.durable, m.chain.prefixDurable)
}

// suffixDurable returns the index up to which this member and all members down to the tail have synced.
func (m *Machine) suffixDurable() uint64 {
	if m.successor() == nil {
		return m.durable
	}
	return min(m.durable, m.chain.suffixDurable)
}

// onAppend appends the entries that follow this member's last one and forwards them. A chain member appends entries only
// after it has installed the state of the view, a member outside the chain only while it follows the tail.
func (m *Machine) onAppend(from string, a *protocol.Append) {
	if a.GetEpoch() != m.Epoch() || m.promised > a.GetEpoch() {
		return // of another epoch, or this member has promised a higher number: the epoch is sealed here
	}
	inChain := m.chainPosition() > 0
	if inChain && m.installedEpoch != a.GetEpoch() || !inChain && !m.chain.following {
		return
	}
	m.chain.lastTailContact = m.now
	if a.GetFirst() > m.index {
		if inChain {
			m.requestResend(from)
		} else {
			m.chain.following = false // entries are missing: tickSync requests the state again
		}
		return
	}
	for _, e := range a.GetEntries() {
		if e.GetIndex() != m.index+1 {
			continue
		}
		if err := m.appendEntry(e); err != nil { // impossible for an entry that was decoded
			m.event("Entry can't be encoded, it is not appended", "index", e.GetIndex(), "err", err)
			return
		}
	}
	m.chain.active = inChain
	m.chain.prefixDurable = max(m.chain.prefixDurable, a.GetDurable())
	m.forwardEntries()
	m.advance()
}

// requestResend asks the predecessor for the entries after this member's last one.
func (m *Machine) requestResend(to string) {
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_AppendAck{AppendAck: &protocol.AppendAck{
		Epoch: m.Epoch(), Durable: m.suffixDurable(), Resend: true, Index: m.index}}})
}

// sendAck sends the predecessor the index up to which the chain from this member to the tail has synced.
func (m *Machine) sendAck(to string) {
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_AppendAck{AppendAck: &protocol.AppendAck{
		Epoch: m.Epoch(), Durable: m.suffixDurable(), Index: m.index}}})
}

// onAppendAck records the index up to which the successor and all members after it have synced, and resends entries that
// the successor is missing.
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

// advance commits the entries that all chain members have synced, sends the neighbors the synced indexes, and completes
// reads that waited for a commit.
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
		m.sendAck(predecessor.GetAddress())
	}
	if successor := m.successor(); successor != nil && m.prefixDurable() > m.chain.sentPrefixDurable && m.chain.active {
		m.chain.sentPrefixDurable = m.prefixDurable()
		m.sendEntries(successor.GetAddress(), m.chain.sentIndex)
	}
	m.trimLog()
	m.finishReads()
}

// commit marks entries as committed; the tail replies to their clients.
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

// trimLog removes entries from the log that no member will request: committed entries that the successor and all members
// after it have synced, and at the tail committed entries, which have been replied to. A member outside the chain keeps
// none.
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

// tickChain repeats messages that may have been lost.
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
		m.sendAck(predecessor.GetAddress())
	}
}
