package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requirePoolTotals checks that the totals of all pools equal those computed from the runners.
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
		p.runners = append(p.runners, r)
		if r.Usable {
			p.free = p.free.Plus(r.Free())
		}
		if r.Usable && r.Free().CPU > 0 {
			p.available = append(p.available, r)
		}
		if r.health.degraded() {
			p.degraded++
		}
	}
	require.Len(t, f.pools, len(pools))
	for service, expected := range pools {
		require.ElementsMatch(t, expected.runners, f.ServiceRunners(service))
		require.ElementsMatch(t, expected.available, f.pools[service].available)
		require.Equal(t, expected.free, f.FreeCapacity(service))
		require.Equal(t, expected.degraded > 0, f.AnyDegraded(service))
		require.Equal(t, expected.degraded, f.pools[service].degraded)
	}
}

// TestPoolTotalsMatchRunners applies random changes of runners and reservations, and checks the
// totals of the pools after each change.
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
				f.RecordOutcome(r, fmt.Sprint("j", rng.IntN(3)), []Outcome{Failure, Success}[rng.IntN(2)], time.Duration(i)*time.Second)
			case 4, 5:
				f.Release(r, task)
			default:
				f.Reserve(r, task, Resources{CPU: int64(rng.IntN(900)), MemMB: int64(rng.IntN(900))}, Group{Step: rng.IntN(3)})
			}
			requirePoolTotals(t, f)
		}
	}
}
