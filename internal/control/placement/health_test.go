package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEjection(t *testing.T) {
	f := newTestFleet(t, 4, bigRunner)
	bad := f.runners["r0"]
	f.RecordOutcome(bad, "j1", Failure, 0)
	f.RecordOutcome(bad, "j1", Failure, 0)
	require.False(t, bad.Ejected(0), "one job may be at fault itself")
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
	require.Equal(t, "r0", f.Pick(taskRequest(100), later).ID, "it is tried again")
	f.Reserve(bad, "trial", taskRequest(100).Demand, Group{})
	require.NotEqual(t, "r0", f.Pick(taskRequest(100), later).ID, "by one task")
	f.Release(bad, "trial")
	f.RecordOutcome(bad, "j3", Success, later)
	f.Reserve(bad, "more", taskRequest(100).Demand, Group{})
	require.Equal(t, "r0", f.Pick(taskRequest(100), later).ID, "a success ends the probation")
}

// eject records failures of two jobs, which eject a runner.
func eject(f *Fleet, r *Runner) {
	for i := range 2 {
		f.RecordOutcome(r, fmt.Sprint("j", i), Failure, 0)
	}
}

func TestEjectionIsBounded(t *testing.T) {
	f := newTestFleet(t, 4, bigRunner)
	for i := range 3 {
		eject(f, f.runners[fmt.Sprint("r", i)])
	}
	require.Equal(t, "r3", f.Pick(taskRequest(100), 0).ID, "ejected runners come last")
	f.SetUsable(f.runners["r3"], false)
	require.Equal(t, "r0", f.Pick(taskRequest(100), 0).ID, "where most are ejected none is kept out")
	alone := newTestFleet(t, 1, bigRunner)
	eject(alone, alone.runners["r0"])
	require.NotNil(t, alone.Pick(taskRequest(100), 0), "nor where there is but one")
}
