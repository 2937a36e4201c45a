package store

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

func fill(rng *rand.Rand, s *Store, count int) {
	for range count {
		key := fmt.Sprintf("k%d", rng.IntN(3*count))
		if rng.IntN(4) == 0 {
			s.Delete(key)
		} else {
			s.Put(key, fmt.Appendf(nil, "v%d", rng.IntN(5)))
		}
	}
}

// TestRepair has a store that differs in any way become equal by what the ranges that differ hold.
func TestRepair(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		a, b := New(), New()
		fill(rng, a, 500)
		for _, p := range a.All() {
			b.Put(p.GetKey(), p.GetValue())
		}
		fill(rng, b, rng.IntN(100))
		var items []*protocol.Put
		ranges := a.DifferingRanges(b.Digests())
		for _, r := range ranges {
			items = append(items, a.ItemsInRange(r)...)
		}
		puts, deletes := b.Repair(ranges, items)
		b.Apply(puts, deletes)
		require.Equal(t, a.All(), b.All())
		require.Empty(t, a.DifferingRanges(b.Digests()))
		require.Equal(t, a.Bytes(), b.Bytes())
	}
}

// TestDigestsFollowContent has equal content give equal digests, whatever led to it.
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
	require.Len(t, a.DifferingRanges(nil), 1, "ranges that the other lacks count as empty")
	a.Delete("none")
	require.Equal(t, 1, a.Len())
	require.Nil(t, a.ItemsInRange(RangeCount))
}
