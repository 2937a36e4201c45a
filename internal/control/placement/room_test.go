package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// fillTokens reserves small tasks on a runner until it has no free token.
func fillTokens(t *testing.T, f *Fleet, id string, demand Resources) {
	t.Helper()
	r := f.runners[id]
	for i := 0; r.tokens.Free > 0; i++ {
		f.Reserve(r, fmt.Sprint("small", id, i), demand, Group{Job: "small"})
	}
	require.True(t, r.Capacity.CPU > 2*r.Used().CPU, "more than half of the CPU is in use")
}

// TestRoomDecidesNotTokens guards against tasks that wait although there is room: many small tasks had
// all tokens of the runners, and no other task was placed until one of them ended.
func TestRoomDecidesNotTokens(t *testing.T) {
	small := Resources{CPU: 20, MemMB: 1}
	tests := []struct {
		name  string
		small Resources // of the tasks that hold the tokens
		req   *Request
		fits  bool
	}{
		{"ordinary task", small, taskRequest(1000), true},
		{"task beside tasks without CPU", Resources{}, taskRequest(1000), true},
		{"small task", small, taskRequest(1), true},
		{"task without CPU", small, taskRequest(0), true},
		{"task without any demand", small, &Request{Service: "svc"}, true},
		{"task without CPU but with too much memory", small, &Request{Service: "svc", Demand: Resources{MemMB: bigRunner.MemMB}}, false},
		{"task with too much CPU", small, taskRequest(bigRunner.CPU), false},
		{"label", small, taskRequest(1000, func(r *Request) { r.Requirement = "b" }), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newTestFleet(t, 4, bigRunner)
			for id := range f.runners {
				fillTokens(t, f, id, test.small)
			}
			require.Equal(t, test.fits, f.Pick(test.req, 0) != nil)
			require.Equal(t, test.fits, test.req.Demand.Fits(f.MaxFree("svc", test.req.Demand)), "MaxFree")
			gang := *test.req
			gang.Gang = true
			require.Equal(t, test.fits, f.PickGang(&gang, []string{"a", "b"}, 0) != nil, "gang")
			require.Equal(t, test.fits, f.Explain(test.req, 0).Fitting > 0, "Explain")
		})
	}
}

// TestTaskWithoutCPUOnFullRunner checks that a task that needs no CPU is placed on a runner whose CPU
// is all in use, and that the number of such tasks has no limit.
func TestTaskWithoutCPUOnFullRunner(t *testing.T) {
	f := newTestFleet(t, 1, bigRunner)
	f.Reserve(f.runners["r0"], "large", Resources{CPU: bigRunner.CPU}, Group{})
	require.Nil(t, f.Pick(taskRequest(1), 0))
	req := &Request{Service: "svc"}
	for i := range 2 * maxTokens {
		r := f.Pick(req, 0)
		require.NotNil(t, r)
		f.Reserve(r, fmt.Sprint(i), req.Demand, Group{})
	}
	require.Len(t, f.PickGang(&Request{Service: "svc", Gang: true}, []string{"a", "b", "c"}, 0), 3)
	req.Demand.MemMB = bigRunner.MemMB
	require.NotNil(t, f.Pick(req, 0))
	req.Demand.MemMB++
	require.Nil(t, f.Pick(req, 0))
}

// TestRunnersWithoutTokensTakeTurns checks that runners with free tokens come first, that the others are
// chosen by the share of their tokens that is in use, and that released tokens count again.
func TestRunnersWithoutTokensTakeTurns(t *testing.T) {
	f := newTestFleet(t, 3, bigRunner)
	for _, id := range []string{"r0", "r1"} {
		fillTokens(t, f, id, Resources{CPU: 1})
	}
	require.Equal(t, "r2", f.Pick(taskRequest(100), 0).ID)
	fillTokens(t, f, "r2", Resources{CPU: 1})
	picked := make(map[string]int)
	for i := range 30 {
		r := f.Pick(taskRequest(100), 0)
		f.Reserve(r, fmt.Sprint("t", i), Resources{CPU: 100}, Group{})
		picked[r.ID]++
	}
	require.Equal(t, map[string]int{"r0": 10, "r1": 10, "r2": 10}, picked)
	for task := range f.runners["r1"].reservations {
		f.Release(f.runners["r1"], task)
	}
	require.Equal(t, f.runners["r1"].tokens.Limit, f.runners["r1"].tokens.Free)
	require.Equal(t, "r1", f.Pick(taskRequest(100), 0).ID)
}
