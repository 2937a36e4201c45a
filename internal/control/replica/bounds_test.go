package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// TestHeadWithoutMajorityStopsAccepting cuts the head off from a majority for 20 s while callers still reach it: it stops
// taking requests, what it holds stays bounded, and its reads end. It used to go on evaluating and holding entries.
func TestHeadWithoutMajorityStopsAccepting(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(t, 600+seed, 5)
		c.play(2 * time.Second)
		old := c.head()
		c.isolate(old)
		index, taken, failed, asked := old.Index(), 0, 0, 0
		for range 400 {
			if old.Accepting(c.now) {
				_, a, ok := old.Append(c.now, &protocol.Entry{Puts: []*protocol.Put{{Key: "late", Value: []byte("v")}}})
				c.do(old, a)
				if ok {
					taken++
				}
			}
			if old.Serving() {
				asked++
				a := old.ReadAtHead(c.now, uint64(1000+asked))
				failed += len(a.ReadsFailed)
				c.do(old, a)
			}
			a := old.Tick(c.now, 0, 0)
			failed += len(a.ReadsFailed)
			c.do(old, a)
			require.LessOrEqual(t, len(old.confirmations.pendingReads), int(readTimeout/(50*time.Millisecond))+2)
			c.play(50 * time.Millisecond)
		}
		require.LessOrEqual(t, taken, int(contactTimeout/(50*time.Millisecond))+2)
		require.EqualValues(t, taken, old.Index()-index)
		for token := range c.reads {
			require.Less(t, token, uint64(1000), "a read is answered without a majority")
		}
		clear(c.blocked)
		c.play(2 * time.Second)
		require.False(t, old.Serving() && old.Epoch() < c.head().Epoch())
		c.requireNoWriteLost()
	}
}

// TestUncommittedEntriesAreBounded has a tail that acknowledges nothing while a majority stands by the epoch.
func TestUncommittedEntriesAreBounded(t *testing.T) {
	c := newCluster(t, 620, 3)
	c.play(time.Second)
	h := c.head()
	for i := 0; i < 2*maxUncommitted && h.Accepting(c.now); i++ {
		_, _, ok := h.Append(c.now, &protocol.Entry{Puts: []*protocol.Put{{Key: "k", Value: []byte("v")}}})
		require.True(t, ok)
	}
	require.EqualValues(t, maxUncommitted, h.Index()-h.Committed())
}

// TestReadsAreBounded has more reads come than are kept.
func TestReadsAreBounded(t *testing.T) {
	c := newCluster(t, 621, 3)
	c.play(time.Second)
	h := c.head()
	c.isolate(h)
	failed := 0
	for token := range uint64(2 * maxPendingReads) {
		failed += len(h.ReadAtHead(c.now, token).ReadsFailed)
	}
	require.Equal(t, maxPendingReads, failed)
	require.Len(t, h.confirmations.pendingReads, maxPendingReads)
}

// TestReadAtHeadIsConfirmed answers an operator's question once a majority has stood by the epoch.
func TestReadAtHeadIsConfirmed(t *testing.T) {
	c := newCluster(t, 622, 3)
	c.play(time.Second)
	h := c.head()
	c.do(h, h.ReadAtHead(c.now, 5))
	require.False(t, c.reads[5])
	c.play(50 * time.Millisecond)
	require.True(t, c.reads[5])
	other := c.memberOutsideChain()
	require.Len(t, other.ReadAtHead(c.now, 6).ReadsFailed, 1)
}

// TestSyncedLengthDuringRewrite has a write finish while the file is being replaced: records that are made
// meanwhile must not say that so much of the new file was synced, or a torn end would count as damage.
func TestSyncedLengthDuringRewrite(t *testing.T) {
	c := newCluster(t, 623, 3)
	c.play(time.Second)
	h := c.head()
	h.actions, h.Machine.disk.pending, h.Machine.disk.buffer = Actions{}, nil, nil
	h.submitWrite(Write{Data: []byte("x")}, 1)
	before := h.Machine.disk.lastSequence
	h.rewrite()
	h.DiskDone(c.now, before, 1<<20, nil)
	require.Zero(t, h.Machine.disk.syncedSize)
	h.DiskDone(c.now, before+1, 5000, nil)
	require.EqualValues(t, 5000, h.Machine.disk.syncedSize)
}

// TestSlowDiskOfTheHead makes the head's disk slow for a second while one of three voters is gone: the head alone could
// not be voted out, went on with a promise that it had given to its own round, and nothing was accepted any more.
func TestSlowDiskOfTheHead(t *testing.T) {
	for seed := range uint64(30) {
		c := newCluster(t, 640+seed, 3)
		c.play(time.Second)
		lost := c.memberOutsideChain()
		c.stop(lost, true)
		c.wipe(lost)
		c.start(lost) // it asks to join, which begins a round of the head's
		c.play(time.Duration(seed) * 20 * time.Millisecond)
		h := c.awaitHead()
		h.diskDelay = 917 * time.Millisecond
		c.write(1)
		c.play(1060 * time.Millisecond)
		h.diskDelay = 0
		require.Less(t, c.awaitWrite(100+seed, 20*time.Second), 6*time.Second)
	}
}
