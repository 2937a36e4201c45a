package replica

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/journal"
	"frosttide/internal/protocol"
)

const (
	// syncMeanWeight is the weight of a new sync in the exponentially weighted mean of the sync times.
	syncMeanWeight = 0.2
	// syncMeanHalfLife is the time without a write after which the mean sync time is halved. Otherwise a disk that was
	// slow once would count as slow for as long as nothing is written.
	syncMeanHalfLife = time.Second
	// minDiskRate is the minimum write rate of a healthy disk, in bytes per second.
	minDiskRate = 16 << 20
	// rewriteFactor is the ratio of the file's size to that of its live content above which the file is rewritten.
	rewriteFactor = 4
)

// disk tracks the writes to this member's file: which have been submitted and which are synced.
type disk struct {
	buffer         []byte         // encoded records not submitted yet
	lastSequence   uint64         // of the last write submitted
	pending        []pendingWrite // submitted and not finished, in order
	callbacks      []syncCallback // run once their writes are synced, in order
	fileSize       int64          // approximate size of the file after all submitted writes, in bytes
	syncedSize     int64          // size of the file after the last finished write; 0 while it is being replaced
	installedEpoch uint64         // newest installed epoch that is synced

	failed   bool // after a failed write, until the complete file has been submitted again
	retryAt  time.Duration
	meanSync time.Duration // mean time of a sync, without the time for the bytes written
	decayAt  time.Duration // when meanSync is halved next, unless a write is pending
}

// pendingWrite is a write that has been submitted and not finished.
type pendingWrite struct {
	sequence       uint64
	startedAt      time.Duration
	index          uint64 // last entry that is synced once this write is
	installedEpoch uint64 // installed epoch that is synced once this write is
	bytes          int64
	image          bool // it replaces the file
}

// syncCallback runs once a write is synced.
type syncCallback struct {
	sequence uint64
	run      func()
}

// writeTime returns how long a healthy disk may take for the bytes of a write, not counting the sync.
func writeTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / minDiskRate * float64(time.Second))
}

// stalled reports whether the oldest unfinished write has taken longer than a timeout plus the time for its bytes.
func (d *disk) stalled(now, timeout time.Duration) bool {
	return len(d.pending) > 0 && now-d.pending[0].startedAt > timeout+writeTime(d.pending[0].bytes)
}

// lag returns the age of the oldest unfinished write, 0 if there is none.
func (d *disk) lag(now time.Duration) time.Duration {
	if len(d.pending) == 0 {
		return 0
	}
	return now - d.pending[0].startedAt
}

// appendRecord adds a record to the next write. While the disk counts as failed it adds nothing: the complete state is
// written once the disk is retried. A record that can't be encoded is dropped and makes the disk count as failed, so that
// the member does not acknowledge it.
func (m *Machine) appendRecord(kind journal.Kind, body proto.Message) {
	if err := m.encodeRecord(kind, body); err != nil {
		m.failDisk(err)
	}
}

// encodeRecord adds a record to the next write, or nothing while the disk counts as failed. It returns an error, and adds
// nothing, if the record can't be encoded.
func (m *Machine) encodeRecord(kind journal.Kind, body proto.Message) error {
	if m.disk.failed {
		return nil
	}
	buffer, err := journal.Append(m.disk.buffer, kind, m.disk.syncedSize, body)
	if err != nil {
		return err
	}
	m.disk.buffer = buffer
	return nil
}

// afterSync runs a function once everything recorded so far is synced, immediately if it already is. If the disk fails
// before that, the function never runs.
func (m *Machine) afterSync(callback func()) {
	if m.disk.failed {
		return
	}
	m.disk.callbacks = append(m.disk.callbacks, syncCallback{sequence: m.disk.lastSequence + 1, run: callback})
	if len(m.disk.buffer) == 0 { // everything recorded has been submitted
		m.disk.callbacks[len(m.disk.callbacks)-1].sequence = m.disk.lastSequence
		m.runCallbacks()
	}
}

// flush submits the buffered records as one write, or rewrites the file if it has grown too large.
func (m *Machine) flush() {
	if len(m.disk.buffer) == 0 || m.disk.failed {
		return
	}
	if m.disk.fileSize > int64(max(m.cfg.Timing.MinRewriteBytes, rewriteFactor*m.store.Bytes())) {
		m.rewrite()
		return
	}
	m.disk.fileSize += int64(len(m.disk.buffer))
	m.submitWrite(Write{Data: m.disk.buffer}, int64(len(m.disk.buffer)))
	m.disk.buffer = nil
}

// rewrite submits the complete state as a new file. It includes the records that were not submitted yet.
func (m *Machine) rewrite() {
	m.disk.buffer = nil
	image := journal.NewImage(journal.State{
		ID:             m.selfID(),
		Promised:       m.promised,
		Accepted:       m.accepted,
		InstalledEpoch: m.installedEpoch,
		Index:          m.index,
		Store:          m.store,
	})
	m.disk.fileSize = int64(image.Bytes())
	m.disk.syncedSize = 0
	m.submitWrite(Write{Image: image}, m.disk.fileSize)
}

// submitWrite assigns a write its sequence and submits it.
func (m *Machine) submitWrite(w Write, bytes int64) {
	m.disk.lastSequence++
	w.Sequence = m.disk.lastSequence
	m.disk.pending = append(m.disk.pending, pendingWrite{
		sequence:       w.Sequence,
		startedAt:      m.now,
		index:          m.index,
		installedEpoch: m.installedEpoch,
		bytes:          bytes,
		image:          w.Image != nil,
	})
	m.actions.Writes = append(m.actions.Writes, w)
}

// DiskDone reports that the write with the given sequence and all writes before it have finished, or have failed if err is
// set. size is the size of the file afterwards, in bytes. After a failed write nothing in the file is trusted: the member
// acknowledges nothing until it has written its complete state to a new file.
func (m *Machine) DiskDone(now time.Duration, sequence uint64, size int64, err error) Actions {
	m.now = now
	if err != nil {
		if len(m.disk.pending) > 0 && sequence >= m.disk.pending[0].sequence { // otherwise an earlier failure has dropped the write
			m.failDisk(err)
		}
		return m.takeActions()
	}
	for len(m.disk.pending) > 0 && m.disk.pending[0].sequence <= sequence {
		w := m.disk.pending[0]
		m.disk.pending = m.disk.pending[1:]
		m.disk.meanSync += time.Duration(syncMeanWeight * float64(now-w.startedAt-writeTime(w.bytes)-m.disk.meanSync))
		m.durable = max(m.durable, w.index)
		m.disk.installedEpoch = max(m.disk.installedEpoch, w.installedEpoch)
		m.transfer.progress++
	}
	m.disk.syncedSize = size
	if slices.ContainsFunc(m.disk.pending, func(w pendingWrite) bool { return w.image }) {
		m.disk.syncedSize = 0 // the size is that of the file that is being replaced
	}
	m.runCallbacks()
	m.advance()
	return m.takeActions()
}

// resetDurable resets the synced index and the indexes that unfinished writes would sync, because a snapshot has replaced
// the state that those entries belonged to.
func (m *Machine) resetDurable() {
	m.durable = 0
	for i := range m.disk.pending {
		m.disk.pending[i].index = 0
	}
}

// runCallbacks runs the callbacks of finished writes.
func (m *Machine) runCallbacks() {
	finished := m.disk.lastSequence
	if len(m.disk.pending) > 0 {
		finished = m.disk.pending[0].sequence - 1
	}
	for len(m.disk.callbacks) > 0 && m.disk.callbacks[0].sequence <= finished {
		callback := m.disk.callbacks[0].run
		m.disk.callbacks = m.disk.callbacks[1:]
		callback()
	}
}

// failDisk marks the disk as failed and drops the buffered records, the unfinished writes and their callbacks.
func (m *Machine) failDisk(err error) {
	if !m.disk.failed {
		m.event("Disk failed, nothing is acknowledged until a write succeeds", "err", err)
	}
	m.disk.failed = true
	m.disk.retryAt = m.now + m.cfg.Timing.DiskRetryInterval
	m.disk.buffer, m.disk.pending, m.disk.callbacks = nil, nil, nil
}

// tickDisk lets the mean sync time decay, and writes the complete state to a new file DiskRetryInterval after a failure.
func (m *Machine) tickDisk() {
	if len(m.disk.pending) > 0 {
		m.disk.decayAt = m.now + syncMeanHalfLife
	} else if m.now >= m.disk.decayAt {
		m.disk.decayAt = m.now + syncMeanHalfLife
		m.disk.meanSync /= 2
	}
	if !m.disk.failed || m.now < m.disk.retryAt {
		return
	}
	m.disk.failed = false
	m.rewrite()
}

// diskBad reports whether the disk is unhealthy, so that other members should hold the state instead.
func (m *Machine) diskBad() bool {
	return m.disk.failed || m.disk.stalled(m.now, m.cfg.Timing.DiskStallTimeout) || m.disk.meanSync > m.cfg.Timing.DiskSlowThreshold
}

// recordEntry adds an entry to the next write, without its replies, which are needed only while their clients wait. The
// error says that it can't be encoded, which is the entry's fault and not the disk's.
func (m *Machine) recordEntry(e *protocol.Entry) error {
	return m.encodeRecord(journal.KindEntry, &protocol.Entry{Index: e.GetIndex(), Puts: e.GetPuts(), Deletes: e.GetDeletes()})
}
