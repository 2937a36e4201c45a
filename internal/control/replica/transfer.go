package replica

import (
	"time"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

const (
	// minSyncRetry and maxSyncRetry bound how long a member waits for a chunk until it sends its request again; the time
	// doubles with each request that no chunk answers.
	minSyncRetry = 250 * time.Millisecond
	maxSyncRetry = 500 * time.Millisecond
	// maxChunkBytes is the size of a chunk's items, in bytes, from which no further key range is added to the chunk.
	maxChunkBytes = 32 << 10
	// The window, in bytes, is doubled if all of it arrives within growWindowBelow and halved if it takes longer than
	// shrinkWindowAbove, so that other messages on the link, above all heartbeats, are not delayed by more than that.
	minWindow         = 32 << 10
	initialWindow     = 64 << 10
	maxWindow         = 1 << 20
	growWindowBelow   = 60 * time.Millisecond
	shrinkWindowAbove = 160 * time.Millisecond
	// followTimeout is the time without a message from the tail after which a follower requests the state again.
	followTimeout = time.Second
)

// transfer tracks how a member fetches the state of another member, its source.
//
// A request carries the digests of the member's key ranges. The source replies with differing ranges, up to the requested
// window, in numbered chunks. The member keeps the received ranges and requests those that still differ. It installs all
// of them at once as a snapshot when the digest of its state with these ranges equals that of the source's complete state.
// Received ranges are kept when the view or the source changes, because digests alone decide whether they still match: a
// transfer over a slow link resumes after a change of the head.
type transfer struct {
	sequence       uint64                   // of the newest request
	requestedAt    time.Duration            // when the newest request was sent
	lastActivity   time.Duration            // when the newest request was sent or the newest chunk arrived, whichever is later
	retryAfter     time.Duration            // time without a chunk after which the request is repeated, at least minSyncRetry
	window         int                      // bytes requested at once
	arrivedChunks  map[uint32]bool          // chunks of the newest reply, by number
	receivedRanges map[uint32]receivedRange // ranges to be installed, by number
	progress       uint64                   // increases with each chunk that has new ranges and each finished write
}

// receivedRange is the content of a key range at a source.
type receivedRange struct {
	epoch  uint64
	index  uint64 // of the source's state
	digest uint64
	items  []*protocol.Put
}

// source returns the member whose state this one fetches: the head for a chain member, the tail for others.
func (m *Machine) source() *protocol.Member {
	id := view.Head(m.view)
	if m.chainPosition() < 0 {
		id = view.Tail(m.view)
	}
	return view.Find(m.view.GetVoters(), id)
}

// needsState reports whether the member has to fetch a state: the view's initial state at a chain member, the tail's state
// at a member outside the chain.
func (m *Machine) needsState() bool {
	if m.chainPosition() >= 0 {
		return m.chainPosition() > 0 && m.installedEpoch != m.Epoch()
	}
	return !m.chain.following && (m.votesIn(m.view) || !m.isVoter())
}

// requestSync requests the key ranges that differ from those held or received.
func (m *Machine) requestSync() {
	t := &m.transfer
	t.sequence++
	t.requestedAt, t.lastActivity, t.arrivedChunks = m.now, m.now, make(map[uint32]bool)
	if t.window == 0 {
		t.window = initialWindow
	}
	m.send(m.source().GetAddress(), &protocol.Envelope{Body: &protocol.Envelope_SyncRequest{SyncRequest: &protocol.SyncRequest{
		Epoch:   m.Epoch(),
		Digests: m.digestsWithReceived(),
		Round:   t.sequence,
		Install: m.chainPosition() >= 0,
		Member:  m.selfID(),
		Window:  uint32(t.window),
	}}})
}

// digestsWithReceived returns the digests that the member's state would have with the received ranges installed.
func (m *Machine) digestsWithReceived() []uint64 {
	digests := m.store.Digests()
	for keyRange, r := range m.transfer.receivedRanges {
		digests[keyRange] = r.digest
	}
	return digests
}

// tickSync repeats the request with a smaller window if no chunk has arrived for a while.
func (m *Machine) tickSync() {
	if m.chain.following && m.now-m.chain.lastTailContact > followTimeout {
		m.chain.following = false // the tail no longer has this member among its followers
	}
	t := &m.transfer
	if !m.needsState() || m.now-t.lastActivity <= max(t.retryAfter, minSyncRetry) {
		return
	}
	t.retryAfter = min(max(2*t.retryAfter, minSyncRetry), maxSyncRetry)
	t.window = max(t.window/2, minWindow)
	m.requestSync()
}

// onSyncRequest serves a request for state. The head serves chain members until all of them have installed the state of
// the view, and the tail of an active chain serves members outside the chain. A member that holds the tail's state after
// the reply becomes a follower.
func (m *Machine) onSyncRequest(from string, r *protocol.SyncRequest) {
	if r.GetEpoch() > m.Epoch() {
		m.earlySyncRequests[from] = r // this member has not adopted the agreed view yet
		return
	}
	if r.GetEpoch() != m.Epoch() || m.installedEpoch != m.Epoch() {
		return
	}
	if r.GetInstall() != (m.isHead() && !m.chain.active) || !r.GetInstall() && (!m.isTail() || !m.chain.active) {
		return // a chain member that has lost its state after installing it needs another view
	}
	chunks, complete := m.chunksFor(r)
	m.sendChunks(from, r, chunks)
	if complete && !r.GetInstall() {
		m.chain.followers[from] = m.index
	}
}

// chunksFor returns the key ranges in which a requester's state differs, in chunks and up to the requested window, and
// whether these are all such ranges. There is at least one chunk, which may be empty.
func (m *Machine) chunksFor(r *protocol.SyncRequest) (chunks []*protocol.SyncReply, complete bool) {
	window := min(max(int(r.GetWindow()), minWindow), maxWindow)
	chunk := &protocol.SyncReply{}
	chunks = append(chunks, chunk)
	size, total := 0, 0
	for _, keyRange := range m.store.DifferingRanges(r.GetDigests()) {
		if total >= window {
			return chunks, false
		}
		if size >= maxChunkBytes {
			chunk, size = &protocol.SyncReply{}, 0
			chunks = append(chunks, chunk)
		}
		chunk.Ranges = append(chunk.Ranges, keyRange)
		for _, item := range m.store.ItemsInRange(keyRange) {
			chunk.Items = append(chunk.Items, item)
			size += itemSize(item)
			total += itemSize(item)
		}
	}
	return chunks, true
}

// sendChunks sends the chunks of a reply. Each carries the digest of the complete state.
func (m *Machine) sendChunks(to string, r *protocol.SyncRequest, chunks []*protocol.SyncReply) {
	digest := store.CombineDigests(m.store.Digests())
	for i, chunk := range chunks {
		chunk.Epoch, chunk.Round, chunk.Index = r.GetEpoch(), r.GetRound(), m.index
		chunk.Number, chunk.Count, chunk.Digest = uint32(i), uint32(len(chunks)), digest
		m.send(to, &protocol.Envelope{Body: &protocol.Envelope_SyncReply{SyncReply: chunk}})
	}
}

// onSyncReply keeps the key ranges of a chunk. It installs the snapshot once it is complete, and requests more once all
// chunks of the newest reply have arrived.
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
	t.adjustWindow(m.now - t.requestedAt)
	if m.promised <= m.Epoch() || len(r.GetRanges()) > 0 {
		m.requestSync()
	}
}

// adjustWindow adapts the window to the time that the last one took to arrive.
func (t *transfer) adjustWindow(elapsed time.Duration) {
	switch {
	case elapsed < growWindowBelow:
		t.window = min(2*t.window, maxWindow)
	case elapsed > shrinkWindowAbove:
		t.window = max(t.window/2, minWindow)
	}
}

// receiveChunk keeps the key ranges of a chunk, except those already received from a newer state of the same epoch, and
// reports whether any of them is new.
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

// takeReceivedRanges returns the writes that install the received ranges in the store, and removes the ranges.
func (m *Machine) takeReceivedRanges() (puts []*protocol.Put, deletes []string) {
	var ranges []uint32
	var items []*protocol.Put
	for keyRange := range uint32(store.RangeCount) {
		if r, ok := m.transfer.receivedRanges[keyRange]; ok {
			ranges, items = append(ranges, keyRange), append(items, r.items...)
		}
	}
	m.transfer.receivedRanges = nil
	m.transfer.sequence++ // chunks still in transit belong to a completed request
	return m.store.Repair(ranges, items)
}
