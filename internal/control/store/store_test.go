package store

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// changeRandomly sets and deletes random items.
func changeRandomly(rng *rand.Rand, s *Store, count int) {
	for range count {
		key := fmt.Sprintf("k%d", rng.IntN(3*count))
		if rng.IntN(4) == 0 {
			s.Delete(key)
		} else {
			s.Put(key, fmt.Appendf(nil, "v%d", rng.IntN(5)))
		}
	}
}

// TestRepair changes a copy of a store at random and makes the two equal again with the items of the differing ranges.
func TestRepair(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			source, target := New(), New()
			changeRandomly(rng, source, 500)
			for _, p := range source.All() {
				target.Put(p.GetKey(), p.GetValue())
			}
			changeRandomly(rng, target, rng.IntN(100))
			var items []*protocol.Put
			ranges := source.DifferingRanges(target.Digests())
			for _, r := range ranges {
				items = append(items, source.ItemsInRange(r)...)
			}
			puts, deletes := target.Repair(ranges, items)
			target.Apply(puts, deletes)
			require.Equal(t, source.All(), target.All())
			require.Empty(t, source.DifferingRanges(target.Digests()))
			require.Equal(t, source.Bytes(), target.Bytes())
		})
	}
}

// TestDigestsFollowContent requires equal content to have equal digests, independent of the writes that produced it.
func TestDigestsFollowContent(t *testing.T) {
	a, b := New(), New()
	a.Put("x", []byte("1"))
	a.Put("x", []byte("2"))
	a.Put("y", []byte("3"))
	a.Delete("y")
	b.Put("x", []byte("2"))
	require.Equal(t, b.Digests(), a.Digests())
	require.Equal(t, 1, a.Len())
	b.Put("x", []byte("1"))
	require.Len(t, a.DifferingRanges(b.Digests()), 1)
	require.Len(t, a.DifferingRanges(nil), 1, "missing digests are treated as digests of empty ranges")
}

// TestMissingItemsAndRanges deletes an item that does not exist and reads a range that does not exist.
func TestMissingItemsAndRanges(t *testing.T) {
	s := New()
	s.Put("x", []byte("1"))
	s.Delete("none")
	require.Equal(t, 1, s.Len())
	require.Nil(t, s.ItemsInRange(RangeCount))
}
