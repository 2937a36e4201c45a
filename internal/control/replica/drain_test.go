package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDrainsOnceOthersHoldFullState drains a chain member whose successor in the chain lacks the state. As soon as it is
// drained its machine is lost for good, and a moment later, at each of many steps, so is the head's: no write with a reply
// may be lost. Regression: it ended when it had learned of a view without it.
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
		require.True(t, drained.Drained())
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
			require.Equal(t, c.itemsWritten+5, n.Store().Len(), "the only member left has all items")
		}
	}
}
