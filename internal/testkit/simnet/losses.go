package simnet

import (
	"fmt"
	"slices"
	"time"

	"frosttide/internal/view"
)

// catchUpTime is how long a machine counts as lost after it has restarted, or after its first boot.
// The rules specify 4 s.
const catchUpTime = 4200 * time.Millisecond

// mayLoseDisks reports whether as many machines or disks may be lost as the fault tolerance allows:
// all machines are up and have had the time to catch up.
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

// minDiskLossInterval is the least time between two disk losses while other faults are in force.
const minDiskLossInterval = 12 * time.Second

// mayLoseOneDisk reports whether one disk may be lost while other faults are in force: all machines
// are up and voters, the disk lost before has been replaced, and no machine is new. A new machine
// counts as lost until it has had the time to catch up, and so does the one that it replaces.
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

// replaceCore draws the replacement of a machine of the control plane by an empty one at another
// address. It happens only if the fault tolerance allows it when the fault begins. Two of the first
// three machines, whose addresses all processes are configured with, are never replaced.
func (sim *simulation) replaceCore() fault {
	index, d := 2+sim.rng.IntN(len(sim.cores)-2), sim.randomDuration(200*time.Millisecond, 3*time.Second)
	planned := sim.rng.IntN(3) == 0
	return fault{fmt.Sprintf("machine %d of the core is replaced after %v, planned: %v", index, d, planned), func() {
		if !sim.mayLoseDisks() {
			return
		}
		sim.lastReplacement = sim.now
		old := sim.cores[index]
		sim.lastCoreNumber++
		next := sim.newCore(sim.lastCoreNumber)
		if planned { // add the new machine before the old one is removed
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
	}}
}

// removeCore removes a machine for good.
func (sim *simulation) removeCore(c *core) {
	sim.lastReplacement = sim.now
	c.losePower()
	c.removed = true
	sim.cores = slices.DeleteFunc(sim.cores, func(o *core) bool { return o == c })
}

// maxReplacementTime is the longest time from the start of a replacement until the new machine has
// booted.
const maxReplacementTime = 3 * time.Second

// replaceTwoCores draws the replacement of two machines of the control plane, the second once the
// replacement of the first has had the time to catch up.
func (sim *simulation) replaceTwoCores() fault {
	first := sim.replaceCore()
	second := sim.replaceCore()
	return fault{fmt.Sprintf("in a row: %s; %s", first.description, second.description), func() {
		first.begin()
		sim.after(maxReplacementTime+catchUpTime, second.begin)
	}}
}
