package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

// TestPendingCounts compares the counts, kept by changes, with a walk over the store: jobs that were accepted and of
// which no task has begun.
func TestPendingCounts(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s, counts := store.New(), PendingCounts{}
	s.Watch(func(key string, oldValue, newValue []byte) { counts.Update(key, oldValue, newValue) })
	table := NewTable()
	var all []*Job
	for i := range 2000 {
		queue := []string{"a", "b"}[rng.IntN(2)]
		if rng.IntN(2) == 0 || len(all) == 0 {
			all = append(all, table.Accept(&protocol.Submit{Id: fmt.Sprintf("%016x", i), Queue: queue, Stages: []*protocol.Stage{{Count: 1}}}, "svc", int64(i)))
		} else {
			job := all[rng.IntN(len(all))]
			switch step := (*Step)(nil); {
			case rng.IntN(3) == 0:
				table.Cancel(job.ID, int64(i))
			case len(job.occurrences) > 0:
				if step = job.occurrences[0].Steps[0]; step.Waiting > 0 && !job.State.Final() {
					table.RecordStart(step, 0, 1, "r", int64(i))
				}
			}
		}
		table.Expire(int64(i-500), 3)
		e := table.TakeWrites().Entry()
		s.Apply(e.GetPuts(), e.GetDeletes())
		want := map[string]int{}
		s.Each(func(key string, value []byte) {
			if key[:len(statusPrefix)] == statusPrefix {
				item, err := ParseStatus(value)
				require.NoError(t, err)
				if item.State == Pending {
					want[item.Queue]++
				}
			}
		})
		require.Equal(t, want["a"], counts.Count("a"))
		require.Equal(t, want["b"], counts.Count("b"))
	}
	require.Positive(t, counts.Count("a"))
	var restarted PendingCounts
	s.Watch(func(key string, oldValue, newValue []byte) { restarted.Update(key, oldValue, newValue) })
	require.Equal(t, counts.Count("a"), restarted.Count("a"), "a store that was there before")
}
