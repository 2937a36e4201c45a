package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// TestDrainsOnceOthersHoldFullState has a chain member leave while its place in the chain has to be taken by one that
// lacks the state. As soon as it may leave its machine is gone for good, and a moment later, at each of many steps, so
// is the head's: nothing that was answered may be lost. It used to end when it had heard of a view without it.
func TestDrainsOnceOthersHoldFullState(t *testing.T) {
	for step := range 25 {
		c := newCluster(t, 700+uint64(step), 3)
		c.play(time.Second)
		behind := c.memberOutsideChain()
		c.isolate(behind)
		c.fill(megabyte)
		clear(c.blocked)
		c.linkRate = 16 * megabit
		for id := range uint64(5) {
			c.write(id)
			c.play(20 * time.Millisecond)
		}
		head := c.head()
		leaving := c.members[head.successor().GetAddress()]
		if step%2 == 1 {
			leaving, head = head, leaving
		}
		c.do(leaving, leaving.Drain(c.now))
		for until := c.now + 20*time.Second; c.now < until && !leaving.Drained(); {
			c.play(tick)
		}
		require.True(t, leaving.Drained())
		c.requireSameState(c.head(), leaving)
		c.stop(leaving, true)
		delete(c.members, leaving.address)
		c.play(time.Duration(step) * tick)
		c.stop(c.head(), true)
		departed := c.members[head.address]
		for _, n := range c.members {
			if !n.running {
				departed = n
			}
		}
		delete(c.members, departed.address)
		require.Len(t, c.members, 1)
		for _, n := range c.members {
			require.Equal(t, c.itemsWritten+5, n.Store().Len(), "the only one left has all")
		}
	}
}

// TestInvalidViewsAreDropped has messages with views that can't be change nothing but a count.
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

// TestDepartedPeersAreForgotten has one machine lose its disk again and again: identities that nobody uses any
// more are not remembered for ever.
func TestDepartedPeersAreForgotten(t *testing.T) {
	c := newCluster(t, 731, 3)
	c.play(time.Second)
	for range 12 {
		n := c.memberOutsideChain()
		c.stop(n, true)
		c.wipe(n)
		c.start(n)
		c.play(10 * time.Second)
	}
	require.LessOrEqual(t, len(c.head().peers), 2+int(peerRetention/(10*time.Second))+1)
}
