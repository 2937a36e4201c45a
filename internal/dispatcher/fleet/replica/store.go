package replica

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of hash buckets into which a store's facts are divided. Two stores are
// compared bucket by bucket, and only the facts of differing buckets are exchanged.
const Buckets = 256

// Bounds limits the number of facts of each kind that a store holds. When a limit is exceeded, the
// oldest facts of that kind are dropped.
type Bounds [Kinds]int

// DefaultBounds returns the limits for a cluster of 20,000 runners, with a health fact for each,
// 100,000 job outcome records and 20,000 gang parts.
func DefaultBounds() Bounds {
	return Bounds{Runner: 20_000, Health: 20_000, JobOutcome: 100_000, Gang: 20_000}
}

// tombstoneTTL is how long the tombstone of a removed runner is kept, in ms. It has to exceed the
// time for which members are partitioned: afterwards, an older fact of a member that was
// partitioned would list the runner again.
const tombstoneTTL = 10 * 60_000

// gangTTL is how long a progress report on a gang part is valid, in ms.
const gangTTL = 60_000

// Store is one member's replica: at most one fact per key, indexed by bucket for comparison with
// other replicas. It is not safe for concurrent use.
type Store struct {
	bounds        Bounds
	facts         map[Key]storedFact
	counts        [Kinds]int
	buckets       [Buckets]map[Key]struct{}
	sums          [Buckets]uint64     // per bucket, the sum of its facts' checksums
	floors        [Kinds]int64        // per kind, facts of this time or earlier were dropped
	dropped       [Kinds]uint64       // per kind, number of facts dropped to keep the bound
	outcomeScopes map[string][]string // scopes of the outcome records, by name
}

// storedFact is a fact with the checksum of its JSON encoding.
type storedFact struct {
	Fact
	sum uint64
}

// New returns an empty store with the given limits.
func New(b Bounds) *Store {
	s := &Store{bounds: b, facts: map[Key]storedFact{}, outcomeScopes: map[string][]string{}}
	for i := range s.buckets {
		s.buckets[i] = map[Key]struct{}{}
	}
	return s
}

// MergeResult says what Merge did with a fact.
type MergeResult uint8

// The merge results.
const (
	Duplicate  MergeResult = iota // the store already holds an equal fact
	Accepted                      // stored: the key is new, or the fact replaces the stored one
	Superseded                    // dropped: the stored fact wins
	Expired                       // dropped: expired, or as old as facts dropped to keep the bounds
	Invalid                       // dropped: malformed, see Fact.Validate
)

// Merge merges a fact at time now (Unix time in ms). conflict is set if the fact contradicts a
// stored one; see Conflict. err is nil unless the result is Invalid, and then says what is wrong
// with the fact.
func (s *Store) Merge(f Fact, now int64) (result MergeResult, conflict bool, err error) {
	if err := f.Validate(now); err != nil {
		return Invalid, false, err
	}
	if s.tooOld(&f, now) {
		return Expired, false, nil
	}
	previous, ok := s.facts[f.Key]
	// An expired fact no longer takes part in the merge: a job key that is reused after the end of
	// its deduplication window begins a new one.
	if ok && expired(&previous.Fact, now) {
		s.remove(f.Key)
		ok = false
	}
	if !ok {
		s.put(f)
		s.evictOldest(f.Kind)
		return Accepted, s.contradictsOtherWriter(&f), nil
	}
	order := Compare(&f, &previous.Fact)
	if order == 0 {
		return Duplicate, false, nil
	}
	conflict = Conflict(&f, &previous.Fact)
	if order < 0 {
		return Superseded, conflict, nil
	}
	s.remove(f.Key)
	s.put(f)
	return Accepted, conflict || s.contradictsOtherWriter(&f), nil
}

// contradictsOtherWriter reports whether another process has recorded a different result of the
// same job.
func (s *Store) contradictsOtherWriter(f *Fact) bool {
	return f.Kind == JobOutcome && f.State == Done && slices.ContainsFunc(s.outcomeScopes[f.Name], func(scope string) bool {
		o, ok := s.facts[Key{JobOutcome, f.Name, scope}]
		return ok && Conflict(f, &o.Fact)
	})
}

// tooOld reports whether a fact has expired, or is as old as facts of its kind that were dropped to
// keep the bound.
func (s *Store) tooOld(f *Fact, now int64) bool { return expired(f, now) || f.At <= s.floors[f.Kind] }

// expired reports whether a fact's lifetime has ended. Health facts and runners that have not been
// removed do not expire.
func expired(f *Fact, now int64) bool {
	switch f.Kind {
	case JobOutcome:
		return f.Until <= now
	case Gang:
		return f.At+gangTTL <= now
	case Runner:
		return f.State == Deleted && f.At+tombstoneTTL <= now
	}
	return false
}

// bucket returns the index of a key's bucket, from the hash's upper 8 bits.
func bucket(k Key) int {
	return int(xxhash.Sum64String(fmt.Sprintf("%d\x00%s\x00%s", k.Kind, k.Name, k.Scope)) >> (64 - 8))
}

// put stores a valid fact. The store must not hold its key.
func (s *Store) put(f Fact) {
	encoded, err := json.Marshal(f)
	if err != nil {
		return // unreachable: Validate has checked the entry
	}
	stored, b := storedFact{Fact: f, sum: xxhash.Sum64(encoded)}, bucket(f.Key)
	s.facts[f.Key] = stored
	s.counts[f.Kind]++
	s.buckets[b][f.Key] = struct{}{}
	s.sums[b] += stored.sum // addition commutes: the sum does not depend on the order of arrival
	if f.Kind == JobOutcome {
		s.outcomeScopes[f.Name] = append(s.outcomeScopes[f.Name], f.Scope)
	}
}

// remove deletes a key's fact, if there is one.
func (s *Store) remove(k Key) {
	stored, ok := s.facts[k]
	if !ok {
		return
	}
	b := bucket(k)
	delete(s.facts, k)
	delete(s.buckets[b], k)
	s.counts[k.Kind]--
	s.sums[b] -= stored.sum
	if k.Kind != JobOutcome {
		return
	}
	if remaining := slices.DeleteFunc(s.outcomeScopes[k.Name], func(scope string) bool { return scope == k.Scope }); len(remaining) > 0 {
		s.outcomeScopes[k.Name] = remaining
	} else {
		delete(s.outcomeScopes, k.Name)
	}
}

// evictOldest drops the oldest facts of a kind that exceeds its bound. It drops a sixteenth of the
// bound more than necessary, so that the next few facts do not trigger another eviction.
func (s *Store) evictOldest(kind Kind) {
	excess := s.counts[kind] - s.bounds[kind]
	if excess <= 0 {
		return
	}
	var all []storedFact
	for _, stored := range s.facts {
		if stored.Kind == kind {
			all = append(all, stored)
		}
	}
	slices.SortFunc(all, func(a, b storedFact) int { return cmp.Compare(a.At, b.At) })
	last := all[min(excess-1+s.bounds[kind]/16, len(all)-1)]
	s.raiseFloor(kind, last.At)
}

// raiseFloor drops the facts of a kind whose time is at (Unix time in ms) or earlier, and rejects
// such facts from then on. The other members adopt the floor from the store's digest: a member that
// kept those facts would send them again at each comparison.
func (s *Store) raiseFloor(kind Kind, at int64) {
	if at <= s.floors[kind] {
		return
	}
	s.floors[kind] = at
	for k, stored := range s.facts {
		if k.Kind == kind && stored.At <= at {
			s.remove(k)
			s.dropped[kind]++
		}
	}
}

// Expire drops the facts that have expired at time now (Unix time in ms).
func (s *Store) Expire(now int64) {
	for k, stored := range s.facts {
		if expired(&stored.Fact, now) {
			s.remove(k)
		}
	}
}

// Get returns the fact stored under a key, and false if there is none. The fact may have expired
// since the last call of Expire.
func (s *Store) Get(k Key) (Fact, bool) {
	stored, ok := s.facts[k]
	return stored.Fact, ok
}

// Outcomes returns the outcome records of a job, given by its class and key (see Key.Name), from
// all groups and writers. Records that have expired at time now (Unix time in ms) are left out.
func (s *Store) Outcomes(name string, now int64) (out []Fact) {
	for _, scope := range s.outcomeScopes[name] {
		if f, ok := s.Get(Key{JobOutcome, name, scope}); ok && !expired(&f, now) {
			out = append(out, f)
		}
	}
	return out
}

// Len returns the number of stored facts of a kind, and the number of facts that were dropped to
// keep its bound.
func (s *Store) Len(kind Kind) (stored int, dropped uint64) { return s.counts[kind], s.dropped[kind] }

// All returns the facts of a kind, ordered by name and scope.
func (s *Store) All(kind Kind) []Fact {
	out := make([]Fact, 0, s.counts[kind])
	for _, stored := range s.facts {
		if stored.Kind == kind {
			out = append(out, stored.Fact)
		}
	}
	slices.SortFunc(out, func(a, b Fact) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Scope, b.Scope)) })
	return out
}

// Digest summarises a store for comparison with others. Equal stores have equal digests; where two
// digests' sums differ, the stores' buckets of that index differ.
type Digest struct {
	Sums   [Buckets]uint64 `json:"sums"`
	Floors [Kinds]int64    `json:"floors"`
}

// Digest returns a summary of the store to send to other members; see DifferingBuckets.
func (s *Store) Digest() Digest { return Digest{Sums: s.sums, Floors: s.floors} }

// Checksum folds the bucket sums into one number, by which operators and tests can tell whether
// replicas are equal.
func (d Digest) Checksum() uint64 {
	var sum uint64
	for i, bucketSum := range d.Sums {
		sum ^= bits.RotateLeft64(bucketSum*0x9e3779b97f4a7c15, i%64)
	}
	return sum
}

// DifferingBuckets returns the indices of the buckets in which the other store differs, and adopts
// the other store's floors. A floor ahead of now (Unix time in ms) by more than maxClockLead is
// ignored, because it would empty the store.
func (s *Store) DifferingBuckets(other Digest, now int64) []int {
	for kind, floor := range other.Floors {
		if floor <= now+maxClockLead {
			s.raiseFloor(Kind(kind), floor)
		}
	}
	var differing []int
	for i := range s.sums {
		if s.sums[i] != other.Sums[i] {
			differing = append(differing, i)
		}
	}
	return differing
}

// Bucket returns the facts of the bucket with an index, in no particular order. It returns nil for
// an index out of range, which another member may send.
func (s *Store) Bucket(i int) []Fact {
	if i < 0 || i >= Buckets {
		return nil
	}
	out := make([]Fact, 0, len(s.buckets[i]))
	for k := range s.buckets[i] {
		out = append(out, s.facts[k].Fact)
	}
	return out
}
