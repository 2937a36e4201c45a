package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLongestFreeFirst checks that of equal runners the one is picked whose token has been free longest.
func TestLongestFreeFirst(t *testing.T) {
	f := newTestFleet(t, 3, bigRunner)
	demand := taskRequest(1000).Demand
	var order []string
	for i := range 6 {
		r := f.Pick(taskRequest(1000), 0)
		order = append(order, r.ID)
		f.Reserve(r, fmt.Sprint("t", i), demand, Group{})
		f.Release(r, fmt.Sprint("t", i))
	}
	// The oldest token of r0 is older than what was released, and than the tokens of the others.
	require.Equal(t, []string{"r0", "r0", "r0", "r0", "r0", "r0"}, order)
	for i := range 16 {
		f.Reserve(f.runners["r0"], fmt.Sprint("x", i), demand, Group{})
	}
	require.Equal(t, "r1", f.Pick(taskRequest(1000), 0).ID, "the first is full")
	for i := range 16 {
		f.Release(f.runners["r0"], fmt.Sprint("x", i))
	}
	require.Equal(t, "r1", f.Pick(taskRequest(1000), 0).ID, "what was released lies at the end of the ring")
}

func TestCompatible(t *testing.T) {
	f := newTestFleet(t, 4, bigRunner)
	for _, tc := range []struct {
		name string
		req  *Request
		want string // empty for none
	}{
		{"label", taskRequest(100, func(r *Request) { r.Requirement = "b" }), "r1"},
		{"rack of the data", taskRequest(100, func(r *Request) { r.Affinity = "rack1" }), "r2"},
		{"too much processor time", taskRequest(17000), ""},
		{"no GPU", taskRequest(100, func(r *Request) { r.Demand.GPUs = 1 }), ""},
		{"unknown service", &Request{Service: "none"}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := f.Pick(tc.req, 0)
			if tc.want == "" {
				require.Nil(t, r)
				return
			}
			require.Equal(t, tc.want, r.ID)
		})
	}
}

func TestAntiAffinity(t *testing.T) {
	f := newTestFleet(t, 4, bigRunner)
	req := taskRequest(100, func(r *Request) { r.AntiAffinity, r.Group = 1, Group{Job: "j"} })
	used := make(map[string]bool)
	for i := range 4 {
		r := f.Pick(req, 0)
		require.False(t, used[r.ID])
		used[r.ID] = true
		f.Reserve(r, fmt.Sprint(i), req.Demand, req.Group)
	}
	require.Nil(t, f.Pick(req, 0), "each has one task of the group")
	require.Equal(t, 4, f.Explain(req, 0).AntiAffinity)
	f.SetUsable(f.runners["r0"], false)
	require.Equal(t, 1, f.Explain(req, 0).Unusable)
}

func TestSmallTasksAvoidFragmentation(t *testing.T) {
	f := newTestFleet(t, 3, Resources{CPU: 32000, MemMB: 100000, GPUs: 8})
	one := &Request{Service: "svc", Demand: Resources{CPU: 2800, MemMB: 8000, GPUs: 1}}
	first := f.Pick(one, 0)
	f.Reserve(first, "a", one.Demand, Group{})
	for i := range 6 {
		r := f.Pick(one, 0)
		require.Equal(t, first, r)
		f.Reserve(r, fmt.Sprint(i), one.Demand, Group{})
	}
	all := &Request{Service: "svc", Demand: Resources{CPU: 15000, MemMB: 45000, GPUs: 8}}
	require.NotEqual(t, first, f.Pick(all, 0))
}
