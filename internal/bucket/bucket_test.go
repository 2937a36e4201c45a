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

// plain is the same bucket as a list of single tokens.
type plain struct{ ring []*owner }

func (p *plain) put(o *owner, count int) {
	for range count {
		p.ring = append(p.ring, o)
	}
}

func (p *plain) take(o *owner, count int) {
	for range count {
		at := slices.Index(p.ring, o)
		p.ring = slices.Delete(p.ring, at, at+1)
	}
}

// TestAsSingleTokens compares the bucket with one that keeps every token by itself: the counts agree, and so
// does the order of the owners' oldest free tokens.
func TestAsSingleTokens(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b, p := New[*owner](), &plain{}
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
				before := a.Free
				b.SetLimit(a, o, limit)
				if a.Free > before {
					p.put(o, a.Free-before)
				} else {
					p.take(o, before-a.Free)
				}
				require.True(t, a.Free+a.Held <= max(limit, a.Held), "free tokens beyond the limit")
			case 1:
				if a.Free == 0 {
					continue
				}
				n := 1 + rng.IntN(a.Free)
				b.Seize(a, n)
				p.take(o, n)
			case 2:
				if a.Held == 0 {
					continue
				}
				n := 1 + rng.IntN(a.Held)
				before := a.Free
				b.Release(a, o, n)
				p.put(o, a.Free-before)
				require.LessOrEqual(t, a.Free+a.Held, max(a.Limit, a.Held))
			}
			compare(t, owners, p)
		}
	}
}

func compare(t *testing.T, owners []*owner, p *plain) {
	t.Helper()
	var order []*owner
	for _, o := range owners {
		count := 0
		for _, x := range p.ring {
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
		if a.account.Order() < b.account.Order() {
			return -1
		}
		return 1
	})
	var want []*owner
	for _, x := range p.ring {
		if !slices.Contains(want, x) {
			want = append(want, x)
		}
	}
	require.Equal(t, want, order, "order of the oldest free tokens")
}
