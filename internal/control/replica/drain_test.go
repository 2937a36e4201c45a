package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDrainsOnceOthersHoldFullState drains a chain member while the member that replaces it in the chain lacks the state. The
// machine is permanently lost as soon as the member is drained, and so is the head's a varying number of ticks later: no
// write with a reply may be lost. Regression: the member counted as drained once it knew a view without itself.
func TestDrainsOnceOthersHoldFullState(t *testing.T) {
	for step := range 25 {
		c := newCluster(t, 700+uint64(step), 3)
		c.play(time.Second)
		behind := c.memberOutsideChain()
		c.isolate(behind)
		c.fill(megabyte)
		c.unblockAll()
		c.linkRate = 16 * megabit
		for id := range uint64(5) {
			c.write(id)
			c.play(20 * time.Millisecond)
		}
		head := c.head()
		drained := c.members[head.successor().GetAddress()]
		if step%2 == 1 {
			drained, head = head, drained
		}
		c.do(drained, drained.Drain(c.now))
		for until := c.now + 20*time.Second; c.now < until && !drained.Drained(); {
			c.play(tick)
		}
		require.True(t, drained.Drained(), "the member is not drained after 20 s")
		c.requireSameState(c.head(), drained)
		c.stop(drained, true)
		delete(c.members, drained.address)
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
			require.Equal(t, c.itemsWritten+5, n.Store().Len(), "the only remaining member has all items")
		}
	}
}
