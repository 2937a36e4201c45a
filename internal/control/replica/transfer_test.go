package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// TestLostChunkIsRequestedAgain loses chunks of the state that is sent to a member joining the chain. Regression: the member
// reported an incomplete state as installed, and lost acknowledged writes when it became the head.
func TestLostChunkIsRequestedAgain(t *testing.T) {
	for lost := range 8 {
		t.Run(fmt.Sprintf("chunk %d of 8", lost), func(t *testing.T) {
			c := newCluster(t, 500+uint64(lost), 3)
			c.play(time.Second)
			behind := c.memberOutsideChain()
			c.isolate(behind)
			c.fill(2 * megabyte)
			c.unblockAll()
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

// TestFollowerHasNoGaps loses a quarter of all messages while a member outside the chain fetches the state: it reports that
// it follows the tail only when its state is complete.
func TestFollowerHasNoGaps(t *testing.T) {
	forEachSeed(t, 10, func(t *testing.T, seed uint64) {
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
	})
}

// TestSlowLinks transfers the state to a joiner and to a member that the chain needs, over links of different speeds.
// Regression: the transfer started over if a chunk took longer than minSyncRetry or the whole transfer longer than
// InstallTimeout.
func TestSlowLinks(t *testing.T) {
	for _, megabits := range []int{4, 8, 16, 100, 1000} {
		t.Run(fmt.Sprintf("joiner at %d Mbit/s", megabits), func(t *testing.T) {
			c := newCluster(t, 540, 3)
			c.play(time.Second)
			c.fill(2 * megabyte)
			c.linkRate = megabits * megabit
			c.startJoiner("m4")
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
			c.unblockAll()
			c.linkRate = megabits * megabit
			c.stop(c.members[c.head().successor().GetAddress()], true)
			took := c.awaitWrite(1, time.Minute)
			require.Less(t, took, 1500*time.Millisecond+3*transferTime(4*megabyte, c.linkRate)/2)
			require.Less(t, c.stateSentTo(behind.address), 6*megabyte)
			c.requireNoWriteLost()
		})
	}
}

// TestTransferOutlivesViews changes the view during a transfer: received ranges that still match are not sent again.
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

// TestTransferGrowsWithDifference restarts a member that lacks little of a large state, over a slow link: the bytes sent
// depend on the difference, not on the size of the state.
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

// TestStaleMemberDoesNotBlockWrites stops the head while a member is far behind: the other members tolerate the fault without
// it, so that writes continue before it has caught up.
func TestStaleMemberDoesNotBlockWrites(t *testing.T) {
	const lagBeyondPreference = 1100 // entries; a member this far behind is chosen for the chain last
	forEachSeed(t, 10, func(t *testing.T, seed uint64) {
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
		c.unblockAll()
		c.stop(c.head(), true)
		require.Less(t, c.awaitWrite(1, 20*time.Second), 1500*time.Millisecond)
		require.Negative(t, view.ChainPosition(c.head().View(), behind.id), "the stale member is in the chain and has to install the state first")
		c.play(10 * time.Second)
		c.requireNoWriteLost()
	})
}

// TestEarlySyncRequestIsServed has a chain member request the state of a view that the head has not adopted yet: the
// request is served as soon as the head adopts the view, not only when the member repeats it after minSyncRetry.
func TestEarlySyncRequestIsServed(t *testing.T) {
	c := newCluster(t, 7, 3)
	c.play(time.Second)
	head := c.head()
	follower := c.members[head.successor().GetAddress()]
	next := cloneView(head.View())
	next.Epoch += 1 << 16
	early := head.Receive(c.now, follower.address, &protocol.Envelope{Body: &protocol.Envelope_SyncRequest{SyncRequest: &protocol.SyncRequest{
		Epoch: next.GetEpoch(), Round: 1, Install: true, Member: follower.id, Digests: follower.Store().Digests()}}})
	require.Empty(t, early.Sends)
	agreed := head.Receive(c.now, follower.address, &protocol.Envelope{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: next}}})
	var replied []string
	for _, s := range agreed.Sends {
		if s.Message.GetSyncReply().GetEpoch() == next.GetEpoch() {
			replied = append(replied, s.To)
		}
	}
	require.Equal(t, []string{follower.address}, replied)
}
