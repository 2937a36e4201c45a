package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestGangAllOrNothing(t *testing.T) {
	f := newTestFleet(t, 4, bigRunner)
	req := taskRequest(10000, func(r *Request) { r.Gang = true })
	require.Len(t, f.PickGang(req, []string{"a", "b", "c", "d"}, 0), 4)
	require.Nil(t, f.PickGang(req, []string{"a", "b", "c", "d", "e"}, 0))
	for i := range 4 {
		require.Zero(t, f.runners[fmt.Sprint("r", i)].ReservationCount(), "picking leaves nothing reserved")
	}
	require.Nil(t, f.PickGangInRack(req, []string{"a", "b", "c"}, 0), "a rack has two")
	picked := f.PickGangInRack(req, []string{"a", "b"}, 0)
	require.Len(t, picked, 2)
	require.Equal(t, picked[0].Rack, picked[1].Rack)
}

// TestBlockedGangKeepsTokenOrder checks that a gang that does not fit does not change which runner is next.
func TestBlockedGangKeepsTokenOrder(t *testing.T) {
	f := newTestFleet(t, 4, bigRunner)
	req := &Request{Service: "svc", Demand: Resources{CPU: 9000}, Gang: true}
	next := f.Pick(taskRequest(100), 0)
	changes := f.Changes()
	require.Nil(t, f.PickGang(req, []string{"a", "b", "c", "d", "e"}, 0))
	require.Equal(t, changes, f.Changes())
	require.Same(t, next, f.Pick(taskRequest(100), 0))
}

// TestGangFits compares whether a gang fits with reserving its members one by one.
func TestGangFits(t *testing.T) {
	placed := 0
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newTestFleet(t, 4, Resources{CPU: 8000, MemMB: 8000, GPUs: 4})
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
