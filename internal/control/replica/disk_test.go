package replica

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHeadWithFailedDiskIsReplaced fails the writes of the head: it acknowledges nothing and another member becomes the
// head.
func TestHeadWithFailedDiskIsReplaced(t *testing.T) {
	c := newCluster(t, 5, 3)
	c.play(time.Second)
	old := c.head()
	old.diskError = errors.New("no space")
	c.write(1)
	c.play(3 * time.Second)
	require.NotNil(t, c.head())
	require.NotEqual(t, old, c.head())
	require.Zero(t, c.replies[1])
	require.True(t, c.write(2))
	c.play(100 * time.Millisecond)
	require.Equal(t, 1, c.replies[2])
	old.diskError = nil
	c.play(3 * time.Second)
	c.requireNoWriteLost()
}

// TestSyncedLengthDuringRewrite finishes a write while the file is being replaced. Records added in the meantime must not
// take the old file's size for the synced size of the new one, or a torn end of the new file would count as damage.
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

// TestSlowDiskOfTheHead slows the head's disk down for a second while one of three voters is lost. Regression: the head
// could not be replaced, had sealed its epoch by promising its own proposal, and no request was accepted any more.
func TestSlowDiskOfTheHead(t *testing.T) {
	forEachSeed(t, 30, func(t *testing.T, seed uint64) {
		c := newCluster(t, 640+seed, 3)
		c.play(time.Second)
		lost := c.memberOutsideChain()
		c.stop(lost, true)
		c.wipe(lost)
		c.start(lost) // it asks to join, so that the head starts a proposal
		c.play(time.Duration(seed) * 20 * time.Millisecond)
		h := c.awaitHead()
		h.diskDelay = 917 * time.Millisecond
		c.write(1)
		c.play(1060 * time.Millisecond)
		h.diskDelay = 0
		require.Less(t, c.awaitWrite(100+seed, 20*time.Second), 6*time.Second)
	})
}
