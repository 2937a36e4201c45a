package replica

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/journal"
	"frosttide/internal/protocol"
)

// disk is the member's view of its disk: what was handed over and what has come back.
type disk struct {
	buffer       []byte // records not yet handed over
	lastSequence uint64 // of the last write handed over
	pending      []pendingWrite
	fileSize     int64 // of the file with all that was handed over, about
	syncedSize   int64 // of the file up to the last finished write
	failed       bool
	retryAt      time.Duration
	meanSync     time.Duration
	decayAt      time.Duration  // when the mean counts for less, as nothing is written
	callbacks    []syncCallback // what waits for a write

	installedEpoch uint64 // on disk
}

type pendingWrite struct {
	sequence       uint64
	startedAt      time.Duration
	index          uint64 // last entry it covers
	installedEpoch uint64 // installed epoch it covers
	bytes          int64
	image          bool
}

// syncCallback is done once a write has finished.
type syncCallback struct {
	sequence uint64
	run      func()
}

// syncMeanWeight is how much a new sync counts in the mean.
const syncMeanWeight = 0.2

// minDiskRate is how many bytes a second a sound disk writes at least.
const minDiskRate = 16 << 20

// writeTime returns what a sound disk may take for the bytes of a write, beside its sync.
func writeTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / minDiskRate * float64(time.Second))
}

// stalled tells whether the oldest write that is not finished takes longer than it should.
func (d *disk) stalled(now, stall time.Duration) bool {
	return len(d.pending) > 0 && now-d.pending[0].startedAt > stall+writeTime(d.pending[0].bytes)
}

// lag returns the age of the oldest write that is not finished.
func (d *disk) lag(now time.Duration) time.Duration {
	if len(d.pending) == 0 {
		return 0
	}
	return now - d.pending[0].startedAt
}

// appendRecord adds a record to the next write.
func (m *Machine) appendRecord(kind journal.Kind, body proto.Message) {
	if m.disk.failed {
		return // the whole state is written once the disk takes writes again
	}
	buffer, err := journal.Append(m.disk.buffer, kind, m.disk.syncedSize, body)
	if err != nil {
		m.failDisk(err)
		return
	}
	m.disk.buffer = buffer
}

// afterSync has something done once all that has been recorded so far is synced. It never is where the
// disk failed before that.
func (m *Machine) afterSync(callback func()) {
	if m.disk.failed {
		return
	}
	m.disk.callbacks = append(m.disk.callbacks, syncCallback{sequence: m.disk.lastSequence + 1, run: callback})
	if len(m.disk.buffer) == 0 { // nothing to wait for but what is under way
		m.disk.callbacks[len(m.disk.callbacks)-1].sequence = m.disk.lastSequence
		m.runCallbacks()
	}
}

// flush hands over what has been recorded.
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

// rewriteFactor is how many times its live content the file may grow to.
const rewriteFactor = 4

// rewrite hands over the whole state as a new file; it covers what was recorded but not handed over.
func (m *Machine) rewrite() {
	m.disk.buffer = nil
	image := journal.NewImage(journal.State{ID: m.cfg.Self.GetId(), Promised: m.promised, Accepted: m.accepted,
		InstalledEpoch: m.installedEpoch, Index: m.index, Store: m.store})
	m.disk.fileSize = int64(image.Bytes())
	m.disk.syncedSize = 0
	m.submitWrite(Write{Image: image}, m.disk.fileSize)
}

func (m *Machine) submitWrite(w Write, bytes int64) {
	m.disk.lastSequence++
	w.Sequence = m.disk.lastSequence
	m.disk.pending = append(m.disk.pending, pendingWrite{sequence: w.Sequence, startedAt: m.now, index: m.index, installedEpoch: m.installedEpoch, bytes: bytes, image: w.Image != nil})
	m.actions.Writes = append(m.actions.Writes, w)
}

// DiskDone handles the end of a write. After a failed one nothing in the file is trusted: the member
// acknowledges nothing until it has written its whole state anew. size is how long the file is after the write.
func (m *Machine) DiskDone(now time.Duration, sequence uint64, size int64, err error) Actions {
	m.now = now
	if err != nil {
		if len(m.disk.pending) > 0 && sequence >= m.disk.pending[0].sequence {
			m.failDisk(err) // an older write belongs to the file that was given up
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
		m.disk.syncedSize = 0 // what finished is in the file that is being replaced
	}
	m.runCallbacks()
	m.advance()
	return m.takeActions()
}

// resetDurable has writes that are under way no longer count for what is synced, as the entries they
// cover are not part of the state any more.
func (m *Machine) resetDurable() {
	m.durable = 0
	for i := range m.disk.pending {
		m.disk.pending[i].index = 0
	}
}

// runCallbacks does what waited for finished writes.
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

// failDisk takes the disk for failed.
func (m *Machine) failDisk(err error) {
	if !m.disk.failed {
		m.event("Disk failed, nothing is acknowledged until a write succeeds", "err", err)
	}
	m.disk.failed = true
	m.disk.retryAt = m.now + m.cfg.Timing.DiskRetryInterval
	m.disk.buffer, m.disk.pending, m.disk.callbacks = nil, nil, nil
}

// syncMeanHalfLife is after how long without a write the mean of earlier ones counts for half: a disk that was slow once
// would stay so for ever where nothing is written.
const syncMeanHalfLife = time.Second

// tickDisk tries to write the whole state anew after a failure.
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

// diskBad tells whether others should keep the state in the member's place.
func (m *Machine) diskBad() bool {
	return m.disk.failed || m.disk.stalled(m.now, m.cfg.Timing.DiskStallTimeout) || m.disk.meanSync > m.cfg.Timing.DiskSlowThreshold
}

// recordEntry records an entry without its replies.
func (m *Machine) recordEntry(e *protocol.Entry) {
	m.appendRecord(journal.KindEntry, &protocol.Entry{Index: e.GetIndex(), Puts: e.GetPuts(), Deletes: e.GetDeletes()})
}
