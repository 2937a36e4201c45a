package store

import (
	"slices"
	"strings"

	"frosttide/internal/protocol"
)

// itemOverhead is the approximate number of bytes that an item takes on disk in addition to its key and value.
const itemOverhead = 8

// Store is a key-value table with a digest per key range. Use New; the zero value is not usable.
type Store struct {
	watch   func(key string, previous, current []byte)
	items   map[string][]byte
	ranges  [RangeCount]map[string]struct{} // keys of each range
	digests [RangeCount]uint64
	bytes   int
}

// New returns an empty store.
func New() *Store { return &Store{items: make(map[string][]byte)} }

// Watch calls f for every existing item, and then before every change. previous is nil for a new item; current is nil for a
// deleted one. There is a single watcher: a second call replaces it. f must not change the store.
func (s *Store) Watch(f func(key string, previous, current []byte)) {
	for key, value := range s.items {
		f(key, nil, value)
	}
	s.watch = f
}

// Put sets an item. The store keeps the value, which the caller must not modify afterwards.
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

// Delete removes an item. It does nothing if the key does not exist.
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

// Apply applies the writes of an entry: first the puts, in order, then the deletes.
func (s *Store) Apply(puts []*protocol.Put, deletes []string) {
	for _, p := range puts {
		s.Put(p.GetKey(), p.GetValue())
	}
	for _, key := range deletes {
		s.Delete(key)
	}
}

// Get returns the value of an item, or false if the key does not exist. The caller must not modify the value.
func (s *Store) Get(key string) ([]byte, bool) {
	v, ok := s.items[key]
	return v, ok
}

// Len returns the number of items.
func (s *Store) Len() int { return len(s.items) }

// Bytes returns the approximate number of bytes that the items take on disk.
func (s *Store) Bytes() int { return s.bytes }

// ForEach calls f for all items, in no particular order. f must not change the store.
func (s *Store) ForEach(f func(key string, value []byte)) {
	for k, v := range s.items {
		f(k, v)
	}
}

// All returns all items sorted by key.
func (s *Store) All() []*protocol.Put {
	out := make([]*protocol.Put, 0, len(s.items))
	for k, v := range s.items {
		out = append(out, &protocol.Put{Key: k, Value: v})
	}
	slices.SortFunc(out, compareKeys)
	return out
}

// compareKeys orders items by their keys.
func compareKeys(a, b *protocol.Put) int { return strings.Compare(a.GetKey(), b.GetKey()) }
