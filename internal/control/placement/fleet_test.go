package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// bigRunner is the capacity of a runner without GPUs.
var bigRunner = Resources{CPU: 16000, MemMB: 32768}

// newTestFleet returns a fleet of usable runners r0, r1, ... of the service "svc" with the same
// capacity. Two consecutive runners share a rack, rack0, rack1, ...; the labels "a" and "b"
// alternate.
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

// taskRequest returns a request for the given CPU, in thousandths of a core, and 100 MB, modified
// by the given functions.
func taskRequest(cpu int64, changes ...func(*Request)) *Request {
	req := &Request{Service: "svc", Demand: Resources{CPU: cpu, MemMB: 100}}
	for _, modify := range changes {
		modify(req)
	}
	return req
}

// testReservation identifies a reservation made by a test.
type testReservation struct {
	runner *Runner
	task   string
}

// TestNeverOverCapacity reserves and releases random demands, and checks after each step that no
// runner's resources are overcommitted, that its free and used tokens add up to its limit, and that
// releasing all reservations leaves none.
func TestNeverOverCapacity(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newTestFleet(t, 5, Resources{CPU: 16000, MemMB: 32768, GPUs: 4})
		var reservations []testReservation
		for i := range 400 {
			if rng.IntN(2) == 0 && len(reservations) > 0 {
				index := rng.IntN(len(reservations))
				f.Release(reservations[index].runner, reservations[index].task)
				reservations = append(reservations[:index], reservations[index+1:]...)
				continue
			}
			req := &Request{Service: "svc", Demand: Resources{CPU: int64(rng.IntN(9000)), MemMB: int64(rng.IntN(20000)), GPUs: int64(rng.IntN(3))}}
			if r := f.Pick(req, 0); r != nil {
				f.Reserve(r, fmt.Sprint(i), req.Demand, Group{})
				reservations = append(reservations, testReservation{r, fmt.Sprint(i)})
			}
			for _, r := range f.runners {
				free := r.Free()
				require.True(t, free.CPU >= 0 && free.MemMB >= 0 && free.GPUs >= 0, "free capacity of %s: got a negative amount, want at least 0", r.ID)
				require.Equal(t, r.tokens.Limit, r.tokens.Free+r.tokens.InUse)
			}
		}
		for _, reservation := range reservations {
			f.Release(reservation.runner, reservation.task)
		}
		for _, r := range f.runners {
			require.Equal(t, Resources{}, r.Used())
		}
	}
}
