package simnet

import (
	"time"

	"github.com/cockroachdb/errors"

	"frosttide/internal/control/replica"
)

// errNoSpace is the error of writes while a disk fails them.
var errNoSpace = errors.New("simulated disk: no space")

// disk is the disk of a machine of the control plane. It holds one file and has at most one batch
// of writes in progress.
type disk struct {
	file          []byte
	synced        int    // bytes of the file that survive a power loss
	replacedFile  []byte // the old file while a rewrite is not synced; nil for none
	pendingWrites []replica.Write
	writing       bool
	writesFail    bool          // fault: writes fail
	syncDelay     time.Duration // fault: added to the time of each sync
}

// writeBatch is a batch of writes that are synced together.
type writeBatch struct {
	writes      []replica.Write
	incarnation int   // of the process that issued them
	failure     error // why none of them was written; nil if all were
	synced      bool  // they survive a power loss once the batch is done; false with NoSync
}

// A sync takes from minSyncTime to maxSyncTime on a disk without faults.
const (
	minSyncTime = 3 * time.Millisecond
	maxSyncTime = 9 * time.Millisecond
)

// flush writes all pending writes and syncs once. When a write replaces the whole file, the old
// file remains until the sync is done.
func (c *core) flush() {
	if len(c.pendingWrites) == 0 {
		return
	}
	sim := c.sim
	b := writeBatch{writes: c.pendingWrites, incarnation: c.incarnation, synced: sim.options.MissingCheck != NoSync}
	c.pendingWrites, c.writing = nil, true
	b.failure = c.write(b.writes)
	if !b.synced {
		sim.after(0, func() { c.syncDone(b) })
		return
	}
	sim.after(sim.randomDuration(minSyncTime, maxSyncTime)+c.syncDelay, func() { c.syncDone(b) })
}

// write applies writes to the file, without a sync. It returns an error if writes fail or if an image
// can't be encoded.
func (d *disk) write(writes []replica.Write) error {
	if d.writesFail {
		return errNoSpace
	}
	for _, w := range writes {
		if w.Image == nil {
			d.file = append(d.file, w.Data...)
			continue
		}
		encoded, err := w.Image.Encode()
		if err != nil {
			return err
		}
		if d.replacedFile == nil {
			d.replacedFile = d.file[:d.synced]
		}
		d.file, d.synced = encoded, 0
	}
	return nil
}

// syncDone reports a finished batch to the member and starts the next one. It does nothing if the
// process has ended since.
func (c *core) syncDone(b writeBatch) {
	if !c.up || c.incarnation != b.incarnation {
		return
	}
	if b.synced && b.failure == nil {
		c.synced, c.replacedFile = len(c.file), nil
	}
	c.sim.execute(c.process, func() {
		c.writing = false
		c.member.DiskDone(c.sim.clock(c.process), b.writes[len(b.writes)-1].Sequence, int64(len(c.file)), b.failure)
		if !c.writing {
			c.flush()
		}
	})
}

// loseDisk empties the disk. The process must have ended.
func (c *core) loseDisk() { c.file, c.synced, c.replacedFile = nil, 0, nil }
