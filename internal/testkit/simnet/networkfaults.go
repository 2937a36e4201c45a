package simnet

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// direction says which messages of a process a partition stops.
type direction int

// The directions.
const (
	bothWays direction = iota
	inbound
	outbound
)

// oneWay returns one of the two single directions.
func oneWay(in bool) direction {
	if in {
		return inbound
	}
	return outbound
}

// partitionFrom partitions a process from others for a time.
func (sim *simulation) partitionFrom(address string, others []string, d time.Duration, of direction) {
	sim.faultFor(d, noEnd)
	for _, other := range others {
		if other == address {
			continue
		}
		if of != inbound {
			sim.partition(address, other, d)
		}
		if of != outbound {
			sim.partition(other, address, d)
		}
	}
}

// coreAddresses returns the addresses of the control plane.
func (sim *simulation) coreAddresses() (out []string) {
	for _, c := range sim.cores {
		out = append(out, c.address)
	}
	return out
}

// partitionCore draws a partition of one machine from the rest of the control plane.
func (sim *simulation) partitionCore() fault {
	c, d := sim.anyCore(), sim.randomDuration(time.Second, maxPartition)
	return fault{fmt.Sprintf("%s is partitioned from the core for %v", c.address, d), func() { sim.partitionFrom(c.address, sim.coreAddresses(), d, bothWays) }}
}

// partitionCoreOneWay draws the same in one direction.
func (sim *simulation) partitionCoreOneWay() fault {
	c, d := sim.anyCore(), sim.randomDuration(time.Second, maxPartition)
	of := oneWay(sim.rng.IntN(2) == 0)
	return fault{fmt.Sprintf("%s is partitioned one way (inbound: %v) from the core for %v", c.address, of == inbound, d), func() { sim.partitionFrom(c.address, sim.coreAddresses(), d, of) }}
}

// partitionCoreInTwo draws a partition of the control plane into two groups, whatever fault tolerance there is; all
// other processes reach both.
func (sim *simulation) partitionCoreInTwo() fault {
	d, order := sim.randomDuration(time.Second, maxPartition), sim.rng.Perm(len(sim.cores))
	firstSize := 1 + sim.rng.IntN(len(sim.cores)-1)
	return fault{fmt.Sprintf("the core is partitioned into %d and %d for %v", firstSize, len(sim.cores)-firstSize, d), func() {
		sim.faultFor(d, noEnd)
		for _, a := range order[:firstSize] {
			for _, b := range order[firstSize:] {
				if a < len(sim.cores) && b < len(sim.cores) { // a machine may have come or gone since the order was drawn
					sim.partition(sim.cores[a].address, sim.cores[b].address, d)
					sim.partition(sim.cores[b].address, sim.cores[a].address, d)
				}
			}
		}
	}}
}

// partitionHeadFromCore draws a partition of the head from the rest of the control plane; agents and gateways still
// reach it.
func (sim *simulation) partitionHeadFromCore() fault {
	d := sim.randomDuration(time.Second, maxPartition)
	return fault{fmt.Sprintf("the head is partitioned from the core for %v", d), func() { sim.partitionFrom(sim.head().address, sim.coreAddresses(), d, bothWays) }}
}

// isolateHead draws a partition of the head from all other processes.
func (sim *simulation) isolateHead() fault {
	d := sim.randomDuration(time.Second, 7*time.Second)
	return fault{fmt.Sprintf("the head is partitioned from all for %v", d), func() {
		var all []string
		for address := range sim.processes {
			all = append(all, address)
		}
		sim.partitionFrom(sim.head().address, all, d, bothWays)
	}}
}

// partitionAgent draws a partition of one agent from the control plane.
func (sim *simulation) partitionAgent() fault {
	h, d := sim.anyRunnerHost(), sim.randomDuration(time.Second, 25*time.Second)
	return fault{fmt.Sprintf("%s is partitioned from the core for %v", h.address, d), func() { sim.partitionFrom(h.address, sim.coreAddresses(), d, bothWays) }}
}

// partitionAgentOneWay draws the same in one direction.
func (sim *simulation) partitionAgentOneWay() fault {
	h, d := sim.anyRunnerHost(), sim.randomDuration(time.Second, 25*time.Second)
	of := oneWay(sim.rng.IntN(2) == 0)
	return fault{fmt.Sprintf("%s is partitioned one way (inbound: %v) from the core for %v", h.address, of == inbound, d), func() { sim.partitionFrom(h.address, sim.coreAddresses(), d, of) }}
}

// resetLinks draws resets of all connections of one machine of the control plane, some times in a row.
func (sim *simulation) resetLinks() fault {
	c, times := sim.anyCore(), 1+sim.rng.IntN(12)
	return fault{fmt.Sprintf("the links of %s are reset %d times", c.address, times), func() {
		var again func()
		again = func() {
			sim.recordFault()
			sim.resetAll(c.address)
			if times--; times > 0 {
				sim.after(sim.randomDuration(time.Millisecond, 700*time.Millisecond), again)
			}
		}
		again()
	}}
}

// resetAll resets all connections of a process.
func (sim *simulation) resetAll(address string) {
	if !sim.options.BufferedResets {
		for other := range sim.processes {
			sim.reset(address, other)
		}
		return
	}
	for _, other := range slices.Sorted(maps.Keys(sim.processes)) { // each draws
		sim.resetBuffered(address, other)
	}
}

// limitBandwidth draws a bandwidth of the links within the control plane.
func (sim *simulation) limitBandwidth() fault {
	megabits, d := []int{1, 4, 16, 100}[sim.rng.IntN(4)], sim.randomDuration(3*time.Second, 20*time.Second)
	return fault{fmt.Sprintf("the links of the core carry %d Mbit/s for %v", megabits, d), func() {
		const bytesPerMegabit = 1_000_000 / 8
		sim.network.bytesPerSecond = megabits * bytesPerMegabit
		sim.faultFor(d, func() { sim.network.bytesPerSecond = 0 })
	}}
}

// delayMessages draws delayed messages on all links.
func (sim *simulation) delayMessages() fault {
	d := sim.randomDuration(time.Second, 8*time.Second)
	return fault{fmt.Sprintf("messages are delayed by up to %v for %v", maxExtraDelay, d), func() {
		sim.network.delayUntil = sim.now + d
		sim.faultFor(d, noEnd)
	}}
}

// duplicateMessages draws duplicated messages on all links.
func (sim *simulation) duplicateMessages() fault {
	d := sim.randomDuration(time.Second, 8*time.Second)
	return fault{fmt.Sprintf("messages are duplicated for %v", d), func() {
		sim.network.duplicateUntil = sim.now + d
		sim.faultFor(d, noEnd)
	}}
}
