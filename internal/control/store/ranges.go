package store

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"frosttide/internal/protocol"
)

// RangeCount is the number of key ranges. Keys are assigned to ranges by hash.
const RangeCount = 1024

// rangeOfKey returns the range that a key belongs to.
func rangeOfKey(key string) int { return int(xxhash.Sum64String(key) % RangeCount) }

// itemDigest returns the digest of one item. A zero byte separates the key from the value, so that moving a byte from one to
// the other changes the digest.
func itemDigest(key string, value []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key) // a hash never returns an error
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(value)
	return d.Sum64()
}

// DigestItems returns the digest of a range that consists of the given items.
func DigestItems(items []*protocol.Put) (digest uint64) {
	for _, p := range items {
		digest += itemDigest(p.GetKey(), p.GetValue())
	}
	return digest
}

// CombineDigests returns the digest of a complete state. digests are those of all ranges, in order.
func CombineDigests(digests []uint64) uint64 {
	d := xxhash.New()
	var encoded [8]byte
	for _, digest := range digests {
		binary.LittleEndian.PutUint64(encoded[:], digest)
		_, _ = d.Write(encoded[:])
	}
	return d.Sum64()
}

// GroupByRange groups items by range number.
func GroupByRange(items []*protocol.Put) map[uint32][]*protocol.Put {
	out := make(map[uint32][]*protocol.Put)
	for _, p := range items {
		r := uint32(rangeOfKey(p.GetKey()))
		out[r] = append(out[r], p)
	}
	return out
}

// Digests returns a copy of the digests of all ranges, indexed by range number.
func (s *Store) Digests() []uint64 { return slices.Clone(s.digests[:]) }

// DifferingRanges returns the numbers of the ranges whose digests differ from another store's digests. Missing digests are
// treated as digests of empty ranges.
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

// ItemsInRange returns the items of a range sorted by key, or nil if the range does not exist.
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

// Repair returns the writes that make the given ranges of this store equal to the given items. It does not change the
// store. The items must belong to the ranges; ranges that do not exist are ignored.
func (s *Store) Repair(ranges []uint32, items []*protocol.Put) (puts []*protocol.Put, deletes []string) {
	wanted := make(map[string]struct{}, len(items))
	for _, p := range items {
		wanted[p.GetKey()] = struct{}{}
		if current, ok := s.items[p.GetKey()]; !ok || string(current) != string(p.GetValue()) {
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
