package bucket

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

type owner struct {
	name    int
	account Account[*owner]
}

// referenceBucket is a simple reference implementation of Bucket: a list of single tokens.
type referenceBucket struct{ ring []*owner }

func (ref *referenceBucket) put(o *owner, count int) {
	for range count {
		ref.ring = append(ref.ring, o)
	}
}

func (ref *referenceBucket) remove(o *owner, count int) {
	for range count {
		oldest := slices.Index(ref.ring, o)
		ref.ring = slices.Delete(ref.ring, oldest, oldest+1)
	}
}

// TestMatchesSingleTokenReference checks over random calls that a bucket and the reference have the same numbers of free
// tokens and the same order of the owners' oldest free tokens.
func TestMatchesSingleTokenReference(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b, ref := New[*owner](), &referenceBucket{}
		var owners []*owner
		for i := range 5 {
			owners = append(owners, &owner{name: i})
		}
		for range 200 {
			o := owners[rng.IntN(len(owners))]
			a := &o.account
			switch rng.IntN(3) {
			case 0:
				limit := rng.IntN(20)
				previousFree := a.Free
				b.SetLimit(a, o, limit)
				if a.Free > previousFree {
					ref.put(o, a.Free-previousFree)
				} else {
					ref.remove(o, previousFree-a.Free)
				}
				require.True(t, a.Free+a.InUse <= max(limit, a.InUse), "free tokens beyond the limit")
			case 1:
				if a.Free == 0 {
					continue
				}
				n := 1 + rng.IntN(a.Free)
				b.Acquire(a, n)
				ref.remove(o, n)
			case 2:
				if a.InUse == 0 {
					continue
				}
				n := 1 + rng.IntN(a.InUse)
				previousFree := a.Free
				b.Release(a, o, n)
				ref.put(o, a.Free-previousFree)
				require.LessOrEqual(t, a.Free+a.InUse, max(a.Limit, a.InUse), "free tokens beyond the limit after Release")
			}
			requireSameOrder(t, owners, ref)
		}
	}
}

// requireSameOrder requires the numbers of free tokens and the order of the owners' oldest ones to match the reference.
func requireSameOrder(t *testing.T, owners []*owner, ref *referenceBucket) {
	t.Helper()
	var order []*owner
	for _, o := range owners {
		count := 0
		for _, x := range ref.ring {
			if x == o {
				count++
			}
		}
		require.Equal(t, count, o.account.Free, "free tokens of owner %d", o.name)
		if count > 0 {
			order = append(order, o)
		}
	}
	slices.SortFunc(order, func(a, b *owner) int {
		if a.account.OldestPosition() < b.account.OldestPosition() {
			return -1
		}
		return 1
	})
	var want []*owner
	for _, x := range ref.ring {
		if !slices.Contains(want, x) {
			want = append(want, x)
		}
	}
	require.Equal(t, want, order, "order of the oldest free tokens")
}
