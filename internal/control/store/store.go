// Package store is the replicated state of the control plane: a table of items by key, with a digest
// for each of a fixed number of key ranges, so that two members find what differs between them
// without sending what doesn't. It is not safe for concurrent use.
package store

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"frosttide/internal/protocol"
)

// RangeCount is the number of key ranges. Keys go to ranges by hash.
const RangeCount = 1024

// Store is the table. The zero value is not usable; see New.
type Store struct {
	watch   func(key string, previous, current []byte)
	items   map[string][]byte
	ranges  [RangeCount]map[string]struct{}
	digests [RangeCount]uint64
	bytes   int
}

// New returns an empty store.
func New() *Store { return &Store{items: make(map[string][]byte)} }

// Watch has f told of every item there is, and from then on of every change: before is nil for a new item,
// after for one that is removed. There is one watcher.
func (s *Store) Watch(f func(key string, previous, current []byte)) {
	for key, value := range s.items {
		f(key, nil, value)
	}
	s.watch = f
}

// itemOverhead is about what the record of an item takes on disk besides key and value.
const itemOverhead = 8

// rangeOfKey returns the range that a key belongs to.
func rangeOfKey(key string) int { return int(xxhash.Sum64String(key) % RangeCount) }

// itemDigest is what an item adds to its range's digest. Sums of it don't depend on the order of writes.
func itemDigest(key string, value []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(value)
	return d.Sum64()
}

// Put sets an item. The store keeps the value; the caller does not change it afterwards.
func (s *Store) Put(key string, value []byte) {
	r := rangeOfKey(key)
	previous, ok := s.items[key]
	if s.watch != nil {
		s.watch(key, previous, value)
	}
	if ok {
		s.digests[r] -= itemDigest(key, previous)
		s.bytes -= len(previous)
	} else {
		if s.ranges[r] == nil {
			s.ranges[r] = make(map[string]struct{})
		}
		s.ranges[r][key] = struct{}{}
		s.bytes += len(key) + itemOverhead
	}
	s.items[key] = value
	s.bytes += len(value)
	s.digests[r] += itemDigest(key, value)
}

// Delete removes an item if it is there.
func (s *Store) Delete(key string) {
	previous, ok := s.items[key]
	if !ok {
		return
	}
	if s.watch != nil {
		s.watch(key, previous, nil)
	}
	r := rangeOfKey(key)
	s.digests[r] -= itemDigest(key, previous)
	s.bytes -= len(previous) + len(key) + itemOverhead
	delete(s.items, key)
	delete(s.ranges[r], key)
}

// Apply carries out the writes of an entry.
func (s *Store) Apply(puts []*protocol.Put, deletes []string) {
	for _, p := range puts {
		s.Put(p.GetKey(), p.GetValue())
	}
	for _, key := range deletes {
		s.Delete(key)
	}
}

// Get returns an item's value, and false where there is none.
func (s *Store) Get(key string) ([]byte, bool) {
	v, ok := s.items[key]
	return v, ok
}

// Len returns the number of items.
func (s *Store) Len() int { return len(s.items) }

// Bytes returns about how many bytes the items take on disk.
func (s *Store) Bytes() int { return s.bytes }

// Each calls f with all items, in no order. f does not change the store.
func (s *Store) Each(f func(key string, value []byte)) {
	for k, v := range s.items {
		f(k, v)
	}
}

// All returns all items, by key.
func (s *Store) All() []*protocol.Put {
	out := make([]*protocol.Put, 0, len(s.items))
	for k, v := range s.items {
		out = append(out, &protocol.Put{Key: k, Value: v})
	}
	slices.SortFunc(out, compareKeys)
	return out
}

// Digests returns the digests of all ranges.
func (s *Store) Digests() []uint64 { return slices.Clone(s.digests[:]) }

// DifferingRanges returns the ranges whose digests differ from others'. Ranges that the others lack count as
// empty there.
func (s *Store) DifferingRanges(digests []uint64) (ranges []uint32) {
	for r := range s.digests {
		other := uint64(0)
		if r < len(digests) {
			other = digests[r]
		}
		if s.digests[r] != other {
			ranges = append(ranges, uint32(r))
		}
	}
	return ranges
}

// ItemsInRange returns the items of a range, by key.
func (s *Store) ItemsInRange(r uint32) (items []*protocol.Put) {
	if r >= RangeCount {
		return nil
	}
	for k := range s.ranges[r] {
		items = append(items, &protocol.Put{Key: k, Value: s.items[k]})
	}
	slices.SortFunc(items, compareKeys)
	return items
}

// DigestItems returns the digest of a range that holds just the given items.
func DigestItems(items []*protocol.Put) (digest uint64) {
	for _, p := range items {
		digest += itemDigest(p.GetKey(), p.GetValue())
	}
	return digest
}

// CombineDigests returns one digest of a whole state from those of its ranges.
func CombineDigests(digests []uint64) uint64 {
	d := xxhash.New()
	var number [8]byte
	for _, one := range digests {
		binary.LittleEndian.PutUint64(number[:], one)
		_, _ = d.Write(number[:])
	}
	return d.Sum64()
}

// GroupByRange returns items by the ranges that they belong to.
func GroupByRange(items []*protocol.Put) map[uint32][]*protocol.Put {
	out := make(map[uint32][]*protocol.Put)
	for _, p := range items {
		r := uint32(rangeOfKey(p.GetKey()))
		out[r] = append(out[r], p)
	}
	return out
}

// Repair returns the writes that make some ranges of this store hold just the given items.
func (s *Store) Repair(ranges []uint32, items []*protocol.Put) (puts []*protocol.Put, deletes []string) {
	wanted := make(map[string]struct{}, len(items))
	for _, p := range items {
		wanted[p.GetKey()] = struct{}{}
		if previous, ok := s.items[p.GetKey()]; !ok || string(previous) != string(p.GetValue()) {
			puts = append(puts, p)
		}
	}
	for _, r := range ranges {
		if r >= RangeCount {
			continue
		}
		for k := range s.ranges[r] {
			if _, ok := wanted[k]; !ok {
				deletes = append(deletes, k)
			}
		}
	}
	slices.Sort(deletes)
	return puts, deletes
}

func compareKeys(a, b *protocol.Put) int {
	switch {
	case a.GetKey() < b.GetKey():
		return -1
	case a.GetKey() > b.GetKey():
		return 1
	default:
		return 0
	}
}
