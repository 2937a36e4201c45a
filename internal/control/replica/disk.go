package replica

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/journal"
	"frosttide/internal/protocol"
)

// disk is the member's view of its disk: what was handed over and what has come back.
type disk struct {
	buffer   []byte // records not yet handed over
	sequence uint64 // of the last write handed over
	pending  []pendingWrite
	size     int64 // of the file with all that was handed over, about
	synced   int64 // of the file up to the last finished write
	failed   bool
	retryAt  time.Duration
	meanSync time.Duration
	decayAt  time.Duration // when the mean counts for less, as nothing is written
	after    []afterSync   // what waits for a write

	installedEpoch uint64 // on disk
}

type pendingWrite struct {
	sequence  uint64
	began     time.Duration
	index     uint64 // last entry it covers
	installed uint64 // installed epoch it covers
	bytes     int64
	image     bool
}

// afterSync is done once a write has finished.
type afterSync struct {
	sequence uint64
	do       func()
}

// meanWeight is how much a new sync counts in the mean.
const meanWeight = 0.2

// leastDiskRate is how many bytes a second a sound disk writes at least.
const leastDiskRate = 16 << 20

// timeFor returns what a sound disk may take for the bytes of a write, beside its sync.
func timeFor(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / leastDiskRate * float64(time.Second))
}

// stalled tells whether the oldest write that is not finished takes longer than it should.
func (d *disk) stalled(now, stall time.Duration) bool {
	return len(d.pending) > 0 && now-d.pending[0].began > stall+timeFor(d.pending[0].bytes)
}

// lag returns the age of the oldest write that is not finished.
func (d *disk) lag(now time.Duration) time.Duration {
	if len(d.pending) == 0 {
		return 0
	}
	return now - d.pending[0].began
}

// record adds a record to the next write.
func (m *Machine) record(kind journal.Kind, body proto.Message) {
	if m.disk.failed {
		return // the whole state is written once the disk takes writes again
	}
	buffer, err := journal.Append(m.disk.buffer, kind, m.disk.synced, body)
	if err != nil {
		m.fail(err)
		return
	}
	m.disk.buffer = buffer
}

// afterWrite has something done once all that has been recorded so far is synced. It never is where the
// disk failed before that.
func (m *Machine) afterWrite(do func()) {
	if m.disk.failed {
		return
	}
	m.disk.after = append(m.disk.after, afterSync{sequence: m.disk.sequence + 1, do: do})
	if len(m.disk.buffer) == 0 { // nothing to wait for but what is under way
		m.disk.after[len(m.disk.after)-1].sequence = m.disk.sequence
		m.runAfter()
	}
}

// flush hands over what has been recorded.
func (m *Machine) flush() {
	if len(m.disk.buffer) == 0 || m.disk.failed {
		return
	}
	if m.disk.size > int64(max(m.cfg.Timing.RewriteMin, rewriteFactor*m.store.Bytes())) {
		m.rewrite()
		return
	}
	m.disk.size += int64(len(m.disk.buffer))
	m.hand(Write{Data: m.disk.buffer}, int64(len(m.disk.buffer)))
	m.disk.buffer = nil
}

// rewriteFactor is how many times its live content the file may grow to.
const rewriteFactor = 4

// rewrite hands over the whole state as a new file; it covers what was recorded but not handed over.
func (m *Machine) rewrite() {
	m.disk.buffer = nil
	image := journal.NewImage(journal.State{ID: m.cfg.Self.GetId(), Promised: m.promised, Accepted: m.accepted,
		InstalledEpoch: m.installedEpoch, Index: m.index, Store: m.store})
	m.disk.size = int64(image.Bytes())
	m.disk.synced = 0
	m.hand(Write{Image: image}, m.disk.size)
}

func (m *Machine) hand(w Write, bytes int64) {
	m.disk.sequence++
	w.Sequence = m.disk.sequence
	m.disk.pending = append(m.disk.pending, pendingWrite{sequence: w.Sequence, began: m.now, index: m.index, installed: m.installedEpoch, bytes: bytes, image: w.Image != nil})
	m.actions.Writes = append(m.actions.Writes, w)
}

// DiskDone handles the end of a write. After a failed one nothing in the file is trusted: the member
// acknowledges nothing until it has written its whole state anew. size is how long the file is after the write.
func (m *Machine) DiskDone(now time.Duration, sequence uint64, size int64, err error) Actions {
	m.now = now
	if err != nil {
		if len(m.disk.pending) > 0 && sequence >= m.disk.pending[0].sequence {
			m.fail(err) // an older write belongs to the file that was given up
		}
		return m.take()
	}
	for len(m.disk.pending) > 0 && m.disk.pending[0].sequence <= sequence {
		w := m.disk.pending[0]
		m.disk.pending = m.disk.pending[1:]
		m.disk.meanSync += time.Duration(meanWeight * float64(now-w.began-timeFor(w.bytes)-m.disk.meanSync))
		m.durable = max(m.durable, w.index)
		m.disk.installedEpoch = max(m.disk.installedEpoch, w.installed)
		m.transfer.progress++
	}
	m.disk.synced = size
	if slices.ContainsFunc(m.disk.pending, func(w pendingWrite) bool { return w.image }) {
		m.disk.synced = 0 // what finished is in the file that is being replaced
	}
	m.runAfter()
	m.advance()
	return m.take()
}

// forgetDurable has writes that are under way no longer count for what is synced, as the entries they
// cover are not part of the state any more.
func (m *Machine) forgetDurable() {
	m.durable = 0
	for i := range m.disk.pending {
		m.disk.pending[i].index = 0
	}
}

// runAfter does what waited for finished writes.
func (m *Machine) runAfter() {
	finished := m.disk.sequence
	if len(m.disk.pending) > 0 {
		finished = m.disk.pending[0].sequence - 1
	}
	for len(m.disk.after) > 0 && m.disk.after[0].sequence <= finished {
		do := m.disk.after[0].do
		m.disk.after = m.disk.after[1:]
		do()
	}
}

// fail takes the disk for failed.
func (m *Machine) fail(err error) {
	if !m.disk.failed {
		m.note(fmt.Sprintf("the disk fails, nothing is acknowledged until it takes writes again: %v", err))
	}
	m.disk.failed = true
	m.disk.retryAt = m.now + m.cfg.Timing.DiskRetry
	m.disk.buffer, m.disk.pending, m.disk.after = nil, nil, nil
}

// meanKept is after how long without a write the mean of earlier ones counts for half: a disk that was slow once
// would stay so for ever where nothing is written.
const meanKept = time.Second

// tickDisk tries to write the whole state anew after a failure.
func (m *Machine) tickDisk() {
	if len(m.disk.pending) > 0 {
		m.disk.decayAt = m.now + meanKept
	} else if m.now >= m.disk.decayAt {
		m.disk.decayAt = m.now + meanKept
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
	return m.disk.failed || m.disk.stalled(m.now, m.cfg.Timing.DiskStall) || m.disk.meanSync > m.cfg.Timing.DiskSlow
}

// recordEntry records an entry without its replies.
func (m *Machine) recordEntry(e *protocol.Entry) {
	m.record(journal.Entry, &protocol.Entry{Index: e.GetIndex(), Puts: e.GetPuts(), Deletes: e.GetDeletes()})
}
