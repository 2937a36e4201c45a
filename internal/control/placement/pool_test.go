package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requirePoolTotals checks what pools keep against what the runners say.
func requirePoolTotals(t *testing.T, f *Fleet) {
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
		if r.Usable && r.tokens.Free > 0 {
			p.available = append(p.available, r)
		}
		if r.health.degraded() {
			p.degraded++
		}
	}
	require.Len(t, f.pools, len(pools))
	for service, expected := range pools {
		require.ElementsMatch(t, expected.all, f.ServiceRunners(service))
		require.ElementsMatch(t, expected.available, f.pools[service].available)
		require.Equal(t, expected.free, f.FreeCapacity(service))
		require.Equal(t, expected.degraded > 0, f.AnyDegraded(service))
		require.Equal(t, expected.degraded, f.pools[service].degraded)
	}
}

// TestPoolTotalsMatchRunners plays random changes of runners and work and checks the pools after each.
func TestPoolTotalsMatchRunners(t *testing.T) {
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
				f.UpdateRunner(r, []string{"a", "b"}[rng.IntN(2)], "rack", nil, Resources{CPU: int64(rng.IntN(8000)), MemMB: int64(rng.IntN(8000)), GPUs: int64(rng.IntN(3))})
			case 2:
				f.SetUsable(r, rng.IntN(3) > 0)
			case 3:
				f.RecordOutcome(r, fmt.Sprint("j", rng.IntN(3)), rng.IntN(2) == 0, time.Duration(i)*time.Second)
			case 4, 5:
				f.Release(r, task)
			default:
				f.Reserve(r, task, Resources{CPU: int64(rng.IntN(900)), MemMB: int64(rng.IntN(900))}, Group{Step: rng.IntN(3)})
			}
			requirePoolTotals(t, f)
		}
	}
}

// TestBlockedGangKeepsTokenOrder checks that a gang that can't be placed does not change which runner is next.
func TestBlockedGangKeepsTokenOrder(t *testing.T) {
	f := newTestFleet(4, bigRunner)
	req := &Request{Service: "svc", Demand: Resources{CPU: 9000}, Gang: true}
	next := f.Pick(taskRequest(100), 0)
	changes := f.Changes()
	require.Nil(t, f.PickGang(req, []string{"a", "b", "c", "d", "e"}, 0))
	require.Equal(t, changes, f.Changes())
	require.Same(t, next, f.Pick(taskRequest(100), 0))
}

// TestGangFits compares whether a gang can be placed with placing its members one by one.
func TestGangFits(t *testing.T) {
	placed := 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newTestFleet(4, Resources{CPU: 8000, MemMB: 8000, GPUs: 4})
		for i := range rng.IntN(12) {
			if req := taskRequest(int64(rng.IntN(4000))); f.Pick(req, 0) != nil {
				f.Reserve(f.Pick(req, 0), fmt.Sprint("x", i), req.Demand, Group{})
			}
		}
		req := &Request{Service: "svc", Gang: true, AntiAffinity: rng.IntN(3), Group: Group{Job: "j"},
			Demand: Resources{CPU: int64(rng.IntN(4000)), MemMB: int64(rng.IntN(3000)), GPUs: int64(rng.IntN(2))}}
		tasks := make([]string, 1+rng.IntN(9))
		for i := range tasks {
			tasks[i] = fmt.Sprint("g", i)
		}
		picked := f.PickGang(req, tasks, 0)
		fits := !slices.ContainsFunc(tasks, func(task string) bool {
			r := f.Pick(req, 0)
			if r != nil {
				f.Reserve(r, task, req.Demand, req.Group)
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
