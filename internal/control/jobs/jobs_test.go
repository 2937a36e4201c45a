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

// accept accepts the one job of a test.
func accept(t *testing.T, table *Table, s *protocol.Submit) *Job {
	t.Helper()
	s.Id, s.Queue = testJobID, "q"
	require.NoError(t, Validate(s))
	return table.Accept(s, "svc", 1000)
}

// start starts a task as the next run and returns its number.
func start(table *Table, s *Step, index int, runner string) uint32 {
	run := s.NextRun(index)
	table.RecordStart(s, index, run, runner, 1000)
	return run
}

// end records the end of a task's run; a task may have two failed runs.
func end(table *Table, s *Step, index int, run uint32, runner string, reason EndReason) EndResult {
	name, _ := ParseTask(s.TaskID(index))
	return table.RecordEnd(End{Task: name, Run: run, Runner: runner, Reason: reason}, 2, 2000)
}

func TestStepsFollowEachOther(t *testing.T) {
	table := NewTable()
	j := accept(t, table, &protocol.Submit{Stages: []*protocol.Stage{{Count: 2}, {Count: 1, DependsOn: []uint32{0}}}})
	ready := table.TakeReady()
	require.Len(t, ready, 1)
	first := ready[0]
	require.Equal(t, Pending, j.State)
	a, b := start(table, first, 0, "r1"), start(table, first, 1, "r2")
	require.Equal(t, Running, j.State)
	require.Empty(t, table.TakeReady())
	require.True(t, end(table, first, 0, a, "r1", EndDone).Applied)
	require.Empty(t, table.TakeReady(), "the second step waits for both tasks")
	end(table, first, 1, b, "r2", EndDone)
	ready = table.TakeReady()
	require.Len(t, ready, 1)
	require.Equal(t, 1, ready[0].Number)
	end(table, ready[0], 0, start(table, ready[0], 0, "r1"), "r1", EndDone)
	require.Equal(t, Completed, j.State)
}

func TestEndsOfOtherRunsDontCount(t *testing.T) {
	table := NewTable()
	accept(t, table, &protocol.Submit{Stages: []*protocol.Stage{{Count: 1}}})
	s := table.TakeReady()[0]
	first := start(table, s, 0, "r1")
	end(table, s, 0, first, "r1", EndLost)
	second := start(table, s, 0, "r2")
	require.NotEqual(t, first, second)
	require.False(t, end(table, s, 0, first, "r1", EndDone).Applied, "the first run was given up")
	require.False(t, end(table, s, 0, second, "r1", EndDone).Applied, "another runner says so")
	require.True(t, end(table, s, 0, second, "r2", EndDone).Applied)
	require.False(t, end(table, s, 0, second, "r2", EndFailed).Applied, "it has ended already")
	require.Equal(t, Completed, table.Get(testJobID).State)
}

func TestFailsAfterMaxAttempts(t *testing.T) {
	table := NewTable()
	j := accept(t, table, &protocol.Submit{Stages: []*protocol.Stage{{Count: 2}}})
	s := table.TakeReady()[0]
	start(table, s, 1, "r2")
	end(table, s, 0, start(table, s, 0, "r1"), "r1", EndFailed)
	end(table, s, 0, start(table, s, 0, "r1"), "r1", EndStopped)
	require.Equal(t, Running, j.State, "a stop is no failure")
	end(table, s, 0, start(table, s, 0, "r1"), "r1", EndFailed)
	require.Equal(t, Failed, j.State)
	stopped := table.TakeStops()
	require.Equal(t, []RunRef{{Task: s.TaskID(1), Number: 1, Runner: "r2"}}, stopped)
	require.False(t, s.Ready())
}

func TestGangEndsTogether(t *testing.T) {
	table := NewTable()
	j := accept(t, table, &protocol.Submit{Stages: []*protocol.Stage{{Count: 3, Gang: true}}})
	s := table.TakeReady()[0]
	for i := range 3 {
		table.RecordStart(s, i, 1, fmt.Sprint("r", i), 1000)
	}
	end(table, s, 1, 1, "r1", EndFailed)
	require.False(t, s.GangIdle(), "two members have not ended")
	end(table, s, 0, 1, "r0", EndBroken)
	end(table, s, 2, 1, "r2", EndLost)
	require.True(t, s.GangIdle())
	require.Equal(t, 1, s.Failures(2), "a failed run counts for the whole gang")
	require.EqualValues(t, 2, s.NextRun(0))
	for i := range 3 {
		table.RecordStart(s, i, 2, fmt.Sprint("r", i), 1000)
	}
	end(table, s, 2, 2, "r2", EndDone)
	require.Equal(t, Completed, j.State, "one member that is done stands for all")
	require.Equal(t, 2, j.LiveRuns(), "the others' runs are not known to have ended")
	end(table, s, 0, 2, "r0", EndDone)
	end(table, s, 1, 2, "r1", EndLost)
	require.Zero(t, j.LiveRuns())
}

func TestOccurrencesAreReleased(t *testing.T) {
	table := NewTable()
	j := accept(t, table, &protocol.Submit{Stages: []*protocol.Stage{{Count: 1}}, MaxRuns: 3, StartAtMs: 5000, IntervalMs: 100})
	require.Empty(t, table.TakeReady())
	table.ReleaseOccurrences(4999)
	require.Empty(t, table.TakeReady())
	table.ReleaseOccurrences(5100)
	ready := table.TakeReady()
	require.Len(t, ready, 2, "occurrences may overlap")
	for _, s := range ready {
		end(table, s, 0, start(table, s, 0, "r"), "r", EndDone)
	}
	require.Equal(t, Running, j.State)
	table.ReleaseOccurrences(5199)
	require.Empty(t, table.TakeReady())
	table.ReleaseOccurrences(5200)
	ready = table.TakeReady()
	require.Len(t, ready, 1, "the last occurrence, at its scheduled time")
	s := ready[0]
	end(table, s, 0, start(table, s, 0, "r"), "r", EndDone)
	require.Equal(t, Completed, j.State)
}

func TestLongRunningTaskRestarts(t *testing.T) {
	table := NewTable()
	j := accept(t, table, &protocol.Submit{Stages: []*protocol.Stage{{Count: 1, LongRunning: true}}})
	s := table.TakeReady()[0]
	for range 10 {
		end(table, s, 0, start(table, s, 0, "r"), "r", EndFailed)
		require.Len(t, table.TakeReady(), 1)
	}
	end(table, s, 0, start(table, s, 0, "r"), "r", EndDone)
	require.Len(t, table.TakeReady(), 1)
	require.Equal(t, Running, j.State)
	run := start(table, s, 0, "r")
	require.True(t, table.Cancel(testJobID, 3000))
	require.Len(t, table.TakeStops(), 1)
	end(table, s, 0, run, "r", EndStopped)
	require.Empty(t, table.TakeReady())
	require.False(t, table.Cancel("another", 3000))
}

func TestExpire(t *testing.T) {
	table := NewTable()
	accept(t, table, &protocol.Submit{Stages: []*protocol.Stage{{Count: 1}}})
	table.Cancel(testJobID, 3000)
	table.Expire(3000, 10)
	require.NotNil(t, table.Get(testJobID))
	table.Expire(3001, 10)
	require.Nil(t, table.Get(testJobID))
}

// TestLoadRestoresTable compares tables after random histories with those that Load makes of what they have written.
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
			flush(table, s)
			restored, err := Load(s)
			require.NoError(t, err)
			requireSameTable(t, table, restored)
		}
	}
}

// flush applies what has changed to a store.
func flush(table *Table, s *store.Store) {
	e := table.TakeWrites().Entry()
	s.Apply(e.GetPuts(), e.GetDeletes())
}

// randomTransition starts or ends a random task of a step, or its gang.
func randomTransition(rng *rand.Rand, table *Table, step *Step) {
	index := rng.IntN(len(step.Tasks))
	task := &step.Tasks[index]
	switch {
	case task.Phase == Live || task.Phase == DoneLive:
		reasons := []EndReason{EndDone, EndFailed, EndLost, EndStopped}
		end(table, step, index, task.Run, task.Runner, reasons[rng.IntN(len(reasons))])
	case step.Stage.GetGang():
		if step.GangIdle() && step.Ready() {
			run := step.NextRun(0)
			for i := range step.Tasks {
				table.RecordStart(step, i, run, "r", 1000)
			}
		}
	case task.Phase == Waiting && step.Ready():
		start(table, step, index, "r")
	}
}

// requireSameTable compares two tables as far as they show.
func requireSameTable(t *testing.T, a, b *Table) {
	t.Helper()
	require.Len(t, b.jobs, len(a.jobs))
	a.Each(func(j *Job) {
		other := b.Get(j.ID)
		require.NotNil(t, other)
		require.Equal(t, j.State, other.State, j.ID)
		require.Equal(t, j.LiveRuns(), other.LiveRuns(), j.ID)
		require.Equal(t, j.Stages == nil, other.Stages == nil, j.ID)
		for _, o := range other.occurrences {
			for n, s := range o.Steps {
				if o.Number >= len(j.occurrences) {
					continue
				}
				mine := j.occurrences[o.Number].Steps[n]
				require.Equal(t, mine.Tasks, s.Tasks, s.TaskID(0))
				require.Equal(t, mine.Ready(), s.Ready())
				require.Equal(t, mine.Waiting, s.Waiting)
				require.Equal(t, mine.NextRun(0), s.NextRun(0))
				for i := range s.Tasks {
					require.Equal(t, mine.Failures(i), s.Failures(i))
				}
			}
		}
	})
}
