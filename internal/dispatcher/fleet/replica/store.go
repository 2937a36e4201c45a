package replica

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is how many parts a store is compared in.
const Buckets = 256

// Bounds are how many facts of each kind a store holds at most; past them the oldest go.
type Bounds [Kinds]int

// DefaultBounds fits 20,000 runners, 100,000 keys and 20,000 parts of gangs.
func DefaultBounds() Bounds {
	return Bounds{Runner: 20_000, Health: 20_000, Fate: 100_000, Gang: 20_000}
}

// tombstones is how long a runner that is gone is remembered, in ms. A copy of it that is
// older than that and comes back from a member long cut off would list it again, so those
// have to fetch everything anew (see Stale).
const tombstones = 10 * 60_000

// gangs is how long a word on a part of a gang counts, in ms.
const gangs = 60_000

// Store holds facts. It is not safe for use by several goroutines.
type Store struct {
	bounds  Bounds
	facts   map[Key]held
	counts  [Kinds]int
	buckets [Buckets]map[Key]struct{}
	sums    [Buckets]uint64
	floors  [Kinds]int64 // facts up to this age have been dropped
	dropped [Kinds]uint64
	fates   map[string][]string // the scopes of each key that has a fate
}

type held struct {
	Fact
	sum uint64
}

// New makes an empty store.
func New(b Bounds) *Store {
	s := &Store{bounds: b, facts: map[Key]held{}, fates: map[string][]string{}}
	for i := range s.buckets {
		s.buckets[i] = map[Key]struct{}{}
	}
	return s
}

// Outcome says what became of a fact that was merged.
type Outcome uint8

// The outcomes.
const (
	Same    Outcome = iota // it was there
	Took                   // it is new, or counts before what was there
	Kept                   // what was there counts before it
	TooOld                 // it has ended, or its like has been dropped for want of room
	Invalid                // it can't be meant
)

// Merge takes in a fact. Conflict is set where it contradicts what was there.
func (s *Store) Merge(f Fact, now int64) (out Outcome, conflict bool, err error) {
	if err := f.Valid(now); err != nil {
		return Invalid, false, err
	}
	if s.old(&f, now) {
		return TooOld, false, nil
	}
	was, ok := s.facts[f.Key]
	if ok && ended(&was.Fact, now) { // a key that comes again after its window begins another
		s.remove(f.Key)
		ok = false
	}
	if !ok {
		s.put(f)
		s.shrink(f.Kind)
		return Took, s.differs(&f), nil
	}
	order := Newer(&f, &was.Fact)
	if order == 0 {
		return Same, false, nil
	}
	conflict = Differ(&f, &was.Fact)
	if order < 0 {
		return Kept, conflict, nil
	}
	s.remove(f.Key)
	s.put(f)
	return Took, conflict || s.differs(&f), nil
}

// differs tells whether another process has told of the same job otherwise.
func (s *Store) differs(f *Fact) bool {
	return f.Kind == Fate && f.State == Done && slices.ContainsFunc(s.fates[f.Name], func(scope string) bool {
		o, ok := s.facts[Key{Fate, f.Name, scope}]
		return ok && Differ(f, &o.Fact)
	})
}

// old tells whether a fact has ended or fell under what has been dropped.
func (s *Store) old(f *Fact, now int64) bool { return ended(f, now) || f.At <= s.floors[f.Kind] }

func ended(f *Fact, now int64) bool {
	switch f.Kind {
	case Fate:
		return f.Until <= now
	case Gang:
		return f.At+gangs <= now
	case Runner:
		return f.State == Deleted && f.At+tombstones <= now
	}
	return false
}

func bucket(k Key) int {
	return int(xxhash.Sum64String(fmt.Sprintf("%d\x00%s\x00%s", k.Kind, k.Name, k.Scope)) >> (64 - 8))
}

func (s *Store) put(f Fact) {
	text, err := json.Marshal(f)
	if err != nil {
		return // can't be: its entry has been checked
	}
	h, b := held{Fact: f, sum: xxhash.Sum64(text)}, bucket(f.Key)
	s.facts[f.Key] = h
	s.counts[f.Kind]++
	s.buckets[b][f.Key] = struct{}{}
	s.sums[b] += h.sum // sums, as they don't depend on the order
	if f.Kind == Fate {
		s.fates[f.Name] = append(s.fates[f.Name], f.Scope)
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
	if k.Kind != Fate {
		return
	}
	if left := slices.DeleteFunc(s.fates[k.Name], func(scope string) bool { return scope == k.Scope }); len(left) > 0 {
		s.fates[k.Name] = left
	} else {
		delete(s.fates, k.Name)
	}
}

// shrink drops the oldest facts of a kind that has passed its bound, and a sixteenth of the
// bound beyond them, so that it does not happen at each fact.
func (s *Store) shrink(kind Kind) {
	over := s.counts[kind] - s.bounds[kind]
	if over <= 0 {
		return
	}
	var all []held
	for _, h := range s.facts {
		if h.Kind == kind {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, func(a, b held) int { return cmp.Compare(a.At, b.At) })
	last := all[min(over-1+s.bounds[kind]/16, len(all)-1)]
	s.raise(kind, last.At)
}

// raise drops what is as old as a time, or older. The floor is spread like the facts, as a
// member that kept them would send them again and again.
func (s *Store) raise(kind Kind, at int64) {
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

// Expire drops what has ended.
func (s *Store) Expire(now int64) {
	for k, h := range s.facts {
		if ended(&h.Fact, now) {
			s.remove(k)
		}
	}
}

// Get returns the fact under a key.
func (s *Store) Get(k Key) (Fact, bool) {
	h, ok := s.facts[k]
	return h.Fact, ok
}

// Fates returns what is known of a key, in every group, that has not ended.
func (s *Store) Fates(name string, now int64) (out []Fact) {
	for _, scope := range s.fates[name] {
		if f, ok := s.Get(Key{Fate, name, scope}); ok && !ended(&f, now) {
			out = append(out, f)
		}
	}
	return out
}

// Len returns how many facts of a kind there are, and how many were dropped for want of room.
func (s *Store) Len(kind Kind) (held int, dropped uint64) { return s.counts[kind], s.dropped[kind] }

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

// Digest is a store in short: equal stores have equal ones, and those that differ tell where.
type Digest struct {
	Sums   [Buckets]uint64 `json:"sums"`
	Floors [Kinds]int64    `json:"floors"`
}

// Digest returns the store's.
func (s *Store) Digest() Digest { return Digest{Sums: s.sums, Floors: s.floors} }

// Whole returns one number for the digest, for people and tests to compare.
func (d Digest) Whole() uint64 {
	var sum uint64
	for i, x := range d.Sums {
		sum ^= bits.RotateLeft64(x*0x9e3779b97f4a7c15, i%64)
	}
	return sum
}

// Against returns the buckets in which the other's facts differ from the store's, and takes
// over the floors of the other's. Guards against a floor from tomorrow, which would empty it.
func (s *Store) Against(other Digest, now int64) []int {
	for kind, floor := range other.Floors {
		if floor <= now+ahead {
			s.raise(Kind(kind), floor)
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

// Bucket returns the facts of one bucket.
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
