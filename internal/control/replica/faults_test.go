package replica

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// faultKind is a kind of random fault.
type faultKind int

const (
	endProcess faultKind = iota
	losePower
	loseDisk
	loseAllPower
	partition
	slowDisk
	failDisk
	loseDiskAndAllPower
	faultKinds
)

// TestRandomFaults injects random faults, and requires after each that no write with a reply is lost and that a member
// serves again.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := newCluster(t, seed, 3)
			c.startJoiner("m4")
			c.startJoiner("m5")
			c.play(3 * time.Second)
			id := uint64(0)
			for range 12 {
				c.injectFault()
				for range 20 {
					id++
					c.write(id)
					c.play(time.Duration(c.rng.IntN(100)) * time.Millisecond)
				}
				c.endFaults()
				c.play(5 * time.Second)
				c.requireNoWriteLost()
			}
		})
	}
}

// injectFault injects one random fault, with a probability of about one half at the head.
func (c *cluster) injectFault() {
	var all []*node
	for i := range 5 {
		all = append(all, c.members[fmt.Sprintf("m%d", i+1)])
	}
	n := all[c.rng.IntN(len(all))]
	if h := c.head(); h != nil && c.rng.IntN(2) == 0 {
		n = h
	}
	kind := faultKind(c.rng.IntN(int(faultKinds)))
	c.t.Logf("%8.3f fault %d at %s", c.now.Seconds(), kind, n.address)
	switch kind {
	case endProcess:
		c.stop(n, false)
	case losePower:
		c.stop(n, true)
	case loseDisk:
		c.stop(n, true)
		c.wipe(n)
	case loseAllPower, loseDiskAndAllPower:
		for _, other := range all {
			c.stop(other, true)
		}
		if kind == loseDiskAndAllPower {
			c.wipe(n)
		}
	case partition: // some of the links are blocked in one direction only
		for _, other := range all {
			c.block(n, other)
			if c.rng.IntN(2) == 0 {
				c.block(other, n)
			}
		}
	case slowDisk:
		n.diskDelay = time.Duration(c.rng.IntN(2000)) * time.Millisecond
	case failDisk:
		n.diskError = errors.New("no space")
	}
}

// endFaults ends all faults of the network and the disks and starts the stopped members.
func (c *cluster) endFaults() {
	c.unblockAll()
	for _, n := range c.members {
		n.diskDelay, n.diskError = 0, nil
		if !n.running {
			c.start(n)
		}
	}
}
