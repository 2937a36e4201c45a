package jobs

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

// TestPendingCounts compares the incrementally updated counts with a scan of the store after each
// of many random changes, and checks that counts attached to a filled store start with its jobs.
func TestPendingCounts(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s, counts := store.New(), PendingCounts{}
	s.Watch(counts.Update)
	table := NewTable()
	var all []*Job
	for i := range 2000 {
		queue := []string{"a", "b"}[rng.IntN(2)]
		if rng.IntN(2) == 0 || len(all) == 0 {
			submit := &protocol.Submit{Id: fmt.Sprintf("%016x", i), Queue: queue, Stages: []*protocol.Stage{{Count: 1}}}
			all = append(all, table.Accept(submit, "svc", int64(i)))
		} else {
			cancelOrStart(rng, table, all[rng.IntN(len(all))], int64(i))
		}
		table.Expire(int64(i-500), 3)
		applyWrites(table, s)
		want := pendingByQueue(t, s)
		require.Equal(t, want["a"], counts.Count("a"))
		require.Equal(t, want["b"], counts.Count("b"))
	}
	require.Positive(t, counts.Count("a"))
	var attachedLate PendingCounts
	s.Watch(attachedLate.Update)
	require.Equal(t, counts.Count("a"), attachedLate.Count("a"), "counts attached to a filled store")
}

// cancelOrStart cancels a job, or starts its task if that is waiting.
func cancelOrStart(rng *rand.Rand, table *Table, j *Job, nowMs int64) {
	if rng.IntN(3) == 0 {
		table.Cancel(j.ID, nowMs)
		return
	}
	if len(j.occurrences) == 0 || j.State.Final() {
		return
	}
	if step := j.occurrences[0].Steps[0]; step.Waiting > 0 {
		table.RecordStart(step, 0, 1, "r", nowMs)
	}
}

// pendingByQueue counts the pending jobs of each queue by scanning the store.
func pendingByQueue(t *testing.T, s *store.Store) map[string]int {
	t.Helper()
	pending := make(map[string]int)
	s.ForEach(func(key string, value []byte) {
		if !strings.HasPrefix(key, statusPrefix) {
			return
		}
		item, err := ParseStatus(value)
		require.NoError(t, err)
		if item.State == Pending {
			pending[item.Queue]++
		}
	})
	return pending
}
