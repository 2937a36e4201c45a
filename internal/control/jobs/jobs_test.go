package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

const testJobID = "0123456789abcdef"

// acceptJob submits the test's only job at time 1000 and returns it.
func acceptJob(t *testing.T, table *Table, s *protocol.Submit) *Job {
	t.Helper()
	s.Id, s.Queue = testJobID, "q"
	require.NoError(t, Validate(s))
	return table.Accept(s, "svc", 1000)
}

// startTask starts the next run of a task and returns the run's number.
func startTask(table *Table, s *Step, index int, runner string) uint32 {
	run := s.NextRun(index)
	table.RecordStart(s, index, run, runner, 1000)
	return run
}

// endRun records the end of a task's run at time 2000. The second failed run of a task fails the
// job.
func endRun(table *Table, s *Step, index int, run uint32, runner string, reason EndReason) EndResult {
	name, _ := ParseTask(s.TaskID(index))
	return table.RecordEnd(End{Task: name, Run: run, Runner: runner, Reason: reason}, 2, 2000)
}

func TestDependentStepWaitsForAllTasks(t *testing.T) {
	table := NewTable()
	j := acceptJob(t, table, &protocol.Submit{Stages: []*protocol.Stage{{Count: 2}, {Count: 1, DependsOn: []uint32{0}}}})
	ready := table.TakeReady()
	require.Len(t, ready, 1)
	first := ready[0]
	require.Equal(t, Pending, j.State)
	a, b := startTask(table, first, 0, "r1"), startTask(table, first, 1, "r2")
	require.Equal(t, Running, j.State)
	require.Empty(t, table.TakeReady())
	require.True(t, endRun(table, first, 0, a, "r1", EndDone).Applied)
	require.Empty(t, table.TakeReady(), "the second step must wait for both tasks")
	endRun(table, first, 1, b, "r2", EndDone)
	ready = table.TakeReady()
	require.Len(t, ready, 1)
	require.Equal(t, 1, ready[0].Number)
	endRun(table, ready[0], 0, startTask(table, ready[0], 0, "r1"), "r1", EndDone)
	require.Equal(t, Completed, j.State)
}

func TestEndOfStaleRunIsIgnored(t *testing.T) {
	table := NewTable()
	acceptJob(t, table, &protocol.Submit{Stages: []*protocol.Stage{{Count: 1}}})
	s := table.TakeReady()[0]
	first := startTask(table, s, 0, "r1")
	endRun(table, s, 0, first, "r1", EndLost)
	second := startTask(table, s, 0, "r2")
	require.NotEqual(t, first, second)
	require.False(t, endRun(table, s, 0, first, "r1", EndDone).Applied, "the end of a run that was recorded as lost must be ignored")
	require.False(t, endRun(table, s, 0, second, "r1", EndDone).Applied, "the report of another runner must be ignored")
	require.True(t, endRun(table, s, 0, second, "r2", EndDone).Applied)
	require.False(t, endRun(table, s, 0, second, "r2", EndFailed).Applied, "the run has already ended")
	require.Equal(t, Completed, table.Get(testJobID).State)
}

func TestFailsAfterMaxAttempts(t *testing.T) {
	table := NewTable()
	j := acceptJob(t, table, &protocol.Submit{Stages: []*protocol.Stage{{Count: 2}}})
	s := table.TakeReady()[0]
	startTask(table, s, 1, "r2")
	endRun(table, s, 0, startTask(table, s, 0, "r1"), "r1", EndFailed)
	endRun(table, s, 0, startTask(table, s, 0, "r1"), "r1", EndStopped)
	require.Equal(t, Running, j.State, "a stopped run must not count as failed")
	endRun(table, s, 0, startTask(table, s, 0, "r1"), "r1", EndFailed)
	require.Equal(t, Failed, j.State)
	stopped := table.TakeStops()
	require.Equal(t, []RunRef{{Task: s.TaskID(1), Number: 1, Runner: "r2"}}, stopped)
	require.False(t, s.Ready())
}

func TestGangRestartsAndCompletesTogether(t *testing.T) {
	table := NewTable()
	j := acceptJob(t, table, &protocol.Submit{Stages: []*protocol.Stage{{Count: 3, Gang: true}}})
	s := table.TakeReady()[0]
	for i := range 3 {
		table.RecordStart(s, i, 1, fmt.Sprint("r", i), 1000)
	}
	endRun(table, s, 1, 1, "r1", EndFailed)
	require.False(t, s.GangIdle(), "the runs of two members have not ended")
	endRun(table, s, 0, 1, "r0", EndBroken)
	endRun(table, s, 2, 1, "r2", EndLost)
	require.True(t, s.GangIdle())
	require.Equal(t, 1, s.Failures(2), "a failed run must count for the whole gang")
	require.EqualValues(t, 2, s.NextRun(0))
	for i := range 3 {
		table.RecordStart(s, i, 2, fmt.Sprint("r", i), 1000)
	}
	endRun(table, s, 2, 2, "r2", EndDone)
	require.Equal(t, Completed, j.State, "a gang must be done as soon as one member is")
	require.Equal(t, 2, j.LiveRuns(), "the runs of the other members may still be in progress")
	endRun(table, s, 0, 2, "r0", EndDone)
	endRun(table, s, 1, 2, "r1", EndLost)
	require.Zero(t, j.LiveRuns())
}

func TestOccurrencesAreReleased(t *testing.T) {
	table := NewTable()
	j := acceptJob(t, table, &protocol.Submit{Stages: []*protocol.Stage{{Count: 1}}, MaxRuns: 3, StartAtMs: 5000, IntervalMs: 100})
	require.Empty(t, table.TakeReady())
	table.ReleaseOccurrences(4999)
	require.Empty(t, table.TakeReady())
	table.ReleaseOccurrences(5100)
	ready := table.TakeReady()
	require.Len(t, ready, 2, "both due occurrences must be released, although the first has not ended")
	for _, s := range ready {
		endRun(table, s, 0, startTask(table, s, 0, "r"), "r", EndDone)
	}
	require.Equal(t, Running, j.State)
	table.ReleaseOccurrences(5199)
	require.Empty(t, table.TakeReady())
	table.ReleaseOccurrences(5200)
	ready = table.TakeReady()
	require.Len(t, ready, 1, "the last occurrence must be released at its scheduled time")
	s := ready[0]
	endRun(table, s, 0, startTask(table, s, 0, "r"), "r", EndDone)
	require.Equal(t, Completed, j.State)
}

func TestLongRunningTaskRestarts(t *testing.T) {
	table := NewTable()
	j := acceptJob(t, table, &protocol.Submit{Stages: []*protocol.Stage{{Count: 1, LongRunning: true}}})
	s := table.TakeReady()[0]
	for range 10 {
		endRun(table, s, 0, startTask(table, s, 0, "r"), "r", EndFailed)
		require.Len(t, table.TakeReady(), 1)
	}
	endRun(table, s, 0, startTask(table, s, 0, "r"), "r", EndDone)
	require.Len(t, table.TakeReady(), 1)
	require.Equal(t, Running, j.State)
	run := startTask(table, s, 0, "r")
	require.True(t, table.Cancel(testJobID, 3000))
	require.Len(t, table.TakeStops(), 1)
	endRun(table, s, 0, run, "r", EndStopped)
	require.Empty(t, table.TakeReady())
	require.False(t, table.Cancel("another", 3000))
}

func TestExpire(t *testing.T) {
	table := NewTable()
	acceptJob(t, table, &protocol.Submit{Stages: []*protocol.Stage{{Count: 1}}})
	table.Cancel(testJobID, 3000)
	table.Expire(3000, 10)
	require.NotNil(t, table.Get(testJobID))
	table.Expire(3001, 10)
	require.Nil(t, table.Get(testJobID))
}

// TestLoadRestoresTable checks, after each of many random transitions, that Load rebuilds the same
// table from what was written to the store.
func TestLoadRestoresTable(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table, s := NewTable(), store.New()
		var steps []*Step
		for n := range 6 {
			stages := []*protocol.Stage{{Count: uint32(1 + rng.IntN(3)), Gang: rng.IntN(3) == 0}, {Count: 1, DependsOn: []uint32{0}}}
			submit := &protocol.Submit{Id: fmt.Sprintf("%016x", n), Queue: "q", Stages: stages, MaxRuns: uint32(rng.IntN(3))}
			table.Accept(submit, "svc", int64(n))
		}
		for range 60 {
			steps = append(steps, table.TakeReady()...)
			table.TakeStops()
			if len(steps) == 0 {
				break
			}
			step := steps[rng.IntN(len(steps))]
			if step.Job.Stages == nil {
				continue
			}
			randomTransition(rng, table, step)
			if rng.IntN(20) == 0 {
				table.Cancel(step.Job.ID, 5000)
			}
			applyWrites(table, s)
			restored, err := Load(s)
			require.NoError(t, err)
			requireSameTable(t, table, restored)
		}
	}
}

// applyWrites applies the table's pending writes to a store.
func applyWrites(table *Table, s *store.Store) {
	e := table.TakeWrites().Entry()
	s.Apply(e.GetPuts(), e.GetDeletes())
}

// randomTransition starts a random task of a step, with its gang if it has one, or ends its run.
func randomTransition(rng *rand.Rand, table *Table, step *Step) {
	index := rng.IntN(len(step.Tasks))
	task := &step.Tasks[index]
	switch {
	case task.Phase == Live || task.Phase == DoneLive:
		reasons := []EndReason{EndDone, EndFailed, EndLost, EndStopped}
		endRun(table, step, index, task.Run, task.Runner, reasons[rng.IntN(len(reasons))])
	case step.Stage.GetGang():
		if step.GangIdle() && step.Ready() {
			run := step.NextRun(0)
			for i := range step.Tasks {
				table.RecordStart(step, i, run, "r", 1000)
			}
		}
	case task.Phase == Waiting && step.Ready():
		startTask(table, step, index, "r")
	}
}

// requireSameTable checks that two tables agree in the state that the package's API exposes.
func requireSameTable(t *testing.T, want, got *Table) {
	t.Helper()
	require.Len(t, got.jobs, len(want.jobs))
	want.Each(func(wantJob *Job) {
		gotJob := got.Get(wantJob.ID)
		require.NotNil(t, gotJob)
		require.Equal(t, wantJob.State, gotJob.State, wantJob.ID)
		require.Equal(t, wantJob.LiveRuns(), gotJob.LiveRuns(), wantJob.ID)
		require.Equal(t, wantJob.Stages == nil, gotJob.Stages == nil, wantJob.ID)
		for _, o := range gotJob.occurrences {
			for n, gotStep := range o.Steps {
				if o.Number >= len(wantJob.occurrences) {
					continue
				}
				wantStep := wantJob.occurrences[o.Number].Steps[n]
				require.Equal(t, wantStep.Tasks, gotStep.Tasks, gotStep.TaskID(0))
				require.Equal(t, wantStep.Ready(), gotStep.Ready())
				require.Equal(t, wantStep.Waiting, gotStep.Waiting)
				require.Equal(t, wantStep.NextRun(0), gotStep.NextRun(0))
				for i := range gotStep.Tasks {
					require.Equal(t, wantStep.Failures(i), gotStep.Failures(i))
				}
			}
		}
	})
}
