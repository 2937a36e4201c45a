package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// TestFoundingClusterCommitsWrites starts a new cluster: it has a head within a second, and a write has a reply within 50 ms.
func TestFoundingClusterCommitsWrites(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.play(time.Second)
	require.NotNil(t, c.head())
	require.True(t, c.write(1))
	c.play(50 * time.Millisecond)
	require.Equal(t, 1, c.replies[1])
}

// TestWritesContinueAfterHeadLoss stops the head with a power loss: another member serves within 1.2 s, and the old head
// rejoins.
func TestWritesContinueAfterHeadLoss(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.play(time.Second)
	require.True(t, c.write(1))
	c.play(50 * time.Millisecond)
	old := c.head()
	c.stop(old, true)
	c.play(1200 * time.Millisecond)
	require.NotNil(t, c.head())
	c.requireNoWriteLost()
	require.True(t, c.write(2))
	c.play(100 * time.Millisecond)
	require.Equal(t, 1, c.replies[2])
	c.start(old)
	c.play(2 * time.Second)
	c.requireNoWriteLost()
}

// TestIsolatedHeadRepliesToNothing isolates a head before it gets a write, and a read if it is the tail too: neither has a
// result.
func TestIsolatedHeadRepliesToNothing(t *testing.T) {
	c := newCluster(t, 6, 3)
	c.play(time.Second)
	old := c.head()
	c.isolate(old)
	c.write(1)
	if old.isTail() {
		c.do(old, old.Read(c.now, 7))
	}
	c.play(3 * time.Second)
	require.Zero(t, c.replies[1])
	require.False(t, c.reads[7])
	require.NotEqual(t, old, c.head())
	c.unblockAll()
	c.play(2 * time.Second)
	c.requireNoWriteLost()
}

// TestIsolatedHeadDoesNotDisturbNextView reconnects an isolated head: it adopts the view that the others have agreed on and
// does not interrupt that view with a proposal.
func TestIsolatedHeadDoesNotDisturbNextView(t *testing.T) {
	forEachSeed(t, 20, func(t *testing.T, seed uint64) {
		c := newCluster(t, 100+seed, 5)
		c.play(2 * time.Second)
		old := c.head()
		c.isolate(old)
		c.play(4 * time.Second)
		next := c.head()
		require.NotNil(t, next)
		require.NotEqual(t, old.address, next.address)
		epoch := next.Epoch()
		c.unblockAll()
		c.play(2 * time.Second)
		require.Equal(t, next, c.head())
		require.Equal(t, epoch, old.Epoch(), "the reconnected head has to adopt the others' view")
		c.requireNoWriteLost()
	})
}

// TestInvalidViewsAreDropped sends messages with an invalid view: they change only the count of dropped messages.
func TestInvalidViewsAreDropped(t *testing.T) {
	c := newCluster(t, 730, 3)
	c.play(time.Second)
	h := c.head()
	epoch := h.Epoch()
	bad := &protocol.View{Epoch: epoch + 1<<20, Voters: h.View().GetVoters(), Chain: []uint64{77}}
	for _, e := range []*protocol.Envelope{
		{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: bad}}},
		{Body: &protocol.Envelope_Accept{Accept: &protocol.Accept{View: bad}}},
	} {
		c.do(h, h.Receive(c.now, "other", e))
	}
	require.Equal(t, epoch, h.Epoch())
	require.EqualValues(t, 2, h.Status().DroppedMessages)
	require.True(t, c.write(1))
	c.play(100 * time.Millisecond)
	require.Equal(t, 1, c.replies[1])
}
