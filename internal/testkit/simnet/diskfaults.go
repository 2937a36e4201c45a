package simnet

import (
	"fmt"
	"time"
)

// slowDisk draws a period of slow syncs on one disk.
func (sim *simulation) slowDisk() fault {
	c, d, slow := sim.anyCore(), sim.randomDuration(time.Second, 6*time.Second), sim.randomDuration(50*time.Millisecond, 3*time.Second)
	return fault{fmt.Sprintf("syncs of the disk of %s take %v longer for %v", c.address, slow, d), func() {
		c.syncDelay = slow
		sim.faultFor(d, func() { c.syncDelay = 0 })
	}}
}

// failDiskWrites draws a period of failing writes on one disk.
func (sim *simulation) failDiskWrites() fault {
	c, d := sim.anyCore(), sim.randomDuration(time.Second, 6*time.Second)
	return fault{fmt.Sprintf("the disk of %s fails writes for %v", c.address, d), func() {
		c.writesFail = true
		sim.faultFor(d, func() { c.writesFail = false })
	}}
}

// diskLossCore draws the loss of one disk of the control plane. It happens only if the fault
// tolerance allows it when the fault begins.
func (sim *simulation) diskLossCore() fault {
	c, d := sim.anyCore(), sim.randomDuration(time.Second, 3*time.Second)
	return fault{fmt.Sprintf("%s loses its disk for %v", c.address, d), func() {
		if (sim.mayLoseDisks() || sim.mayLoseOneDisk()) && !c.removed {
			sim.lastDiskLoss = sim.now
			c.losePower()
			c.loseDisk()
			c.restartAfter(d)
		}
	}}
}

// maxRestartSpread is the longest difference between the restarts of two machines after a power
// loss of all of them.
const maxRestartSpread = 1500 * time.Millisecond

// diskAndPowerLoss draws a power loss of the whole control plane in which some disks are lost, as
// many as the fault tolerance allows when the fault begins.
func (sim *simulation) diskAndPowerLoss() fault {
	count, d := 1+sim.rng.IntN(sim.options.FaultTolerance), sim.randomDuration(500*time.Millisecond, 2*time.Second)
	order := sim.rng.Perm(len(sim.cores))
	return fault{fmt.Sprintf("%d disks are lost, all of the core lose power for %v", count, d), func() {
		disksToLose := 0
		if sim.mayLoseOneDisk() {
			disksToLose = 1
		}
		if sim.mayLoseDisks() {
			disksToLose = count
		}
		if disksToLose > 0 {
			sim.lastDiskLoss = sim.now
		}
		for i, c := range sim.cores {
			c.losePower()
			// A machine may have been added since the order was drawn.
			if i < len(order) && order[i] < disksToLose {
				c.loseDisk()
			}
			// A majority may restart before the others.
			c.restartAfter(d + sim.randomDuration(0, maxRestartSpread))
		}
	}}
}
