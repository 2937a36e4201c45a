package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var bigRunner = Resources{CPU: 16000, MemMB: 32768}

// newTestFleet returns runners r0, r1, ... of a service, in racks of two.
func newTestFleet(count int, capacity Resources) *Fleet {
	f := NewFleet()
	for i := range count {
		r := f.Add(fmt.Sprint("r", i))
		f.UpdateRunner(r, "svc", fmt.Sprint("rack", i/2), []string{fmt.Sprint("rack", i/2), []string{"a", "b"}[i%2]}, capacity)
		f.SetUsable(r, true)
	}
	return f
}

func taskRequest(cpu int64) *Request {
	return &Request{Service: "svc", Demand: Resources{CPU: cpu, MemMB: 100}}
}

func TestLongestFreeFirst(t *testing.T) {
	f := newTestFleet(3, bigRunner)
	var order []string
	for i := range 6 {
		r := f.Pick(taskRequest(1000), 0)
		order = append(order, r.ID)
		f.Reserve(r, fmt.Sprint("t", i), taskRequest(1000).Demand, Group{})
		f.Release(r, fmt.Sprint("t", i))
	}
	// Each runner's oldest token is older than what came back to another.
	require.Equal(t, []string{"r0", "r0", "r0", "r0", "r0", "r0"}, order)
	for range 16 {
		f.Reserve(f.Runner("r0"), fmt.Sprint("x", f.Runner("r0").ReservationCount()), taskRequest(1000).Demand, Group{})
	}
	require.Equal(t, "r1", f.Pick(taskRequest(1000), 0).ID, "the first is full")
	for i := range 16 {
		f.Release(f.Runner("r0"), fmt.Sprint("x", i))
	}
	require.Equal(t, "r1", f.Pick(taskRequest(1000), 0).ID, "what was released lies at the back")
}

func TestCompatible(t *testing.T) {
	f := newTestFleet(4, bigRunner)
	req := taskRequest(100)
	req.Requirement = "b"
	require.Equal(t, "r1", f.Pick(req, 0).ID)
	req = taskRequest(100)
	req.Affinity = "rack1"
	require.Equal(t, "r2", f.Pick(req, 0).ID)
	req = taskRequest(17000)
	require.Nil(t, f.Pick(req, 0))
	req = taskRequest(100)
	req.Demand.GPUs = 1
	require.Nil(t, f.Pick(req, 0))
	req = taskRequest(100)
	req.AntiAffinity, req.Group = 1, Group{Job: "j"}
	used := make(map[string]bool)
	for i := range 4 {
		r := f.Pick(req, 0)
		require.False(t, used[r.ID])
		used[r.ID] = true
		f.Reserve(r, fmt.Sprint(i), req.Demand, req.Group)
	}
	require.Nil(t, f.Pick(req, 0), "each holds one of the group")
	o := f.Explain(req, 0)
	require.Equal(t, 4, o.AntiAffinity)
	f.SetUsable(f.Runner("r0"), false)
	require.Equal(t, 1, f.Explain(req, 0).Unusable)
	require.Nil(t, f.Pick(&Request{Service: "none"}, 0))
}

func TestSmallTasksAvoidFragmentation(t *testing.T) {
	f := newTestFleet(3, Resources{CPU: 32000, MemMB: 100000, GPUs: 8})
	one := &Request{Service: "svc", Demand: Resources{CPU: 2800, MemMB: 8000, GPUs: 1}}
	first := f.Pick(one, 0)
	f.Reserve(first, "a", one.Demand, Group{})
	for i := range 6 {
		r := f.Pick(one, 0)
		require.Equal(t, first, r)
		f.Reserve(r, fmt.Sprint(i), one.Demand, Group{})
	}
	full := &Request{Service: "svc", Demand: Resources{CPU: 15000, MemMB: 45000, GPUs: 8}}
	require.NotEqual(t, first, f.Pick(full, 0))
}

func TestGangAllOrNothing(t *testing.T) {
	f := newTestFleet(4, bigRunner)
	req := taskRequest(10000)
	req.Gang = true
	require.Len(t, f.PickGang(req, []string{"a", "b", "c", "d"}, 0), 4)
	require.Nil(t, f.PickGang(req, []string{"a", "b", "c", "d", "e"}, 0))
	for i := range 4 {
		require.Zero(t, f.Runner(fmt.Sprint("r", i)).ReservationCount(), "a trial leaves nothing behind")
	}
	require.Nil(t, f.PickGangInRack(req, []string{"a", "b", "c"}, 0), "a rack has two")
	picked := f.PickGangInRack(req, []string{"a", "b"}, 0)
	require.Len(t, picked, 2)
	require.Equal(t, picked[0].Rack, picked[1].Rack)
}

func TestEjection(t *testing.T) {
	f := newTestFleet(4, bigRunner)
	bad := f.Runner("r0")
	f.RecordOutcome(bad, "j1", true, 0)
	f.RecordOutcome(bad, "j1", true, 0)
	require.False(t, bad.Ejected(0), "one job may be at fault itself")
	again := taskRequest(100)
	again.Avoid = "r0"
	require.NotEqual(t, "r0", f.Pick(again, 0).ID)
	last := taskRequest(100)
	last.LastAttempt = true
	require.NotEqual(t, "r0", f.Pick(last, 0).ID)
	f.RecordOutcome(bad, "j2", true, time.Second)
	require.True(t, bad.Ejected(time.Second))
	for range 20 {
		require.NotEqual(t, "r0", f.Pick(taskRequest(100), time.Second).ID)
	}
	later := time.Second + ejectionTime
	require.Equal(t, "r0", f.Pick(taskRequest(100), later).ID, "it is tried again")
	f.Reserve(bad, "try", taskRequest(100).Demand, Group{})
	require.NotEqual(t, "r0", f.Pick(taskRequest(100), later).ID, "by one task")
	f.Release(bad, "try")
	f.RecordOutcome(bad, "j3", false, later)
	f.Reserve(bad, "more", taskRequest(100).Demand, Group{})
	require.Equal(t, "r0", f.Pick(taskRequest(100), later).ID, "a good end clears it")
}

func TestEjectionIsBounded(t *testing.T) {
	f := newTestFleet(4, bigRunner)
	for i := range 3 {
		for j := range 2 {
			f.RecordOutcome(f.Runner(fmt.Sprint("r", i)), fmt.Sprint("j", j), true, 0)
		}
	}
	require.Equal(t, "r3", f.Pick(taskRequest(100), 0).ID, "suspects come last")
	f.SetUsable(f.Runner("r3"), false)
	require.Equal(t, "r0", f.Pick(taskRequest(100), 0).ID, "where most are suspect none is kept out")
	alone := newTestFleet(1, bigRunner)
	for j := range 2 {
		alone.RecordOutcome(alone.Runner("r0"), fmt.Sprint("j", j), true, 0)
	}
	require.NotNil(t, alone.Pick(taskRequest(100), 0), "nor where there is but one")
}

func TestHeadroom(t *testing.T) {
	h := NewHeadroom()
	h.Observe(0, Resources{CPU: 4000}, Resources{CPU: 6000}, 0)
	h.Observe(2, Resources{CPU: 9000}, Resources{}, 0)
	require.EqualValues(t, 6000, h.Required(2).CPU)
	require.Zero(t, h.Required(0).CPU)
	h.Observe(0, Resources{}, Resources{}, headroomDecay)
	remaining := h.Required(1).CPU
	require.Greater(t, remaining, int64(3000))
	require.Less(t, remaining, int64(4000))
}

// TestNeverOverCapacity plays random work and checks each runner's exact account and its tokens.
func TestNeverOverCapacity(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newTestFleet(5, Resources{CPU: 16000, MemMB: 32768, GPUs: 4})
		type reserved struct {
			runner *Runner
			task   string
		}
		var all []reserved
		for i := range 400 {
			if rng.IntN(2) == 0 && len(all) > 0 {
				at := rng.IntN(len(all))
				f.Release(all[at].runner, all[at].task)
				all = append(all[:at], all[at+1:]...)
				continue
			}
			req := &Request{Service: "svc", Demand: Resources{CPU: int64(rng.IntN(9000)), MemMB: int64(rng.IntN(20000)), GPUs: int64(rng.IntN(3))}}
			if r := f.Pick(req, 0); r != nil {
				f.Reserve(r, fmt.Sprint(i), req.Demand, Group{})
				all = append(all, reserved{r, fmt.Sprint(i)})
			}
			f.Each(func(r *Runner) {
				free := r.Free()
				require.True(t, free.CPU >= 0 && free.MemMB >= 0 && free.GPUs >= 0, "%s is over its capacity", r.ID)
				require.Equal(t, r.tokens.Limit, r.tokens.Free+r.tokens.InUse)
			})
		}
		for _, h := range all {
			f.Release(h.runner, h.task)
		}
		f.Each(func(r *Runner) { require.Equal(t, Resources{}, r.Used()) })
	}
}
