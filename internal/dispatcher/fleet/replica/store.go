package replica

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets in which two stores are compared.
const Buckets = 256

// Bounds are the most facts of each kind that a store holds; beyond them the oldest are dropped.
type Bounds [Kinds]int

// DefaultBounds returns the bounds for 20,000 runners, 100,000 keys and 20,000 parts of gangs.
func DefaultBounds() Bounds {
	return Bounds{Runner: 20_000, Health: 20_000, JobOutcome: 100_000, Gang: 20_000}
}

// tombstoneTTL is how long a removed runner is remembered, in ms. An older fact about it from a
// member that was partitioned for longer would list it again.
const tombstoneTTL = 10 * 60_000

// gangTTL is how long a report on a part of a gang is valid, in ms.
const gangTTL = 60_000

// Store holds the facts of one member. It is not safe for concurrent use.
type Store struct {
	bounds        Bounds
	facts         map[Key]storedFact
	counts        [Kinds]int
	buckets       [Buckets]map[Key]struct{}
	sums          [Buckets]uint64 // sum of the digests of each bucket's facts
	floors        [Kinds]int64    // facts of a kind that are as old as its floor, or older, have been dropped
	dropped       [Kinds]uint64
	outcomeScopes map[string][]string // scopes of the outcome records, by name
}

type storedFact struct {
	Fact
	sum uint64
}

// New returns an empty store.
func New(b Bounds) *Store {
	s := &Store{bounds: b, facts: map[Key]storedFact{}, outcomeScopes: map[string][]string{}}
	for i := range s.buckets {
		s.buckets[i] = map[Key]struct{}{}
	}
	return s
}

// MergeResult is the result of merging a fact.
type MergeResult uint8

// The merge results.
const (
	Duplicate  MergeResult = iota // the store holds it already
	Accepted                      // it is new, or wins over the stored fact
	Superseded                    // the stored fact wins
	Expired                       // it has expired, or facts of its age were dropped to keep the bounds
	Invalid                       // it is malformed; see Validate
)

// Merge merges a fact at time now (ms since 1970). conflict is set if it contradicts a stored
// fact. The error of an Invalid fact says why.
func (s *Store) Merge(f Fact, now int64) (out MergeResult, conflict bool, err error) {
	if err := f.Validate(now); err != nil {
		return Invalid, false, err
	}
	if s.expired(&f, now) {
		return Expired, false, nil
	}
	previous, ok := s.facts[f.Key]
	if ok && expired(&previous.Fact, now) { // a key that is reused after its window begins a new one
		s.remove(f.Key)
		ok = false
	}
	if !ok {
		s.put(f)
		s.shrink(f.Kind)
		return Accepted, s.conflicts(&f), nil
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
	return Accepted, conflict || s.conflicts(&f), nil
}

// conflicts reports whether another process has recorded a different result of the same job.
func (s *Store) conflicts(f *Fact) bool {
	return f.Kind == JobOutcome && f.State == Done && slices.ContainsFunc(s.outcomeScopes[f.Name], func(scope string) bool {
		o, ok := s.facts[Key{JobOutcome, f.Name, scope}]
		return ok && Conflict(f, &o.Fact)
	})
}

// expired reports whether a fact has expired or is as old as dropped facts of its kind.
func (s *Store) expired(f *Fact, now int64) bool { return expired(f, now) || f.At <= s.floors[f.Kind] }

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

func bucket(k Key) int {
	return int(xxhash.Sum64String(fmt.Sprintf("%d\x00%s\x00%s", k.Kind, k.Name, k.Scope)) >> (64 - 8))
}

func (s *Store) put(f Fact) {
	text, err := json.Marshal(f)
	if err != nil {
		return // impossible: its entry was validated
	}
	h, b := storedFact{Fact: f, sum: xxhash.Sum64(text)}, bucket(f.Key)
	s.facts[f.Key] = h
	s.counts[f.Kind]++
	s.buckets[b][f.Key] = struct{}{}
	s.sums[b] += h.sum // a sum does not depend on the order
	if f.Kind == JobOutcome {
		s.outcomeScopes[f.Name] = append(s.outcomeScopes[f.Name], f.Scope)
	}
}

func (s *Store) remove(k Key) {
	h, ok := s.facts[k]
	if !ok {
		return
	}
	b := bucket(k)
	delete(s.facts, k)
	delete(s.buckets[b], k)
	s.counts[k.Kind]--
	s.sums[b] -= h.sum
	if k.Kind != JobOutcome {
		return
	}
	if left := slices.DeleteFunc(s.outcomeScopes[k.Name], func(scope string) bool { return scope == k.Scope }); len(left) > 0 {
		s.outcomeScopes[k.Name] = left
	} else {
		delete(s.outcomeScopes, k.Name)
	}
}

// shrink drops the oldest facts of a kind that exceeds its bound, and a sixteenth of the bound
// more, so that the next facts do not cause it again.
func (s *Store) shrink(kind Kind) {
	over := s.counts[kind] - s.bounds[kind]
	if over <= 0 {
		return
	}
	var all []storedFact
	for _, h := range s.facts {
		if h.Kind == kind {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, func(a, b storedFact) int { return cmp.Compare(a.At, b.At) })
	last := all[min(over-1+s.bounds[kind]/16, len(all)-1)]
	s.raiseFloor(kind, last.At)
}

// raiseFloor drops the facts of a kind that are as old as at (ms since 1970) or older. The floor
// is sent to the other members like a fact: a member that kept those facts would send them again
// and again.
func (s *Store) raiseFloor(kind Kind, at int64) {
	if at <= s.floors[kind] {
		return
	}
	s.floors[kind] = at
	for k, h := range s.facts {
		if k.Kind == kind && h.At <= at {
			s.remove(k)
			s.dropped[kind]++
		}
	}
}

// Expire drops the expired facts.
func (s *Store) Expire(now int64) {
	for k, h := range s.facts {
		if expired(&h.Fact, now) {
			s.remove(k)
		}
	}
}

// Get returns the fact of a key.
func (s *Store) Get(k Key) (Fact, bool) {
	h, ok := s.facts[k]
	return h.Fact, ok
}

// Outcomes returns the unexpired outcome records of a key in all groups.
func (s *Store) Outcomes(name string, now int64) (out []Fact) {
	for _, scope := range s.outcomeScopes[name] {
		if f, ok := s.Get(Key{JobOutcome, name, scope}); ok && !expired(&f, now) {
			out = append(out, f)
		}
	}
	return out
}

// Len returns the number of facts of a kind, and how many were dropped to keep its bound.
func (s *Store) Len(kind Kind) (stored int, dropped uint64) { return s.counts[kind], s.dropped[kind] }

// All returns the facts of a kind, ordered by name and scope.
func (s *Store) All(kind Kind) []Fact {
	out := make([]Fact, 0, s.counts[kind])
	for _, h := range s.facts {
		if h.Kind == kind {
			out = append(out, h.Fact)
		}
	}
	slices.SortFunc(out, func(a, b Fact) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Scope, b.Scope)) })
	return out
}

// Digest summarises a store: equal stores have equal digests, and the sums of two digests show in
// which buckets the stores differ.
type Digest struct {
	Sums   [Buckets]uint64 `json:"sums"`
	Floors [Kinds]int64    `json:"floors"`
}

// Digest returns the store's digest.
func (s *Store) Digest() Digest { return Digest{Sums: s.sums, Floors: s.floors} }

// Checksum folds the digest into one number for operators and tests to compare.
func (d Digest) Checksum() uint64 {
	var sum uint64
	for i, x := range d.Sums {
		sum ^= bits.RotateLeft64(x*0x9e3779b97f4a7c15, i%64)
	}
	return sum
}

// DifferingBuckets returns the buckets in which the other store differs, and adopts the other's
// floors. A floor ahead of now (ms since 1970) by more than the allowed clock lead is ignored, as
// it would empty the store.
func (s *Store) DifferingBuckets(other Digest, now int64) []int {
	for kind, floor := range other.Floors {
		if floor <= now+maxClockLead {
			s.raiseFloor(Kind(kind), floor)
		}
	}
	var differ []int
	for i := range s.sums {
		if s.sums[i] != other.Sums[i] {
			differ = append(differ, i)
		}
	}
	return differ
}

// Bucket returns the facts of a bucket, nil for one out of range.
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
