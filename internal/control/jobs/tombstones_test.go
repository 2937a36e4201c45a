package jobs

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

// TestTombstonesAreKeptAndBounded checks that a tombstone outlives a restart from the store, that it
// expires in the end, and that no more than maxTombstones are kept: those that are there stay.
func TestTombstonesAreKeptAndBounded(t *testing.T) {
	table, s := NewTable(), store.New()
	id := func(i int) string { return fmt.Sprintf("%016x", i) }
	for i := range maxTombstones {
		require.NoError(t, table.AddTombstone(id(i), "q", int64(1000+i)))
	}
	applyWrites(table, s)
	restored, err := Load(s)
	require.NoError(t, err)
	for _, table := range []*Table{table, restored} {
		require.ErrorIs(t, table.AddTombstone(id(maxTombstones), "q", 5000), ErrTooManyTombstones)
		require.NoError(t, table.AddTombstone(id(0), "q", 5000), "the same ID again")
		require.NoError(t, table.AddTombstone("no ID", "q", 5000))
		require.Len(t, table.tombstones, maxTombstones)
	}
	restored.Expire(1003, 1)
	require.True(t, restored.HasTombstone(id(0)), "canceled once more")
	require.False(t, restored.HasTombstone(id(1)))
	require.True(t, restored.HasTombstone(id(2)), "only one is removed at a time")
	restored.Expire(1003, 10)
	applyWrites(restored, s)
	require.False(t, restored.HasTombstone(id(2)))
	require.True(t, restored.HasTombstone(id(3)))
	again, err := Load(s)
	require.NoError(t, err)
	require.True(t, maps.Equal(restored.tombstones, again.tombstones))
}

// TestCanceledAfterItsEnd checks that a job which is canceled after its end is retained from then on,
// also by a table that is loaded from the store, and that others expire before it.
func TestCanceledAfterItsEnd(t *testing.T) {
	table, s := NewTable(), store.New()
	const otherID = "00000000000000ff"
	acceptJob(t, table, &protocol.Submit{Stages: []*protocol.Stage{{Count: 1}}})
	table.Accept(&protocol.Submit{Id: otherID, Queue: "q", Stages: []*protocol.Stage{{Count: 1}}}, "svc", 1000)
	require.True(t, table.Cancel(testJobID, 2000))
	require.True(t, table.Cancel(otherID, 3000))
	require.True(t, table.Cancel(testJobID, 4000))
	applyWrites(table, s)
	restored, err := Load(s)
	require.NoError(t, err)
	for _, table := range []*Table{table, restored} {
		require.EqualValues(t, 2000, table.Get(testJobID).EndedMs)
		table.Expire(3500, 10)
		require.Nil(t, table.Get(otherID))
		require.NotNil(t, table.Get(testJobID))
		table.Expire(4001, 10)
		require.Nil(t, table.Get(testJobID))
	}
}
