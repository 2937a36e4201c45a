package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

const (
	megabit   = 1_000_000 / 8 // bytes a second
	megabyte  = 1 << 20
	itemBytes = 4000
)

// fill writes items of itemBytes each, many to an entry, until the state has about a number of bytes more.
func (c *cluster) fill(bytes int) {
	c.t.Helper()
	const perEntry = 100
	for written := 0; written < bytes; {
		h := c.awaitHead()
		e := &protocol.Entry{}
		for range perEntry {
			c.itemsWritten++
			value := make([]byte, itemBytes)
			copy(value, fmt.Sprintf("value %d", c.itemsWritten))
			e.Puts = append(e.Puts, &protocol.Put{Key: fmt.Sprintf("item%d", c.itemsWritten), Value: value})
			written += itemBytes
		}
		_, a, ok := h.Append(c.now, e)
		require.True(c.t, ok)
		c.do(h, a)
		c.play(20 * time.Millisecond)
	}
	c.play(200 * time.Millisecond)
}

// isolate cuts a member from all others.
func (c *cluster) isolate(n *node) {
	for address := range c.members {
		c.blocked[[2]string{address, n.address}] = true
		c.blocked[[2]string{n.address, address}] = true
	}
}

// memberOutsideChain returns a living member outside the chain.
func (c *cluster) memberOutsideChain() *node {
	for _, address := range []string{"m1", "m2", "m3", "m4", "m5"} {
		if n := c.members[address]; n != nil && n.running && n.chainPosition() < 0 {
			return n
		}
	}
	return nil
}

// awaitWrite plays until a write is answered and returns how long that took.
func (c *cluster) awaitWrite(id uint64, within time.Duration) time.Duration {
	c.t.Helper()
	began := c.now
	for c.now-began < within {
		if h := c.head(); h != nil && h.CanAppend() && c.replies[id] == 0 {
			c.write(id)
		}
		c.play(50 * time.Millisecond)
		if c.replies[id] > 0 {
			return c.now - began
		}
	}
	c.t.Fatalf("no write is answered within %v", within)
	return 0
}

// awaitHead returns the member that serves, once there is one: each change of the view takes a moment.
func (c *cluster) awaitHead() *node {
	c.t.Helper()
	for until := c.now + time.Second; c.head() == nil && c.now < until; {
		c.play(tick)
	}
	require.NotNil(c.t, c.head(), "nobody serves for a second")
	return c.head()
}

// requireSameState fails unless a member holds just what another does.
func (c *cluster) requireSameState(a, b *node) {
	c.t.Helper()
	require.Equal(c.t, a.Store().Len(), b.Store().Len())
	require.Equal(c.t, store.CombineDigests(a.Store().Digests()), store.CombineDigests(b.Store().Digests()))
}

// TestLostChunkIsRequestedAgain loses pieces of the state on its way to a member that joins the chain. It used to
// say that it has installed the state with what had arrived; as the head it then lost what had been acknowledged.
func TestLostChunkIsRequestedAgain(t *testing.T) {
	for lost := range 8 {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			c := newCluster(t, 500+uint64(lost), 3)
			c.play(time.Second)
			behind := c.memberOutsideChain()
			c.isolate(behind)
			c.fill(2 * megabyte)
			clear(c.blocked)
			chunks := 0
			c.drop = func(_, _ string, e *protocol.Envelope) bool {
				if e.GetSyncReply() == nil {
					return false
				}
				chunks++
				return chunks%8 == lost
			}
			successor := c.members[c.head().successor().GetAddress()]
			c.stop(successor, true)
			c.awaitWrite(1, 20*time.Second)
			require.Greater(t, chunks, 8)
			c.requireSameState(c.head(), behind)
			c.stop(c.head(), true)
			c.start(successor)
			c.awaitWrite(2, 20*time.Second)
			require.Equal(t, c.itemsWritten+2, c.head().Store().Len())
			c.requireNoWriteLost()
		})
	}
}

// TestFollowerHasNoGaps loses a quarter of what is sent while a member outside the chain takes the state: it says
// that it follows only with all of it.
func TestFollowerHasNoGaps(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(t, 520+seed, 3)
		c.play(time.Second)
		c.fill(megabyte)
		behind := c.memberOutsideChain()
		c.stop(behind, true)
		c.wipe(behind)
		c.start(behind)
		c.lossRate = 0.25
		for range 200 {
			c.play(50 * time.Millisecond)
			if c.head() != nil && behind.chain.following && behind.Epoch() == c.head().Epoch() && behind.Index() == c.head().Index() {
				c.requireSameState(c.head(), behind)
			}
		}
		c.lossRate = 0
		c.play(3 * time.Second)
		require.True(t, behind.chain.following || behind.chainPosition() >= 0)
		c.requireSameState(c.head(), behind)
	}
}

// TestSlowLinks has members take their state over links of all speeds: a newcomer, and a member that the chain
// needs. It used to start over where a piece took longer than syncRetry, or the whole longer than Install.
func TestSlowLinks(t *testing.T) {
	for _, megabits := range []int{4, 8, 16, 100, 1000} {
		t.Run(fmt.Sprintf("newcomer at %d Mbit/s", megabits), func(t *testing.T) {
			c := newCluster(t, 540, 3)
			c.play(time.Second)
			c.fill(2 * megabyte)
			c.linkRate = megabits * megabit
			c.members["m4"] = &node{address: "m4"}
			c.start(c.members["m4"])
			c.play(3*time.Second + 3*transferTime(2*megabyte, c.linkRate)/2)
			require.Len(t, c.head().View().GetVoters(), 4)
			c.requireSameState(c.head(), c.members["m4"])
			require.Less(t, c.stateSentTo("m4"), 3*megabyte)
		})
		t.Run(fmt.Sprintf("member that the chain needs at %d Mbit/s", megabits), func(t *testing.T) {
			c := newCluster(t, 541, 3)
			c.play(time.Second)
			behind := c.memberOutsideChain()
			c.isolate(behind)
			c.fill(4 * megabyte)
			clear(c.blocked)
			c.linkRate = megabits * megabit
			c.stop(c.members[c.head().successor().GetAddress()], true)
			took := c.awaitWrite(1, time.Minute)
			require.Less(t, took, 1500*time.Millisecond+3*transferTime(4*megabyte, c.linkRate)/2)
			require.Less(t, c.stateSentTo(behind.address), 6*megabyte)
			c.requireNoWriteLost()
		})
	}
}

func transferTime(bytes, rate int) time.Duration {
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}

// stateSentTo returns how many bytes of state were sent to a member.
func (c *cluster) stateSentTo(address string) (bytes int) {
	for way, sent := range c.stateBytesSent {
		if way[1] == address {
			bytes += sent
		}
	}
	return bytes
}

// TestTransferOutlivesViews changes the view in the middle of a transfer: what has arrived and still fits is not
// sent again.
func TestTransferOutlivesViews(t *testing.T) {
	c := newCluster(t, 560, 5)
	c.play(2 * time.Second)
	c.fill(2 * megabyte)
	c.linkRate = 8 * megabit
	behind := c.memberOutsideChain()
	c.stop(behind, true)
	c.wipe(behind)
	c.start(behind)
	for range 4 {
		c.play(400 * time.Millisecond)
		old := c.awaitHead()
		c.stop(old, false)
		c.play(time.Second)
		c.start(old)
	}
	c.play(4 * time.Second)
	c.requireSameState(c.head(), behind)
	require.Less(t, c.stateSentTo(behind.address), 3*megabyte)
}

// TestTransferGrowsWithDifference has a member of a large state come back with little missing, over a slow link.
func TestTransferGrowsWithDifference(t *testing.T) {
	c := newCluster(t, 561, 3)
	c.play(time.Second)
	c.fill(8 * megabyte)
	behind := c.memberOutsideChain()
	c.stop(behind, true)
	for id := range uint64(20) {
		c.write(id)
		c.play(20 * time.Millisecond)
	}
	c.linkRate = 4 * megabit
	c.start(behind)
	c.play(3 * time.Second)
	require.True(t, behind.chain.following)
	c.requireSameState(c.head(), behind)
	require.Less(t, c.stateSentTo(behind.address), megabyte/2, "20 of 1,024 ranges differ")
}

// TestStaleMemberDoesNotBlockWrites has the head's machine lost while a member is far behind: the others bear the
// losses without it, so that writes go on before it has caught up.
func TestStaleMemberDoesNotBlockWrites(t *testing.T) {
	for seed := range uint64(10) {
		c := newClusterTolerating(t, 570+seed, 5, 1)
		c.play(2 * time.Second)
		behind := c.memberOutsideChain()
		c.isolate(behind)
		c.fill(2 * megabyte)
		for range lagBeyondPreference {
			h := c.head()
			_, a, _ := h.Append(c.now, &protocol.Entry{Puts: []*protocol.Put{{Key: "k", Value: []byte("v")}}})
			c.do(h, a)
		}
		c.play(time.Second)
		c.linkRate = 4 * megabit
		clear(c.blocked)
		c.stop(c.head(), true)
		require.Less(t, c.awaitWrite(1, 20*time.Second), 1500*time.Millisecond)
		require.Negative(t, view.ChainPosition(c.head().View(), behind.id), "it would have to take the state first")
		c.play(10 * time.Second)
		c.requireNoWriteLost()
	}
}

// lagBeyondPreference is more entries than a member may be behind to be preferred in the chain.
const lagBeyondPreference = 1100
