package replica

import (
	"time"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// transfer is how a member takes the state of another. It tells the digests of what it holds, gets a window of
// the ranges that differ in numbered pieces, keeps each piece that arrives, and asks again for what still
// differs. The state is installed at once, when the digest of what is held equals that of the source's whole
// state. What has arrived outlives views and sources: digests alone decide whether it still fits.
type transfer struct {
	round    uint64        // of the newest request
	askedAt  time.Duration // when it was sent
	heardAt  time.Duration // when it was sent, or the newest piece arrived
	retry    time.Duration // without a piece until it is sent again
	window   int           // bytes asked for at once
	arrived  map[uint32]bool
	staged   map[uint32]stagedRange
	progress uint64 // rises with each piece that brings something and each finished write
}

// stagedRange is a range as a source has it.
type stagedRange struct {
	epoch  uint64
	index  uint64 // of the source's state
	digest uint64
	items  []*protocol.Put
}

const (
	// syncRetry is how long a member waits for a piece of the state until it asks again, at first; the wait
	// doubles up to syncRetryMost with each request that brings nothing.
	syncRetry     = 250 * time.Millisecond
	syncRetryMost = 500 * time.Millisecond
	// syncChunk bounds the bytes of one piece, unless one range is larger.
	syncChunk = 32 << 10
	// The window is doubled where it arrives within windowFast and halved where it takes longer than
	// windowSlow, so that what else uses the link, heartbeats above all, waits no longer than that.
	leastWindow = 32 << 10
	firstWindow = 64 << 10
	mostWindow  = 1 << 20
	windowFast  = 60 * time.Millisecond
	windowSlow  = 160 * time.Millisecond
	// followSilent is how long the tail may send nothing until a member outside the chain asks it anew.
	followSilent = time.Second
)

// requestSync asks the head, or outside the chain the tail, for what differs from what is held.
func (m *Machine) requestSync() {
	t := &m.transfer
	t.round++
	t.askedAt, t.heardAt, t.arrived = m.now, m.now, make(map[uint32]bool)
	if t.window == 0 {
		t.window = firstWindow
	}
	m.send(m.source().GetAddress(), &protocol.Envelope{Body: &protocol.Envelope_SyncRequest{SyncRequest: &protocol.SyncRequest{
		Epoch: m.Epoch(), Digests: m.heldDigests(), Round: t.round, Install: m.place() >= 0, Member: m.cfg.Self.GetId(), Window: uint32(t.window)}}})
}

// source returns the member whose state this one takes.
func (m *Machine) source() *protocol.Member {
	id := view.Head(m.view)
	if m.place() < 0 {
		id = view.Tail(m.view)
	}
	return view.Find(m.view.GetVoters(), id)
}

// heldDigests returns the digests of the member's state with all that has arrived.
func (m *Machine) heldDigests() []uint64 {
	digests := m.store.Digests()
	for number, r := range m.transfer.staged {
		digests[number] = r.digest
	}
	return digests
}

// needsState tells whether the member has to take a state: as a chain member that of the view, outside the
// chain that of the tail.
func (m *Machine) needsState() bool {
	if m.place() >= 0 {
		return m.place() > 0 && m.installedEpoch != m.Epoch()
	}
	return !m.chain.following && (m.isVoterOf(m.view) || !m.isVoter())
}

// tickSync asks again where no piece has come for a while.
func (m *Machine) tickSync() {
	if m.chain.following && m.now-m.chain.followedAt > followSilent {
		m.chain.following = false // the tail does not know that this member follows it
	}
	t := &m.transfer
	if !m.needsState() || m.now-t.heardAt <= max(t.retry, syncRetry) {
		return
	}
	t.retry = min(max(2*t.retry, syncRetry), syncRetryMost)
	t.window = max(t.window/2, leastWindow)
	m.requestSync()
}

func (m *Machine) onSyncRequest(from string, r *protocol.SyncRequest) {
	if r.GetEpoch() > m.Epoch() {
		m.earlySync[from] = r // the agreed view is still on its way to this member
		return
	}
	if r.GetEpoch() != m.Epoch() || m.installedEpoch != m.Epoch() {
		return
	}
	if r.GetInstall() != (m.isHead() && !m.chain.active) || !r.GetInstall() && (!m.isTail() || !m.chain.active) {
		return // a chain member that lost its state again needs another view
	}
	if all := m.sendState(from, r); all && !r.GetInstall() {
		m.chain.followers[from] = m.index
	}
}

// sendState sends the items of the ranges that differ, up to the window that was asked for, in pieces. It
// returns whether those are all that differ.
func (m *Machine) sendState(to string, r *protocol.SyncRequest) (all bool) {
	window := min(max(int(r.GetWindow()), leastWindow), mostWindow)
	pieces := []*protocol.SyncReply{{}}
	size, total := 0, 0
	all = true
	for _, number := range m.store.Differing(r.GetDigests()) {
		if total >= window {
			all = false
			break
		}
		if size >= syncChunk {
			pieces, size = append(pieces, &protocol.SyncReply{}), 0
		}
		piece := pieces[len(pieces)-1]
		piece.Ranges = append(piece.Ranges, number)
		for _, item := range m.store.Range(number) {
			piece.Items = append(piece.Items, item)
			size += len(item.GetKey()) + len(item.GetValue())
			total += len(item.GetKey()) + len(item.GetValue())
		}
	}
	digest := store.Combine(m.store.Digests())
	for i, piece := range pieces {
		piece.Epoch, piece.Round, piece.Index = r.GetEpoch(), r.GetRound(), m.index
		piece.Number, piece.Count, piece.Digest = uint32(i), uint32(len(pieces)), digest
		m.send(to, &protocol.Envelope{Body: &protocol.Envelope_SyncReply{SyncReply: piece}})
	}
	return all
}

func (m *Machine) onSyncReply(from string, r *protocol.SyncReply) {
	if m.view == nil || r.GetEpoch() != m.Epoch() || !m.needsState() || m.source().GetAddress() != from {
		return
	}
	t := &m.transfer
	if m.stage(r) {
		t.progress++
		t.retry = 0
		if m.place() >= 0 {
			m.installing = m.now
		}
	}
	t.heardAt = m.now
	if m.promised <= m.Epoch() && store.Combine(m.heldDigests()) == r.GetDigest() {
		m.install(r.GetIndex())
		return
	}
	if r.GetRound() != t.round {
		return
	}
	t.arrived[r.GetNumber()] = true
	if len(t.arrived) < int(r.GetCount()) {
		return
	}
	switch took := m.now - t.askedAt; {
	case took < windowFast:
		t.window = min(2*t.window, mostWindow)
	case took > windowSlow:
		t.window = max(t.window/2, leastWindow)
	}
	if m.promised <= m.Epoch() || len(r.GetRanges()) > 0 {
		m.requestSync()
	}
}

// stage keeps the ranges of a piece and tells whether they bring anything new.
func (m *Machine) stage(r *protocol.SyncReply) (fresh bool) {
	if m.transfer.staged == nil {
		m.transfer.staged = make(map[uint32]stagedRange)
	}
	items := store.ByRange(r.GetItems())
	for _, number := range r.GetRanges() {
		if number >= store.Ranges {
			continue
		}
		digest := store.DigestOf(items[number])
		known, ok := m.transfer.staged[number]
		if ok && (known.digest == digest || known.epoch == r.GetEpoch() && known.index > r.GetIndex()) {
			continue
		}
		m.transfer.staged[number] = stagedRange{epoch: r.GetEpoch(), index: r.GetIndex(), digest: digest, items: items[number]}
		fresh = true
	}
	return fresh
}

// takeStaged returns the writes that make the store what has arrived, and forgets that.
func (m *Machine) takeStaged() (puts []*protocol.Put, deletes []string) {
	var ranges []uint32
	var items []*protocol.Put
	for number := range uint32(store.Ranges) {
		if r, ok := m.transfer.staged[number]; ok {
			ranges, items = append(ranges, number), append(items, r.items...)
		}
	}
	m.transfer.staged = nil
	m.transfer.round++ // what is still on its way is of no use
	return m.store.Repair(ranges, items)
}
