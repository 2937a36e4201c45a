package simnet

import (
	"fmt"
	"slices"
	"time"
)

// partitionCoreInTwo cuts the core into two parts, whatever is to be borne; everybody else reaches both.
func (sim *simulation) partitionCoreInTwo() (string, func()) {
	d, order := sim.randomDuration(time.Second, maxPartition), sim.rng.Perm(len(sim.cores))
	firstSize := 1 + sim.rng.IntN(len(sim.cores)-1)
	return fmt.Sprintf("the core is cut into %d and %d for %v", firstSize, len(sim.cores)-firstSize, d), func() {
		sim.faultFor(d, func() {})
		for _, a := range order[:firstSize] {
			for _, b := range order[firstSize:] {
				if a < len(sim.cores) && b < len(sim.cores) { // a machine may have come or gone since the order was drawn
					sim.partition(sim.cores[a].address, sim.cores[b].address, d)
					sim.partition(sim.cores[b].address, sim.cores[a].address, d)
				}
			}
		}
	}
}

// resetLinks breaks all links of a machine of the core, some times.
func (sim *simulation) resetLinks() (string, func()) {
	c, times := sim.anyCore(), 1+sim.rng.IntN(12)
	return fmt.Sprintf("the links of %s are reset %d times", c.address, times), func() {
		var again func()
		again = func() {
			sim.recordFault()
			for address := range sim.processes {
				sim.reset(c.address, address)
			}
			if times--; times > 0 {
				sim.after(sim.randomDuration(time.Millisecond, 700*time.Millisecond), again)
			}
		}
		again()
	}
}

// limitBandwidth gives the links of the core a bandwidth.
func (sim *simulation) limitBandwidth() (string, func()) {
	megabits, d := []int{1, 4, 16, 100}[sim.rng.IntN(4)], sim.randomDuration(3*time.Second, 20*time.Second)
	return fmt.Sprintf("the links of the core carry %d Mbit/s for %v", megabits, d), func() {
		const bytesPerMegabit = 1_000_000 / 8
		sim.network.bytesPerSecond = megabits * bytesPerMegabit
		sim.faultFor(d, func() { sim.network.bytesPerSecond = 0 })
	}
}

func (sim *simulation) delayMessages() (string, func()) {
	d := sim.randomDuration(time.Second, 8*time.Second)
	return fmt.Sprintf("messages come up to %v late for %v", maxExtraDelay, d), func() {
		sim.network.delayUntil = sim.now + d
		sim.faultFor(d, func() {})
	}
}

func (sim *simulation) duplicateMessages() (string, func()) {
	d := sim.randomDuration(time.Second, 8*time.Second)
	return fmt.Sprintf("messages come twice for %v", d), func() {
		sim.network.duplicateUntil = sim.now + d
		sim.faultFor(d, func() {})
	}
}

// throttleCPU has a machine of the core run at full speed until its share is spent, and then not for the rest of each
// tenth of a second.
func (sim *simulation) throttleCPU() (string, func()) {
	const period = 100 * time.Millisecond
	c, d, spent := sim.anyCore(), sim.randomDuration(time.Second, 10*time.Second), sim.randomDuration(10*time.Millisecond, 80*time.Millisecond)
	return fmt.Sprintf("%s runs for %v of each %v for %v", c.address, spent, period, d), func() {
		until := sim.now + d
		sim.faultFor(d, func() {})
		var again func()
		again = func() {
			if sim.now >= until {
				return
			}
			sim.after(spent, func() { sim.pause(c.process, period-spent) })
			sim.after(period, again)
		}
		again()
	}
}

// replaceTwoCores replaces two machines of the core one after the other, the second once the first one's successor has
// had the time to catch up.
func (sim *simulation) replaceTwoCores() (string, func()) {
	first, replaceFirst := sim.replaceCore()
	second, replaceSecond := sim.replaceCore()
	return fmt.Sprintf("in a row: %s; %s", first, second), func() {
		replaceFirst()
		sim.after(maxReplacementTime+catchUpTime, replaceSecond)
	}
}

// maxReplacementTime is how long a replacement takes at most until the new machine has started.
const maxReplacementTime = 3 * time.Second

// readInterval is how often each machine of the core is asked what an operator may ask.
const readInterval = 300 * time.Millisecond

// readEverywhere asks every machine of the core for the configuration and the state of the placement role, cut off or not:
// none may answer with an older version than was acknowledged before it was asked.
func (sim *simulation) readEverywhere() {
	for _, c := range slices.Clone(sim.cores) {
		if c.up {
			sim.operator.readAt(c)
			sim.operator.statusAt(c)
		}
	}
	if sim.now < sim.options.Length {
		sim.after(readInterval, sim.readEverywhere)
	}
}
