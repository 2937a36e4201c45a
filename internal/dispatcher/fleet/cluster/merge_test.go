package cluster

import (
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/dispatcher/fleet/replica"
)

// TestRedeliver checks which facts are queued for delivery again once the member that reported them
// is known to be alive: those on serving runners of the own discovery, which deliver had skipped.
func TestRedeliver(t *testing.T) {
	c := &Cluster{store: replica.New(replica.DefaultBounds()), source: "one"}
	for _, f := range []replica.Fact{
		{Key: replica.Key{Kind: replica.Runner, Name: "s-1", Scope: "one"}, State: replica.Serving, Rev: 1, Entry: []byte(`{}`), At: 1, By: "d1"},
		{Key: replica.Key{Kind: replica.Runner, Name: "s-2", Scope: "one"}, State: replica.Draining, Rev: 1, Entry: []byte(`{}`), At: 1, By: "d1"},
		{Key: replica.Key{Kind: replica.Runner, Name: "s-3", Scope: "two"}, State: replica.Serving, Rev: 1, Entry: []byte(`{}`), At: 1, By: "d1"},
		{Key: replica.Key{Kind: replica.Runner, Name: "s-4", Scope: "one"}, State: replica.Serving, Rev: 1, Entry: []byte(`{}`), At: 1, By: "d2"},
	} {
		outcome, _, err := c.store.Merge(f, 1)
		require.NoError(t, err)
		require.Equal(t, replica.Accepted, outcome)
	}
	c.redeliver("d1")
	require.Len(t, c.undelivered, 1)
	require.Equal(t, "s-1", c.undelivered[0].Name)
}
