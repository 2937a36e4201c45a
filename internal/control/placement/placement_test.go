package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var big = Resources{CPU: 16000, MemMB: 32768}

// fleet returns runners r0, r1, ... of a service, in racks of two.
func fleet(count int, capacity Resources) *Fleet {
	f := NewFleet()
	for i := range count {
		r := f.Add(fmt.Sprint("r", i))
		f.Describe(r, "svc", fmt.Sprint("rack", i/2), []string{fmt.Sprint("rack", i/2), []string{"a", "b"}[i%2]}, capacity)
		f.SetUsable(r, true)
	}
	return f
}

func want(cpu int64) *Want { return &Want{Service: "svc", Demand: Resources{CPU: cpu, MemMB: 100}} }

func TestLongestFreeFirst(t *testing.T) {
	f := fleet(3, big)
	var order []string
	for i := range 6 {
		r := f.Pick(want(1000), 0)
		order = append(order, r.ID)
		f.Hold(r, fmt.Sprint("t", i), want(1000).Demand, Group{})
		f.Release(r, fmt.Sprint("t", i))
	}
	// Each runner's oldest token is older than what came back to another.
	require.Equal(t, []string{"r0", "r0", "r0", "r0", "r0", "r0"}, order)
	for range 16 {
		f.Hold(f.Runner("r0"), fmt.Sprint("x", f.Runner("r0").Holds()), want(1000).Demand, Group{})
	}
	require.Equal(t, "r1", f.Pick(want(1000), 0).ID, "the first is full")
	for i := range 16 {
		f.Release(f.Runner("r0"), fmt.Sprint("x", i))
	}
	require.Equal(t, "r1", f.Pick(want(1000), 0).ID, "what was released lies at the back")
}

func TestCompatible(t *testing.T) {
	f := fleet(4, big)
	w := want(100)
	w.Requirement = "b"
	require.Equal(t, "r1", f.Pick(w, 0).ID)
	w = want(100)
	w.Affinity = "rack1"
	require.Equal(t, "r2", f.Pick(w, 0).ID)
	w = want(17000)
	require.Nil(t, f.Pick(w, 0))
	w = want(100)
	w.Demand.GPUs = 1
	require.Nil(t, f.Pick(w, 0))
	w = want(100)
	w.AntiAffinity, w.Group = 1, Group{Job: "j"}
	seen := make(map[string]bool)
	for i := range 4 {
		r := f.Pick(w, 0)
		require.False(t, seen[r.ID])
		seen[r.ID] = true
		f.Hold(r, fmt.Sprint(i), w.Demand, w.Group)
	}
	require.Nil(t, f.Pick(w, 0), "each holds one of the group")
	o := f.Why(w, 0)
	require.Equal(t, 4, o.AntiAffinity)
	f.SetUsable(f.Runner("r0"), false)
	require.Equal(t, 1, f.Why(w, 0).Unusable)
	require.Nil(t, f.Pick(&Want{Service: "none"}, 0))
}

func TestSmallTasksLeaveWholeRunners(t *testing.T) {
	f := fleet(3, Resources{CPU: 32000, MemMB: 100000, GPUs: 8})
	one := &Want{Service: "svc", Demand: Resources{CPU: 2800, MemMB: 8000, GPUs: 1}}
	first := f.Pick(one, 0)
	f.Hold(first, "a", one.Demand, Group{})
	for i := range 6 {
		r := f.Pick(one, 0)
		require.Equal(t, first, r)
		f.Hold(r, fmt.Sprint(i), one.Demand, Group{})
	}
	whole := &Want{Service: "svc", Demand: Resources{CPU: 15000, MemMB: 45000, GPUs: 8}}
	require.NotEqual(t, first, f.Pick(whole, 0))
}

func TestGangAllOrNothing(t *testing.T) {
	f := fleet(4, big)
	w := want(10000)
	w.Gang = true
	require.Len(t, f.PickGang(w, []string{"a", "b", "c", "d"}, false, 0), 4)
	require.Nil(t, f.PickGang(w, []string{"a", "b", "c", "d", "e"}, false, 0))
	for i := range 4 {
		require.Zero(t, f.Runner(fmt.Sprint("r", i)).Holds(), "a trial leaves nothing behind")
	}
	require.Nil(t, f.PickGang(w, []string{"a", "b", "c"}, true, 0), "a rack has two")
	picked := f.PickGang(w, []string{"a", "b"}, true, 0)
	require.Len(t, picked, 2)
	require.Equal(t, picked[0].Rack, picked[1].Rack)
}

func TestSuspects(t *testing.T) {
	f := fleet(4, big)
	bad := f.Runner("r0")
	f.Trouble(bad, "j1", true, 0)
	f.Trouble(bad, "j1", true, 0)
	require.False(t, bad.Suspect(0), "one job may be at fault itself")
	again := want(100)
	again.Avoid = "r0"
	require.NotEqual(t, "r0", f.Pick(again, 0).ID)
	last := want(100)
	last.LastAttempt = true
	require.NotEqual(t, "r0", f.Pick(last, 0).ID)
	f.Trouble(bad, "j2", true, time.Second)
	require.True(t, bad.Suspect(time.Second))
	for range 20 {
		require.NotEqual(t, "r0", f.Pick(want(100), time.Second).ID)
	}
	later := time.Second + forgiveAfter
	require.Equal(t, "r0", f.Pick(want(100), later).ID, "it is tried again")
	f.Hold(bad, "try", want(100).Demand, Group{})
	require.NotEqual(t, "r0", f.Pick(want(100), later).ID, "by one task")
	f.Release(bad, "try")
	f.Trouble(bad, "j3", false, later)
	f.Hold(bad, "more", want(100).Demand, Group{})
	require.Equal(t, "r0", f.Pick(want(100), later).ID, "a good end clears it")
}

func TestSuspicionKeepsMostOfAService(t *testing.T) {
	f := fleet(4, big)
	for i := range 3 {
		for j := range 2 {
			f.Trouble(f.Runner(fmt.Sprint("r", i)), fmt.Sprint("j", j), true, 0)
		}
	}
	require.Equal(t, "r3", f.Pick(want(100), 0).ID, "suspects come last")
	f.SetUsable(f.Runner("r3"), false)
	require.Equal(t, "r0", f.Pick(want(100), 0).ID, "where most are suspect none is kept out")
	alone := fleet(1, big)
	for j := range 2 {
		alone.Trouble(alone.Runner("r0"), fmt.Sprint("j", j), true, 0)
	}
	require.NotNil(t, alone.Pick(want(100), 0), "nor where there is but one")
}

func TestReserve(t *testing.T) {
	v := NewReserve()
	v.Observe(0, Resources{CPU: 4000}, Resources{CPU: 6000}, 0)
	v.Observe(2, Resources{CPU: 9000}, Resources{}, 0)
	require.EqualValues(t, 6000, v.Room(2).CPU)
	require.Zero(t, v.Room(0).CPU)
	v.Observe(0, Resources{}, Resources{}, reserveMemory)
	left := v.Room(1).CPU
	require.Greater(t, left, int64(3000))
	require.Less(t, left, int64(4000))
}

// TestNeverOverCapacity plays random work and checks each runner's exact account and its tokens.
func TestNeverOverCapacity(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := fleet(5, Resources{CPU: 16000, MemMB: 32768, GPUs: 4})
		type held struct {
			runner *Runner
			task   string
		}
		var all []held
		for i := range 400 {
			if rng.IntN(2) == 0 && len(all) > 0 {
				at := rng.IntN(len(all))
				f.Release(all[at].runner, all[at].task)
				all = append(all[:at], all[at+1:]...)
				continue
			}
			w := &Want{Service: "svc", Demand: Resources{CPU: int64(rng.IntN(9000)), MemMB: int64(rng.IntN(20000)), GPUs: int64(rng.IntN(3))}}
			if r := f.Pick(w, 0); r != nil {
				f.Hold(r, fmt.Sprint(i), w.Demand, Group{})
				all = append(all, held{r, fmt.Sprint(i)})
			}
			f.Each(func(r *Runner) {
				free := r.Free()
				require.True(t, free.CPU >= 0 && free.MemMB >= 0 && free.GPUs >= 0, "%s is over its capacity", r.ID)
				require.Equal(t, r.account.Limit, r.account.Free+r.account.Held)
			})
		}
		for _, h := range all {
			f.Release(h.runner, h.task)
		}
		f.Each(func(r *Runner) { require.Equal(t, Resources{}, r.Used()) })
	}
}
