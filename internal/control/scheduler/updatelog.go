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
	// updatePrefix is the key prefix of accepted updates; the rest of the key is the digest. The value is a
	// protocol.ConfigRecord with the version that the update created.
	updatePrefix = "o/"
	// horizonKey is the key of the protocol.ConfigRecord with the highest version whose update is no longer remembered.
	horizonKey = "oh"
	// maxKnownUpdates bounds the number of updates whose digests are remembered.
	maxKnownUpdates = 1024
)

// ConfigUpdate is an accepted update of the configuration by an operator.
type ConfigUpdate struct {
	Version uint64 `json:"version"` // version of the configuration that it created
	Digest  string `json:"order"`   // SHA-256 of the whole update, in hex; see updateDigest
}

// updateLog remembers the newest accepted updates of the configuration, so that a repeated update is acknowledged again.
// It identifies updates by a collision-resistant digest.
type updateLog struct {
	digests  map[string]struct{}
	accepted []ConfigUpdate // by version, the newest last
	horizon  uint64         // highest version whose update is no longer remembered
}

// loadUpdates loads the update log from a store. It returns an error if an item can't be decoded.
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
	return l, errors.Wrap(err, "scheduler: decode the stored configuration updates")
}

// updateDigest returns the digest of an update: of the version that it is based on, whether it is a patch, and its body.
func updateDigest(c *protocol.ConfigOrder) string {
	hash := sha256.New()
	var header [9]byte // version and patch flag
	binary.LittleEndian.PutUint64(header[:], c.GetIfMatch())
	if c.GetPatch() {
		header[8] = 1
	}
	hash.Write(header[:])
	hash.Write(c.GetBody())
	return hex.EncodeToString(hash.Sum(nil))
}

// contains reports whether an update was accepted and is still remembered.
func (l *updateLog) contains(digest string) bool {
	_, ok := l.digests[digest]
	return ok
}

// mayHaveForgotten reports whether an update based on the version ifMatch may have been accepted and is no longer
// remembered. Such an update created a version above ifMatch.
func (l *updateLog) mayHaveForgotten(ifMatch uint64) bool { return ifMatch < l.horizon }

// record adds an accepted update to the log and to the writes w, and removes the oldest updates beyond maxKnownUpdates.
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

// History returns the remembered accepted updates, the newest first.
func (s *Scheduler) History() []ConfigUpdate {
	out := slices.Clone(s.updates.accepted)
	slices.Reverse(out)
	return out
}
