package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

var bigRunner = Resources{CPU: 16000, MemMB: 32768}

// newTestFleet returns runners r0, r1, ... of a service, in racks of two, with the labels "a" and "b" in turn.
func newTestFleet(t *testing.T, count int, capacity Resources) *Fleet {
	t.Helper()
	f := NewFleet()
	for i := range count {
		r, rack := f.Add(fmt.Sprint("r", i)), fmt.Sprint("rack", i/2)
		f.UpdateRunner(r, "svc", rack, []string{rack, []string{"a", "b"}[i%2]}, capacity)
		f.SetUsable(r, true)
	}
	return f
}

// taskRequest returns a request for little memory and a given processor time, with changes to it.
func taskRequest(cpu int64, change ...func(*Request)) *Request {
	req := &Request{Service: "svc", Demand: Resources{CPU: cpu, MemMB: 100}}
	for _, c := range change {
		c(req)
	}
	return req
}

// testReservation names a reservation of a test.
type testReservation struct {
	runner *Runner
	task   string
}

// TestNeverOverCapacity checks each runner's resources and tokens over random work.
func TestNeverOverCapacity(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newTestFleet(t, 5, Resources{CPU: 16000, MemMB: 32768, GPUs: 4})
		var all []testReservation
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
				all = append(all, testReservation{r, fmt.Sprint(i)})
			}
			for _, r := range f.runners {
				free := r.Free()
				require.True(t, free.CPU >= 0 && free.MemMB >= 0 && free.GPUs >= 0, "%s is over its capacity", r.ID)
				require.Equal(t, r.tokens.Limit, r.tokens.Free+r.tokens.InUse)
			}
		}
		for _, h := range all {
			f.Release(h.runner, h.task)
		}
		for _, r := range f.runners {
			require.Equal(t, Resources{}, r.Used())
		}
	}
}
