package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requireSums checks what pools keep against what the runners say.
func requireSums(t *testing.T, f *Fleet) {
	t.Helper()
	pools := make(map[string]*pool)
	for _, r := range f.runners {
		if r.Service == "" {
			continue
		}
		p := pools[r.Service]
		if p == nil {
			p = &pool{}
			pools[r.Service] = p
		}
		p.all = append(p.all, r)
		if r.Usable {
			p.free = p.free.Plus(r.Free())
		}
		if r.Usable && r.account.Free > 0 {
			p.open = append(p.open, r)
		}
		if r.trust.troubled() {
			p.troubled++
		}
	}
	require.Len(t, f.pools, len(pools))
	for service, want := range pools {
		require.ElementsMatch(t, want.all, f.Service(service))
		require.ElementsMatch(t, want.open, f.pools[service].open)
		require.Equal(t, want.free, f.FreeOf(service))
		require.Equal(t, want.troubled > 0, f.Doubts(service))
		require.Equal(t, want.troubled, f.pools[service].troubled)
	}
}

// TestPoolsKeepTheirSums plays random changes of runners and work and checks the pools after each.
func TestPoolsKeepTheirSums(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 2))
		f := NewFleet()
		for i := range 300 {
			r := f.Add(fmt.Sprint("r", rng.IntN(6)))
			task := fmt.Sprint("t", rng.IntN(40))
			switch rng.IntN(8) {
			case 0:
				f.Remove(r.ID)
			case 1:
				f.Describe(r, []string{"a", "b"}[rng.IntN(2)], "rack", nil, Resources{CPU: int64(rng.IntN(8000)), MemMB: int64(rng.IntN(8000)), GPUs: int64(rng.IntN(3))})
			case 2:
				f.SetUsable(r, rng.IntN(3) > 0)
			case 3:
				f.Trouble(r, fmt.Sprint("j", rng.IntN(3)), rng.IntN(2) == 0, time.Duration(i)*time.Second)
			case 4, 5:
				f.Release(r, task)
			default:
				f.Hold(r, task, Resources{CPU: int64(rng.IntN(900)), MemMB: int64(rng.IntN(900))}, Group{Step: rng.IntN(3)})
			}
			requireSums(t, f)
		}
	}
}

// TestGangThatWaitsLeavesTheOrder checks that a gang that can't be placed does not change which runner is next.
func TestGangThatWaitsLeavesTheOrder(t *testing.T) {
	f := fleet(4, big)
	w := &Want{Service: "svc", Demand: Resources{CPU: 9000}, Gang: true}
	before := f.Pick(want(100), 0)
	changes := f.Changes()
	require.Nil(t, f.PickGang(w, []string{"a", "b", "c", "d", "e"}, false, 0))
	require.Equal(t, changes, f.Changes())
	require.Same(t, before, f.Pick(want(100), 0))
}

// TestGangFits compares whether a gang can be placed with placing its members one by one.
func TestGangFits(t *testing.T) {
	placed := 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := fleet(4, Resources{CPU: 8000, MemMB: 8000, GPUs: 4})
		for i := range rng.IntN(12) {
			if w := want(int64(rng.IntN(4000))); f.Pick(w, 0) != nil {
				f.Hold(f.Pick(w, 0), fmt.Sprint("x", i), w.Demand, Group{})
			}
		}
		w := &Want{Service: "svc", Gang: true, AntiAffinity: rng.IntN(3), Group: Group{Job: "j"},
			Demand: Resources{CPU: int64(rng.IntN(4000)), MemMB: int64(rng.IntN(3000)), GPUs: int64(rng.IntN(2))}}
		tasks := make([]string, 1+rng.IntN(9))
		for i := range tasks {
			tasks[i] = fmt.Sprint("g", i)
		}
		picked := f.PickGang(w, tasks, false, 0)
		fits := !slices.ContainsFunc(tasks, func(task string) bool {
			r := f.Pick(w, 0)
			if r != nil {
				f.Hold(r, task, w.Demand, w.Group)
			}
			return r == nil
		})
		require.Equal(t, fits, picked != nil, "seed %d", seed)
		if fits {
			placed++
		}
	}
	require.Greater(t, placed, 50)
	require.Less(t, placed, 250)
}
