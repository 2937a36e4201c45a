package scheduler

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

const (
	updatePrefix = "o/" // orders that were taken, by name; protocol.ConfigRecord with the version they led to
	horizonKey   = "oh" // protocol.ConfigRecord with the highest version whose order is known no longer
	// maxKnownUpdates bounds the orders that are known by name. An order that may be older than those gets no clear
	// answer, so that one that was taken is never refused.
	maxKnownUpdates = 1024
)

// updateLog knows the operators' orders that were taken, by names that nobody can make collide.
type updateLog struct {
	byDigest map[string]uint64 // version that an order led to
	accepted []ConfigUpdate    // by version
	horizon  uint64            // highest version whose order has been forgotten
}

// loadUpdates returns the orders that a store holds.
func loadUpdates(state *store.Store) (*updateLog, error) {
	l := &updateLog{byDigest: make(map[string]uint64)}
	var problem error
	state.Each(func(key string, value []byte) {
		name, isUpdate := strings.CutPrefix(key, updatePrefix)
		if !isUpdate && key != horizonKey {
			return
		}
		var record protocol.ConfigRecord
		problem = errors.CombineErrors(problem, proto.Unmarshal(value, &record))
		if !isUpdate {
			l.horizon = record.GetVersion()
			return
		}
		l.byDigest[name] = record.GetVersion()
		l.accepted = append(l.accepted, ConfigUpdate{Version: record.GetVersion(), Digest: name})
	})
	slices.SortFunc(l.accepted, func(a, b ConfigUpdate) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Digest, b.Digest))
	})
	return l, errors.Wrap(problem, "scheduler: the stored orders can't be read")
}

// updateDigest names an order by all that it says.
func updateDigest(c *protocol.ConfigOrder) string {
	s := sha256.New()
	var fixed [9]byte
	binary.LittleEndian.PutUint64(fixed[:], c.GetIfMatch())
	if c.GetPatch() {
		fixed[8] = 1
	}
	s.Write(fixed[:])
	s.Write(c.GetBody())
	return hex.EncodeToString(s.Sum(nil))
}

// contains tells whether an order was taken.
func (l *updateLog) contains(name string) bool {
	_, ok := l.byDigest[name]
	return ok
}

// mayHaveForgotten tells whether an order that builds on a version may have been taken and forgotten since: it
// has led to a higher version.
func (l *updateLog) mayHaveForgotten(ifMatch uint64) bool { return ifMatch < l.horizon }

// record notes an order that is taken, writes it, and forgets the oldest where there are too many.
func (l *updateLog) record(name string, record *protocol.ConfigRecord, w *jobs.Writes) {
	l.byDigest[name] = record.GetVersion()
	l.accepted = append(l.accepted, ConfigUpdate{Version: record.GetVersion(), Digest: name})
	w.Put(updatePrefix+name, record)
	for len(l.accepted) > maxKnownUpdates {
		oldest := l.accepted[0]
		l.accepted = l.accepted[1:]
		delete(l.byDigest, oldest.Digest)
		w.Delete(updatePrefix + oldest.Digest)
		l.horizon = max(l.horizon, oldest.Version)
		w.Put(horizonKey, &protocol.ConfigRecord{Version: l.horizon})
	}
}

// ConfigUpdate is an order of the operator that was taken.
type ConfigUpdate struct {
	Version uint64 `json:"version"`
	Digest  string `json:"order"` // hash that names it
}

// History returns the newest orders that were taken, the newest first.
func (s *Scheduler) History() []ConfigUpdate {
	out := slices.Clone(s.updates.accepted)
	slices.Reverse(out)
	return out
}
