package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestGangAllOrNothing checks that a gang is given runners for all of its tasks or none, keeps no
// reservation, and is confined to one rack by PickGangInRack.
func TestGangAllOrNothing(t *testing.T) {
	f := newTestFleet(t, 4, bigRunner)
	req := taskRequest(10000, func(r *Request) { r.Gang = true })
	require.Len(t, f.PickGang(req, []string{"a", "b", "c", "d"}, 0), 4)
	require.Nil(t, f.PickGang(req, []string{"a", "b", "c", "d", "e"}, 0))
	for i := range 4 {
		require.Zero(t, f.runners[fmt.Sprint("r", i)].ReservationCount(), "reservations after PickGang, want none")
	}
	require.Nil(t, f.PickGangInRack(req, []string{"a", "b", "c"}, 0), "three tasks in a rack of two runners: got runners, want nil")
	picked := f.PickGangInRack(req, []string{"a", "b"}, 0)
	require.Len(t, picked, 2)
	require.Equal(t, picked[0].Rack, picked[1].Rack)
}

// TestBlockedGangKeepsTokenOrder checks that a gang that does not fit changes neither the order of
// the free tokens, which decides the runner picked next, nor Changes.
func TestBlockedGangKeepsTokenOrder(t *testing.T) {
	f := newTestFleet(t, 4, bigRunner)
	req := &Request{Service: "svc", Demand: Resources{CPU: 9000}, Gang: true}
	wantNext := f.Pick(taskRequest(100), 0)
	changes := f.Changes()
	require.Nil(t, f.PickGang(req, []string{"a", "b", "c", "d", "e"}, 0))
	require.Equal(t, changes, f.Changes())
	require.Same(t, wantNext, f.Pick(taskRequest(100), 0))
}

// TestGangFits checks on random fleets that PickGang finds runners exactly if the tasks of the gang
// can be reserved one by one. Both results must occur often: more than 50 and fewer than 250 of the
// 300 gangs fit.
func TestGangFits(t *testing.T) {
	fitting := 0
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
			fitting++
		}
	}
	require.Greater(t, fitting, 50)
	require.Less(t, fitting, 250)
}
