package simnet

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// direction tells which messages of a process a partition blocks.
type direction int

// The directions, seen from the partitioned process.
const (
	bothWays direction = iota
	inbound
	outbound
)

// oneWay returns inbound or outbound.
func oneWay(in bool) direction {
	if in {
		return inbound
	}
	return outbound
}

// partitionFrom partitions a process from others for d.
func (sim *simulation) partitionFrom(address string, others []string, d time.Duration, dir direction) {
	sim.faultFor(d, noCleanup)
	for _, other := range others {
		if other == address {
			continue
		}
		if dir != inbound {
			sim.partition(address, other, d)
		}
		if dir != outbound {
			sim.partition(other, address, d)
		}
	}
}

// coreAddresses returns the addresses of all machines of the control plane.
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

// partitionCoreOneWay draws a partition of one machine from the rest of the control plane in one
// direction.
func (sim *simulation) partitionCoreOneWay() fault {
	c, d := sim.anyCore(), sim.randomDuration(time.Second, maxPartition)
	dir := oneWay(sim.rng.IntN(2) == 0)
	return fault{fmt.Sprintf("%s is partitioned one way (inbound: %v) from the core for %v", c.address, dir == inbound, d), func() { sim.partitionFrom(c.address, sim.coreAddresses(), d, dir) }}
}

// partitionCoreInTwo draws a partition of the control plane into two groups, regardless of the
// fault tolerance. All other processes still reach both groups.
func (sim *simulation) partitionCoreInTwo() fault {
	d, order := sim.randomDuration(time.Second, maxPartition), sim.rng.Perm(len(sim.cores))
	firstSize := 1 + sim.rng.IntN(len(sim.cores)-1)
	return fault{fmt.Sprintf("the core is partitioned into %d and %d for %v", firstSize, len(sim.cores)-firstSize, d), func() {
		sim.faultFor(d, noCleanup)
		for _, a := range order[:firstSize] {
			for _, b := range order[firstSize:] {
				// Machines may have been added or removed since the order was drawn.
				if a < len(sim.cores) && b < len(sim.cores) {
					sim.partition(sim.cores[a].address, sim.cores[b].address, d)
					sim.partition(sim.cores[b].address, sim.cores[a].address, d)
				}
			}
		}
	}}
}

// partitionHeadFromCore draws a partition of the head from the rest of the control plane. Agents
// and gateways still reach it.
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

// partitionAgentOneWay draws a partition of one agent from the control plane in one direction.
func (sim *simulation) partitionAgentOneWay() fault {
	h, d := sim.anyRunnerHost(), sim.randomDuration(time.Second, 25*time.Second)
	dir := oneWay(sim.rng.IntN(2) == 0)
	return fault{fmt.Sprintf("%s is partitioned one way (inbound: %v) from the core for %v", h.address, dir == inbound, d), func() { sim.partitionFrom(h.address, sim.coreAddresses(), d, dir) }}
}

// resetLinks draws a series of 1 to 12 resets of all connections of one machine of the control
// plane.
func (sim *simulation) resetLinks() fault {
	c, times := sim.anyCore(), 1+sim.rng.IntN(12)
	return fault{fmt.Sprintf("the links of %s are reset %d times", c.address, times), func() {
		var resetNext func()
		resetNext = func() {
			sim.recordFault()
			sim.resetAll(c.address)
			if times--; times > 0 {
				sim.after(sim.randomDuration(time.Millisecond, 700*time.Millisecond), resetNext)
			}
		}
		resetNext()
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
	// In a fixed order, as each call draws random numbers.
	for _, other := range slices.Sorted(maps.Keys(sim.processes)) {
		sim.resetBuffered(address, other)
	}
}

// limitBandwidth draws a bandwidth limit for the links between machines of the control plane.
func (sim *simulation) limitBandwidth() fault {
	megabits, d := []int{1, 4, 16, 100}[sim.rng.IntN(4)], sim.randomDuration(3*time.Second, 20*time.Second)
	return fault{fmt.Sprintf("the links of the core carry %d Mbit/s for %v", megabits, d), func() {
		const bytesPerMegabit = 1_000_000 / 8
		sim.network.bytesPerSecond = megabits * bytesPerMegabit
		sim.faultFor(d, func() { sim.network.bytesPerSecond = 0 })
	}}
}

// delayMessages draws a period in which messages on all links are delayed.
func (sim *simulation) delayMessages() fault {
	d := sim.randomDuration(time.Second, 8*time.Second)
	return fault{fmt.Sprintf("messages are delayed by up to %v for %v", maxExtraDelay, d), func() {
		sim.network.delayUntil = sim.now + d
		sim.faultFor(d, noCleanup)
	}}
}

// duplicateMessages draws a period in which messages on all links are duplicated.
func (sim *simulation) duplicateMessages() fault {
	d := sim.randomDuration(time.Second, 8*time.Second)
	return fault{fmt.Sprintf("messages are duplicated for %v", d), func() {
		sim.network.duplicateUntil = sim.now + d
		sim.faultFor(d, noCleanup)
	}}
}
