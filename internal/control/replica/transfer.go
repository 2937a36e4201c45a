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
	sequence       uint64        // of the newest request
	requestedAt    time.Duration // when it was sent
	lastActivity   time.Duration // when it was sent, or the newest piece arrived
	retryAfter     time.Duration // without a piece until it is sent again
	window         int           // bytes asked for at once
	arrivedChunks  map[uint32]bool
	receivedRanges map[uint32]receivedRange
	progress       uint64 // rises with each piece that brings something and each finished write
}

// receivedRange is a range as a source has it.
type receivedRange struct {
	epoch  uint64
	index  uint64 // of the source's state
	digest uint64
	items  []*protocol.Put
}

const (
	// minSyncRetry is how long a member waits for a piece of the state until it asks again, at first; the wait
	// doubles up to syncRetryMost with each request that brings nothing.
	minSyncRetry = 250 * time.Millisecond
	maxSyncRetry = 500 * time.Millisecond
	// maxChunkBytes bounds the bytes of one piece, unless one range is larger.
	maxChunkBytes = 32 << 10
	// The window is doubled where it arrives within windowFast and halved where it takes longer than
	// windowSlow, so that what else uses the link, heartbeats above all, waits no longer than that.
	minWindow         = 32 << 10
	initialWindow     = 64 << 10
	maxWindow         = 1 << 20
	growWindowBelow   = 60 * time.Millisecond
	shrinkWindowAbove = 160 * time.Millisecond
	// followTimeout is how long the tail may send nothing until a member outside the chain asks it anew.
	followTimeout = time.Second
)

// requestSync asks the head, or outside the chain the tail, for what differs from what is held.
func (m *Machine) requestSync() {
	t := &m.transfer
	t.sequence++
	t.requestedAt, t.lastActivity, t.arrivedChunks = m.now, m.now, make(map[uint32]bool)
	if t.window == 0 {
		t.window = initialWindow
	}
	m.send(m.source().GetAddress(), &protocol.Envelope{Body: &protocol.Envelope_SyncRequest{SyncRequest: &protocol.SyncRequest{
		Epoch: m.Epoch(), Digests: m.digestsWithReceived(), Round: t.sequence, Install: m.chainPosition() >= 0, Member: m.cfg.Self.GetId(), Window: uint32(t.window)}}})
}

// source returns the member whose state this one takes.
func (m *Machine) source() *protocol.Member {
	id := view.Head(m.view)
	if m.chainPosition() < 0 {
		id = view.Tail(m.view)
	}
	return view.Find(m.view.GetVoters(), id)
}

// digestsWithReceived returns the digests of the member's state with all that has arrived.
func (m *Machine) digestsWithReceived() []uint64 {
	digests := m.store.Digests()
	for keyRange, r := range m.transfer.receivedRanges {
		digests[keyRange] = r.digest
	}
	return digests
}

// needsState tells whether the member has to take a state: as a chain member that of the view, outside the
// chain that of the tail.
func (m *Machine) needsState() bool {
	if m.chainPosition() >= 0 {
		return m.chainPosition() > 0 && m.installedEpoch != m.Epoch()
	}
	return !m.chain.following && (m.votesIn(m.view) || !m.isVoter())
}

// tickSync asks again where no piece has come for a while.
func (m *Machine) tickSync() {
	if m.chain.following && m.now-m.chain.lastTailContact > followTimeout {
		m.chain.following = false // the tail does not know that this member follows it
	}
	t := &m.transfer
	if !m.needsState() || m.now-t.lastActivity <= max(t.retryAfter, minSyncRetry) {
		return
	}
	t.retryAfter = min(max(2*t.retryAfter, minSyncRetry), maxSyncRetry)
	t.window = max(t.window/2, minWindow)
	m.requestSync()
}

func (m *Machine) onSyncRequest(from string, r *protocol.SyncRequest) {
	if r.GetEpoch() > m.Epoch() {
		m.earlySyncRequests[from] = r // the agreed view is still on its way to this member
		return
	}
	if r.GetEpoch() != m.Epoch() || m.installedEpoch != m.Epoch() {
		return
	}
	if r.GetInstall() != (m.isHead() && !m.chain.active) || !r.GetInstall() && (!m.isTail() || !m.chain.active) {
		return // a chain member that lost its state again needs another view
	}
	if complete := m.sendState(from, r); complete && !r.GetInstall() {
		m.chain.followers[from] = m.index
	}
}

// sendState sends the items of the ranges that differ, up to the window that was asked for, in pieces. It
// returns whether those are all that differ.
func (m *Machine) sendState(to string, r *protocol.SyncRequest) (complete bool) {
	window := min(max(int(r.GetWindow()), minWindow), maxWindow)
	chunks := []*protocol.SyncReply{{}}
	size, total := 0, 0
	complete = true
	for _, keyRange := range m.store.DifferingRanges(r.GetDigests()) {
		if total >= window {
			complete = false
			break
		}
		if size >= maxChunkBytes {
			chunks, size = append(chunks, &protocol.SyncReply{}), 0
		}
		chunk := chunks[len(chunks)-1]
		chunk.Ranges = append(chunk.Ranges, keyRange)
		for _, item := range m.store.ItemsInRange(keyRange) {
			chunk.Items = append(chunk.Items, item)
			size += len(item.GetKey()) + len(item.GetValue())
			total += len(item.GetKey()) + len(item.GetValue())
		}
	}
	digest := store.CombineDigests(m.store.Digests())
	for i, chunk := range chunks {
		chunk.Epoch, chunk.Round, chunk.Index = r.GetEpoch(), r.GetRound(), m.index
		chunk.Number, chunk.Count, chunk.Digest = uint32(i), uint32(len(chunks)), digest
		m.send(to, &protocol.Envelope{Body: &protocol.Envelope_SyncReply{SyncReply: chunk}})
	}
	return complete
}

func (m *Machine) onSyncReply(from string, r *protocol.SyncReply) {
	if m.view == nil || r.GetEpoch() != m.Epoch() || !m.needsState() || m.source().GetAddress() != from {
		return
	}
	t := &m.transfer
	if m.receiveChunk(r) {
		t.progress++
		t.retryAfter = 0
		if m.chainPosition() >= 0 {
			m.installProgressAt = m.now
		}
	}
	t.lastActivity = m.now
	if m.promised <= m.Epoch() && store.CombineDigests(m.digestsWithReceived()) == r.GetDigest() {
		m.installSnapshot(r.GetIndex())
		return
	}
	if r.GetRound() != t.sequence {
		return
	}
	t.arrivedChunks[r.GetNumber()] = true
	if len(t.arrivedChunks) < int(r.GetCount()) {
		return
	}
	switch elapsed := m.now - t.requestedAt; {
	case elapsed < growWindowBelow:
		t.window = min(2*t.window, maxWindow)
	case elapsed > shrinkWindowAbove:
		t.window = max(t.window/2, minWindow)
	}
	if m.promised <= m.Epoch() || len(r.GetRanges()) > 0 {
		m.requestSync()
	}
}

// receiveChunk keeps the ranges of a piece and tells whether they bring anything new.
func (m *Machine) receiveChunk(r *protocol.SyncReply) (progressed bool) {
	if m.transfer.receivedRanges == nil {
		m.transfer.receivedRanges = make(map[uint32]receivedRange)
	}
	items := store.GroupByRange(r.GetItems())
	for _, keyRange := range r.GetRanges() {
		if keyRange >= store.RangeCount {
			continue
		}
		digest := store.DigestItems(items[keyRange])
		known, ok := m.transfer.receivedRanges[keyRange]
		if ok && (known.digest == digest || known.epoch == r.GetEpoch() && known.index > r.GetIndex()) {
			continue
		}
		m.transfer.receivedRanges[keyRange] = receivedRange{epoch: r.GetEpoch(), index: r.GetIndex(), digest: digest, items: items[keyRange]}
		progressed = true
	}
	return progressed
}

// takeReceivedRanges returns the writes that make the store what has arrived, and forgets that.
func (m *Machine) takeReceivedRanges() (puts []*protocol.Put, deletes []string) {
	var ranges []uint32
	var items []*protocol.Put
	for keyRange := range uint32(store.RangeCount) {
		if r, ok := m.transfer.receivedRanges[keyRange]; ok {
			ranges, items = append(ranges, keyRange), append(items, r.items...)
		}
	}
	m.transfer.receivedRanges = nil
	m.transfer.sequence++ // what is still on its way is of no use
	return m.store.Repair(ranges, items)
}
