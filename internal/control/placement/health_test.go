package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEjection follows a runner through its health: failures of one job do not eject it, failures
// of two jobs do, and after ejectionTime it gets one task at a time until a run succeeds.
func TestEjection(t *testing.T) {
	f := newTestFleet(t, 4, bigRunner)
	bad := f.runners["r0"]
	f.RecordOutcome(bad, "j1", Failure, 0)
	f.RecordOutcome(bad, "j1", Failure, 0)
	require.False(t, bad.Ejected(0), "ejected after two failures of the same job, which may be at fault itself")
	again := taskRequest(100, func(r *Request) { r.Avoid = "r0" })
	require.NotEqual(t, "r0", f.Pick(again, 0).ID)
	last := taskRequest(100, func(r *Request) { r.LastAttempt = true })
	require.NotEqual(t, "r0", f.Pick(last, 0).ID)
	f.RecordOutcome(bad, "j2", Failure, time.Second)
	require.True(t, bad.Ejected(time.Second))
	for range 20 {
		require.NotEqual(t, "r0", f.Pick(taskRequest(100), time.Second).ID)
	}
	later := time.Second + ejectionTime
	require.Equal(t, "r0", f.Pick(taskRequest(100), later).ID, "want the runner on probation to get a task after ejectionTime")
	f.Reserve(bad, "trial", taskRequest(100).Demand, Group{})
	require.NotEqual(t, "r0", f.Pick(taskRequest(100), later).ID, "want the runner on probation to get only one task at a time")
	f.Release(bad, "trial")
	f.RecordOutcome(bad, "j3", Success, later)
	f.Reserve(bad, "more", taskRequest(100).Demand, Group{})
	require.Equal(t, "r0", f.Pick(taskRequest(100), later).ID, "want a success to end the probation")
}

// eject records failures of two jobs on a runner, which eject it.
func eject(f *Fleet, r *Runner) {
	for i := range 2 {
		f.RecordOutcome(r, fmt.Sprint("j", i), Failure, 0)
	}
}

// TestEjectionIsBounded checks that ejection is not enforced if most runners are ejected or there
// is only one.
func TestEjectionIsBounded(t *testing.T) {
	f := newTestFleet(t, 4, bigRunner)
	for i := range 3 {
		eject(f, f.runners[fmt.Sprint("r", i)])
	}
	require.Equal(t, "r3", f.Pick(taskRequest(100), 0).ID, "runner picked with three of four ejected, want the healthy one first")
	f.SetUsable(f.runners["r3"], false)
	require.Equal(t, "r0", f.Pick(taskRequest(100), 0).ID, "runner picked with all usable ones ejected, want the ejection to be ignored")
	alone := newTestFleet(t, 1, bigRunner)
	eject(alone, alone.runners["r0"])
	require.NotNil(t, alone.Pick(taskRequest(100), 0), "only runner ejected: got no runner, want it to be picked")
}
