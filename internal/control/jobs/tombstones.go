package jobs

import (
	"slices"

	"github.com/cockroachdb/errors"

	"frosttide/internal/protocol"
)

// maxTombstones bounds the number of tombstones, which take about 300 bytes each in the table and its
// store.
const maxTombstones = 16_384

// ErrTooManyTombstones says that no further ID can be canceled before its job is accepted, until
// earlier tombstones expire.
var ErrTooManyTombstones = errors.New("jobs: too many IDs without a job are canceled")

// tombstones holds the IDs that were canceled while no job with them was accepted, with the times of
// day of the newest cancellation. Its client has given the job up, so that a submission which was on
// its way then must not be accepted. A tombstone is stored under the key of the job's state. An
// earlier version of the program reads it as the state of a canceled job.
type tombstones map[string]int64

// HasTombstone reports whether an ID was canceled before a job with it was accepted.
func (t *Table) HasTombstone(id string) bool {
	_, ok := t.tombstones[id]
	return ok
}

// AddTombstone records that an ID was canceled for a queue although no job with the ID is known. The
// tombstone counts for all queues, and expires like a job that ended now. It does nothing if the ID is
// not valid, as no job with it is ever accepted. It returns ErrTooManyTombstones if there is no room
// for another one.
func (t *Table) AddTombstone(id, queue string, nowMs int64) error {
	if !validID(id) {
		return nil
	}
	if !t.HasTombstone(id) && len(t.tombstones) >= maxTombstones {
		return ErrTooManyTombstones
	}
	t.tombstones[id] = nowMs
	t.Writes.Put(statusPrefix+id, &protocol.StatusRecord{State: uint32(Canceled), EndedMs: nowMs, Queue: queue, Tombstone: true})
	return nil
}

// expireTombstones removes at most limit tombstones that are older than cutoffMs.
func (t *Table) expireTombstones(cutoffMs int64, limit int) {
	var expired []string
	for id, canceledMs := range t.tombstones {
		if canceledMs < cutoffMs {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired[:min(len(expired), limit)] {
		delete(t.tombstones, id)
		t.Writes.Delete(statusPrefix + id)
	}
}
