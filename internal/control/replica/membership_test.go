package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestJoinerBecomesVoter starts a member with an empty disk: it becomes a voter, and the change of the voters is completed.
func TestJoinerBecomesVoter(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.startJoiner("m4")
	c.play(3 * time.Second)
	h := c.head()
	require.NotNil(t, h)
	require.Len(t, h.View().GetVoters(), 4)
	require.Empty(t, h.View().GetPrevious())
}

// TestLostDiskIsReplaced wipes a member's disk and restarts it: its new identity replaces the old one among the voters.
func TestLostDiskIsReplaced(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.play(time.Second)
	require.True(t, c.write(1))
	c.play(50 * time.Millisecond)
	old := c.head()
	id := old.id
	c.stop(old, true)
	c.wipe(old)
	c.play(100 * time.Millisecond)
	c.start(old)
	require.NotEqual(t, id, old.id)
	c.play(4 * time.Second)
	c.requireNoWriteLost()
	require.Len(t, c.head().View().GetVoters(), 3)
	for _, v := range c.head().View().GetVoters() {
		require.NotEqual(t, id, v.GetId())
	}
}

// TestReplacedMachineIsRemovedFromVoters permanently replaces a machine, and then wipes as many disks as are tolerated while
// all other members lose power. If the old machine were still a voter besides its replacement, no majority would remain.
func TestReplacedMachineIsRemovedFromVoters(t *testing.T) {
	forEachSeed(t, 20, func(t *testing.T, seed uint64) {
		c := newClusterTolerating(t, 200+seed, 5, 2)
		c.play(2 * time.Second)
		require.True(t, c.write(1))
		c.play(100 * time.Millisecond)
		c.stop(c.members["m5"], true)
		delete(c.members, "m5")
		c.play(time.Second)
		c.startJoiner("m6")
		c.play(4 * time.Second)
		require.True(t, c.write(2))
		c.play(100 * time.Millisecond)
		require.Equal(t, 1, c.replies[2])
		all := []string{"m1", "m2", "m3", "m4", "m6"}
		c.rng.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
		for i, address := range all {
			c.stop(c.members[address], true)
			if i < 2 {
				c.wipe(c.members[address])
			}
		}
		c.play(time.Second)
		for _, address := range all {
			c.start(c.members[address])
		}
		c.play(3 * time.Second)
		c.requireNoWriteLost()
	})
}

// TestDrainingMachineIsRemovedAfterItsSuccessorJoins drains a machine whose replacement already is a voter: the drained one
// is removed from the voters, so that the rest tolerate the configured faults as soon as it has stopped.
func TestDrainingMachineIsRemovedAfterItsSuccessorJoins(t *testing.T) {
	forEachSeed(t, 20, func(t *testing.T, seed uint64) {
		c := newClusterTolerating(t, 300+seed, 5, 2)
		c.startJoiner("m6")
		c.play(4 * time.Second)
		require.Len(t, c.head().View().GetVoters(), 6)
		drained := c.members["m2"]
		c.do(drained, drained.Drain(c.now))
		c.play(300 * time.Millisecond)
		c.stop(drained, false)
		delete(c.members, "m2")
		c.play(300 * time.Millisecond)
		require.Len(t, c.head().View().GetVoters(), 5)
	})
}

// TestLostVoterRejoins restarts a voter that was removed while it was out of contact: it becomes a voter again, and no
// write is lost when the head then stops.
func TestLostVoterRejoins(t *testing.T) {
	forEachSeed(t, 20, func(t *testing.T, seed uint64) {
		c := newClusterTolerating(t, 400+seed, 4, 1)
		c.play(2 * time.Second)
		require.True(t, c.write(1))
		c.play(100 * time.Millisecond)
		lost := c.members["m4"]
		if c.head() == lost {
			lost = c.members["m3"]
		}
		c.stop(lost, true)
		c.play(3 * time.Second)
		require.Len(t, c.head().View().GetVoters(), 3, "three voters tolerate another fault, four of which one is lost do not")
		require.True(t, c.write(2))
		c.start(lost)
		c.play(3 * time.Second)
		require.Len(t, c.head().View().GetVoters(), 4)
		c.stop(c.head(), true)
		c.play(2 * time.Second)
		c.requireNoWriteLost()
	})
}

// TestDepartedPeersAreForgotten wipes the disk of a machine repeatedly: the head deletes the peers of its earlier
// identities.
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
