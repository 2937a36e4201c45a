package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLongestFreeFirst checks that Pick chooses, among runners of equal rank, the runner whose
// token has been free longest.
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
	// In the ring, the oldest token of r0 precedes the released tokens and those of the other
	// runners.
	require.Equal(t, []string{"r0", "r0", "r0", "r0", "r0", "r0"}, order)
	for i := range 16 {
		f.Reserve(f.runners["r0"], fmt.Sprint("x", i), demand, Group{})
	}
	require.Equal(t, "r1", f.Pick(taskRequest(1000), 0).ID, "runner picked while r0 is full")
	for i := range 16 {
		f.Release(f.runners["r0"], fmt.Sprint("x", i))
	}
	require.Equal(t, "r1", f.Pick(taskRequest(1000), 0).ID, "runner picked after all of r0's tokens have been released, which puts them at the end of the ring")
}

// TestPickConstraints checks which runner, if any, Pick returns for requests with different
// constraints and preferences.
func TestPickConstraints(t *testing.T) {
	f := newTestFleet(t, 4, bigRunner)
	for _, tc := range []struct {
		name string
		req  *Request
		want string // empty for none
	}{
		{"label", taskRequest(100, func(r *Request) { r.Requirement = "b" }), "r1"},
		{"rack of the data", taskRequest(100, func(r *Request) { r.Affinity = "rack1" }), "r2"},
		{"too much CPU", taskRequest(17000), ""},
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

// TestAntiAffinity checks that a runner gets no more tasks of a group than the request's limit, and
// that Explain counts the runners that are excluded for it.
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
	require.Nil(t, f.Pick(req, 0), "runner picked with one task of the group on each, want nil")
	require.Equal(t, 4, f.Explain(req, 0).AntiAffinity)
	f.SetUsable(f.runners["r0"], false)
	require.Equal(t, 1, f.Explain(req, 0).Unusable)
}

// TestSmallTasksAvoidFragmentation checks that tasks that need one GPU share a runner, which keeps
// the GPUs of the others free for a task that needs all eight.
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
