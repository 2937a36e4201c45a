package simnet

import (
	"fmt"
	"slices"
	"time"

	"frosttide/internal/view"
)

func (sim *simulation) diskLossCore() (string, func()) {
	c, d := sim.anyCore(), sim.randomDuration(time.Second, 3*time.Second)
	return fmt.Sprintf("%s loses its disk for %v", c.address, d), func() {
		if (sim.mayLoseDisks() || sim.mayLoseOneDisk()) && !c.removed {
			sim.lastDiskLoss = sim.now
			c.losePower()
			c.loseDisk()
			c.restartAfter(d)
		}
	}
}

// maxRestartSpread is within how long machines are back after a loss of power.
const maxRestartSpread = 1500 * time.Millisecond

// catchUpTime is how long a machine counts as lost after it is back, or after its start if it is new; the rules
// say 4 s.
const catchUpTime = 4200 * time.Millisecond

// mayLoseDisks tells whether machines or disks may be lost: all are there and have had the time to catch up.
func (sim *simulation) mayLoseDisks() bool {
	if !sim.noFaultFor(catchUpTime) {
		return false
	}
	for _, c := range sim.cores {
		if !c.up || c.paused || c.writesFail {
			return false
		}
	}
	return true
}

// minDiskLossInterval is how far apart lost disks are at least where others are in trouble.
const minDiskLossInterval = 12 * time.Second

// mayLoseOneDisk tells whether one disk may be lost though others are cut off or behind: the one lost before has been
// replaced, no machine is new, as a new one counts as lost until it has had the time to catch up and the one in
// whose place it comes until then, and all machines are up and vote.
func (sim *simulation) mayLoseOneDisk() bool {
	if sim.lastDiskLoss > 0 && sim.now-sim.lastDiskLoss < minDiskLossInterval || sim.lastReplacement > 0 && sim.now-sim.lastReplacement < catchUpTime {
		return false
	}
	head := sim.head()
	if !head.up || !head.member.Replica().Serving() {
		return false
	}
	v := head.member.Replica().View()
	for _, c := range sim.cores {
		if !c.up || c.paused || c.writesFail || view.Find(v.GetVoters(), c.member.Replica().Status().Self) == nil {
			return false
		}
	}
	return len(v.GetPrevious()) == 0 && len(v.GetVoters()) == len(sim.cores)
}

// replaceCore takes a machine away for good; an empty one comes later at another address. At least two of the
// seeds stay.
func (sim *simulation) replaceCore() (string, func()) {
	index, d := 2+sim.rng.IntN(len(sim.cores)-2), sim.randomDuration(200*time.Millisecond, 3*time.Second)
	planned := sim.rng.IntN(3) == 0
	return fmt.Sprintf("machine %d of the core is replaced after %v, planned: %v", index, d, planned), func() {
		if !sim.mayLoseDisks() {
			return
		}
		sim.lastReplacement = sim.now
		old := sim.cores[index]
		sim.lastCoreNumber++
		next := sim.newCore(sim.lastCoreNumber)
		if planned { // the new one first
			sim.cores = append(sim.cores, next)
			next.boot()
			sim.faultFor(d, func() { sim.removeCore(old) })
			return
		}
		sim.removeCore(old)
		sim.faultFor(d, func() {
			sim.lastReplacement = sim.now
			sim.cores = append(sim.cores, next)
			next.boot()
		})
	}
}

// removeCore takes a machine away for good.
func (sim *simulation) removeCore(c *core) {
	sim.lastReplacement = sim.now
	c.losePower()
	c.removed = true
	sim.cores = slices.DeleteFunc(sim.cores, func(o *core) bool { return o == c })
}

func (sim *simulation) diskAndPowerLoss() (string, func()) {
	count, d := 1+sim.rng.IntN(sim.options.FaultTolerance), sim.randomDuration(500*time.Millisecond, 2*time.Second)
	order := sim.rng.Perm(len(sim.cores))
	return fmt.Sprintf("%d disks are lost, all of the core lose power for %v", count, d), func() {
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
			if i < len(order) && order[i] < disksToLose { // a machine may have come since the order was drawn
				c.loseDisk()
			}
			c.restartAfter(d + sim.randomDuration(0, maxRestartSpread)) // a majority may be back before the others
		}
	}
}
