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
	// updatePrefix is the prefix of the keys of accepted updates, before their digests. The values are
	// protocol.ConfigRecord with the version that an update led to.
	updatePrefix = "o/"
	// horizonKey is the key of the protocol.ConfigRecord with the highest version whose update has been forgotten.
	horizonKey = "oh"
	// maxKnownUpdates bounds how many updates are known by their digests.
	maxKnownUpdates = 1024
)

// ConfigUpdate is an operator's update of the configuration that was accepted.
type ConfigUpdate struct {
	Version uint64 `json:"version"` // of the configuration that it led to
	Digest  string `json:"order"`   // SHA-256 of all that it says, in hex
}

// updateLog knows the newest updates of the configuration that were accepted, by a digest that can't be made to
// collide, so that one that arrives again is acknowledged again.
type updateLog struct {
	digests  map[string]struct{}
	accepted []ConfigUpdate // by version, the newest last
	horizon  uint64         // highest version whose update has been forgotten
}

// loadUpdates returns the updates that a store holds; the error is that of items that can't be decoded.
func loadUpdates(state *store.Store) (*updateLog, error) {
	l := &updateLog{digests: make(map[string]struct{})}
	var err error
	state.ForEach(func(key string, value []byte) {
		digest, isUpdate := strings.CutPrefix(key, updatePrefix)
		if !isUpdate && key != horizonKey {
			return
		}
		var record protocol.ConfigRecord
		err = errors.CombineErrors(err, proto.Unmarshal(value, &record))
		if !isUpdate {
			l.horizon = record.GetVersion()
			return
		}
		l.digests[digest] = struct{}{}
		l.accepted = append(l.accepted, ConfigUpdate{Version: record.GetVersion(), Digest: digest})
	})
	slices.SortFunc(l.accepted, func(a, b ConfigUpdate) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Digest, b.Digest))
	})
	return l, errors.Wrap(err, "scheduler: the stored orders can't be read")
}

// updateDigest returns the digest of all that an update says: the version that it builds on, whether it is a patch,
// and its body.
func updateDigest(c *protocol.ConfigOrder) string {
	hash := sha256.New()
	var fixed [9]byte
	binary.LittleEndian.PutUint64(fixed[:], c.GetIfMatch())
	if c.GetPatch() {
		fixed[8] = 1
	}
	hash.Write(fixed[:])
	hash.Write(c.GetBody())
	return hex.EncodeToString(hash.Sum(nil))
}

// contains reports whether an update was accepted and is still known.
func (l *updateLog) contains(digest string) bool {
	_, ok := l.digests[digest]
	return ok
}

// mayHaveForgotten reports whether an update that builds on a version may have been accepted and forgotten since: it
// led to a higher version.
func (l *updateLog) mayHaveForgotten(ifMatch uint64) bool { return ifMatch < l.horizon }

// record adds an update that is accepted, writes it, and forgets the oldest beyond the bound.
func (l *updateLog) record(digest string, record *protocol.ConfigRecord, w *jobs.Writes) {
	l.digests[digest] = struct{}{}
	l.accepted = append(l.accepted, ConfigUpdate{Version: record.GetVersion(), Digest: digest})
	w.Put(updatePrefix+digest, record)
	for len(l.accepted) > maxKnownUpdates {
		oldest := l.accepted[0]
		l.accepted = l.accepted[1:]
		delete(l.digests, oldest.Digest)
		w.Delete(updatePrefix + oldest.Digest)
		l.horizon = max(l.horizon, oldest.Version)
		w.Put(horizonKey, &protocol.ConfigRecord{Version: l.horizon})
	}
}

// History returns the accepted updates that are known, the newest first.
func (s *Scheduler) History() []ConfigUpdate {
	out := slices.Clone(s.updates.accepted)
	slices.Reverse(out)
	return out
}
