package simnet

import (
	"fmt"
	"slices"
	"time"
)

// fault is a trouble that a play meets.
type fault struct {
	name  string
	at    time.Duration
	begin func()
}

// faultKinds are the kinds of faults; each draws its particulars and returns what it is and how to begin it.
func (sim *simulation) faultKinds() []func() (string, func()) {
	core := []func() (string, func()){
		sim.crashCore, sim.powerLossCore, sim.diskLossCore, sim.powerLossAll, sim.crashAll, sim.diskAndPowerLoss, sim.replaceCore, sim.pauseCore, sim.partitionCore, sim.partitionCoreOneWay, sim.slowDisk, sim.failDiskWrites, sim.stepClock,
		sim.pauseHead, sim.crashHead, sim.isolateHead, sim.partitionHeadFromCore,
		sim.partitionCoreInTwo, sim.resetLinks, sim.limitBandwidth, sim.delayMessages, sim.duplicateMessages, sim.throttleCPU, sim.replaceTwoCores,
	}
	if sim.options.CoreOnly {
		return core
	}
	return append(core, sim.crashAgent, sim.pauseAgent, sim.partitionAgent, sim.partitionAgentOneWay, sim.crashGateway, sim.crashRunner, sim.restartRunner, sim.drainRunner, sim.leaveWithoutDraining, sim.delayHeartbeats)
}

// drawFaults draws the faults of a play.
func (sim *simulation) drawFaults() (out []fault) {
	kinds := sim.faultKinds()
	at := 4 * time.Second
	losses := []func() (string, func()){sim.diskLossCore, sim.diskAndPowerLoss, sim.replaceCore}
	for at < sim.options.Length {
		at += sim.randomDuration(0, 5*time.Second)
		draw := kinds[sim.rng.IntN(len(kinds))]
		if sim.rng.IntN(calmPeriodOneIn) == 0 { // losses for good are allowed only when all has been calm
			at += sim.randomDuration(catchUpTime, maxCalmPeriod)
			draw = losses[sim.rng.IntN(len(losses))]
		}
		name, do := draw()
		out = append(out, fault{name: name, at: at, begin: do})
	}
	return out
}

const (
	// maxPartition is for how long machines of the core are cut off or stand still at most.
	maxPartition = 20 * time.Second
	// calmPeriodOneIn is how seldom a fault is preceded by a quiet time, of at most quietMost.
	calmPeriodOneIn = 5
	maxCalmPeriod   = 15 * time.Second
)

func (sim *simulation) anyCore() *core { return sim.cores[sim.rng.IntN(len(sim.cores))] }
func (sim *simulation) anyRunnerHost() *runnerHost {
	return sim.runnerHosts[sim.rng.IntN(len(sim.runnerHosts))]
}

// faultFor has trouble last for a time and end by a function.
func (sim *simulation) faultFor(d time.Duration, end func()) {
	sim.recordFault()
	var keep func()
	until := sim.now + d
	keep = func() {
		sim.recordFault()
		if sim.now >= until {
			end()
			return
		}
		sim.after(min(time.Second, until-sim.now), keep)
	}
	sim.after(min(time.Second, d), keep)
}

// restartAfter starts a machine of the core again after a time.
func (c *core) restartAfter(d time.Duration) {
	c.sim.faultFor(d, func() {
		if !c.up && !c.removed {
			c.boot()
		}
	})
}

func (sim *simulation) crashCore() (string, func()) {
	c, d := sim.anyCore(), sim.randomDuration(50*time.Millisecond, 4*time.Second)
	return fmt.Sprintf("%s is killed for %v", c.address, d), func() { c.crash(); c.restartAfter(d) }
}

func (sim *simulation) powerLossCore() (string, func()) {
	c, d := sim.anyCore(), sim.randomDuration(time.Second, 4*time.Second)
	return fmt.Sprintf("%s loses power for %v", c.address, d), func() { c.losePower(); c.restartAfter(d) }
}

func (sim *simulation) powerLossAll() (string, func()) {
	d := sim.randomDuration(500*time.Millisecond, 9*time.Second)
	return fmt.Sprintf("all of the core lose power for %v", d), func() {
		for _, c := range sim.cores {
			c.losePower()
			c.restartAfter(d + sim.randomDuration(0, 300*time.Millisecond))
		}
	}
}

func (sim *simulation) crashAll() (string, func()) {
	d := sim.randomDuration(50*time.Millisecond, time.Second)
	return fmt.Sprintf("all processes are killed for %v", d), func() {
		for _, c := range sim.cores {
			c.crash()
			c.restartAfter(d)
		}
		for _, h := range sim.runnerHosts {
			sim.stop(h.process)
			sim.after(d, func() { h.boot() })
		}
		for _, c := range sim.gateways {
			sim.stop(c.process)
			sim.after(d, func() { c.boot() })
		}
	}
}

func (sim *simulation) pauseCore() (string, func()) {
	c, d := sim.anyCore(), sim.randomDuration(500*time.Millisecond, 5*time.Second)
	return fmt.Sprintf("%s stands still for %v", c.address, d), func() { sim.faultFor(d, func() {}); sim.pause(c.process, d) }
}

// head returns the machine that serves, or any where none does.
func (sim *simulation) head() *core {
	best := sim.cores[0]
	for _, c := range sim.cores {
		if c.up && c.member.Replica().Serving() && (!best.up || !best.member.Replica().Serving() || c.member.Replica().Epoch() > best.member.Replica().Epoch()) {
			best = c
		}
	}
	return best
}

func (sim *simulation) pauseHead() (string, func()) {
	d := sim.randomDuration(500*time.Millisecond, maxPartition)
	return fmt.Sprintf("the head stands still for %v", d), func() { sim.faultFor(d, func() {}); sim.pause(sim.head().process, d) }
}

func (sim *simulation) crashHead() (string, func()) {
	d := sim.randomDuration(50*time.Millisecond, 4*time.Second)
	return fmt.Sprintf("the head is killed for %v", d), func() { c := sim.head(); c.crash(); c.restartAfter(d) }
}

// partitionFrom cuts a process from others, both ways or one way.
func (sim *simulation) partitionFrom(address string, others []string, d time.Duration, in, out bool) {
	sim.faultFor(d, func() {})
	for _, other := range others {
		if other == address {
			continue
		}
		if out {
			sim.partition(address, other, d)
		}
		if in {
			sim.partition(other, address, d)
		}
	}
}

func (sim *simulation) coreAddresses() (out []string) {
	for _, c := range sim.cores {
		out = append(out, c.address)
	}
	return out
}

func (sim *simulation) partitionCore() (string, func()) {
	c, d := sim.anyCore(), sim.randomDuration(time.Second, maxPartition)
	return fmt.Sprintf("%s is cut from the core for %v", c.address, d), func() { sim.partitionFrom(c.address, sim.coreAddresses(), d, true, true) }
}

func (sim *simulation) partitionCoreOneWay() (string, func()) {
	c, d := sim.anyCore(), sim.randomDuration(time.Second, maxPartition)
	in := sim.rng.IntN(2) == 0
	return fmt.Sprintf("%s is cut one way (in: %v) from the core for %v", c.address, in, d), func() { sim.partitionFrom(c.address, sim.coreAddresses(), d, in, !in) }
}

func (sim *simulation) partitionHeadFromCore() (string, func()) {
	d := sim.randomDuration(time.Second, maxPartition)
	return fmt.Sprintf("the head is cut from the core for %v", d), func() { sim.partitionFrom(sim.head().address, sim.coreAddresses(), d, true, true) }
}

func (sim *simulation) isolateHead() (string, func()) {
	d := sim.randomDuration(time.Second, 7*time.Second)
	return fmt.Sprintf("the head is cut from all for %v", d), func() {
		var all []string
		for address := range sim.processes {
			all = append(all, address)
		}
		sim.partitionFrom(sim.head().address, all, d, true, true)
	}
}

func (sim *simulation) slowDisk() (string, func()) {
	c, d, slow := sim.anyCore(), sim.randomDuration(time.Second, 6*time.Second), sim.randomDuration(50*time.Millisecond, 3*time.Second)
	return fmt.Sprintf("the disk of %s is %v slower for %v", c.address, slow, d), func() {
		c.syncDelay = slow
		sim.faultFor(d, func() { c.syncDelay = 0 })
	}
}

func (sim *simulation) failDiskWrites() (string, func()) {
	c, d := sim.anyCore(), sim.randomDuration(time.Second, 6*time.Second)
	return fmt.Sprintf("the disk of %s refuses writes for %v", c.address, d), func() {
		c.writesFail = true
		sim.faultFor(d, func() { c.writesFail = false })
	}
}

// stepClock has the time of day of one machine, or of all of the core, jump by seconds or by an hour, and back.
func (sim *simulation) stepClock() (string, func()) {
	c, d, by := sim.anyCore(), sim.randomDuration(time.Second, 20*time.Second), sim.randomDuration(-30*time.Second, 30*time.Second)
	if sim.rng.IntN(3) == 0 {
		by = time.Hour
	}
	all, who := sim.rng.IntN(3) == 0, c.address
	if all {
		who = "all of the core"
	}
	return fmt.Sprintf("the time of day of %s is %v off for %v", who, by, d), func() {
		cores := []*core{c}
		if all { // whoever is part of it by then
			cores = slices.Clone(sim.cores)
		}
		for _, c := range cores {
			c.clockOffset = by
			sim.faultFor(d, func() { c.clockOffset = 0 })
		}
	}
}

func (sim *simulation) crashAgent() (string, func()) {
	h, d := sim.anyRunnerHost(), sim.randomDuration(50*time.Millisecond, 5*time.Second)
	return fmt.Sprintf("%s is killed for %v", h.address, d), func() {
		sim.stop(h.process)
		sim.faultFor(d, func() {
			if !h.up {
				h.boot()
			}
		})
	}
}

func (sim *simulation) pauseAgent() (string, func()) {
	h, d := sim.anyRunnerHost(), sim.randomDuration(500*time.Millisecond, 20*time.Second)
	return fmt.Sprintf("%s stands still for %v", h.address, d), func() { sim.faultFor(d, func() {}); sim.pause(h.process, d) }
}

func (sim *simulation) partitionAgent() (string, func()) {
	h, d := sim.anyRunnerHost(), sim.randomDuration(time.Second, 25*time.Second)
	return fmt.Sprintf("%s is cut from the core for %v", h.address, d), func() { sim.partitionFrom(h.address, sim.coreAddresses(), d, true, true) }
}

func (sim *simulation) partitionAgentOneWay() (string, func()) {
	h, d := sim.anyRunnerHost(), sim.randomDuration(time.Second, 25*time.Second)
	in := sim.rng.IntN(2) == 0
	return fmt.Sprintf("%s is cut one way (in: %v) from the core for %v", h.address, in, d), func() { sim.partitionFrom(h.address, sim.coreAddresses(), d, in, !in) }
}

func (sim *simulation) crashGateway() (string, func()) {
	c, d := sim.gateways[sim.rng.IntN(len(sim.gateways))], sim.randomDuration(50*time.Millisecond, 3*time.Second)
	return fmt.Sprintf("%s is killed for %v", c.address, d), func() {
		sim.stop(c.process)
		sim.faultFor(d, func() {
			if !c.up {
				c.boot()
			}
		})
	}
}

func (sim *simulation) crashRunner() (string, func()) {
	h, d := sim.anyRunnerHost(), sim.randomDuration(100*time.Millisecond, 9*time.Second)
	return fmt.Sprintf("the runner at %s crashes for %v", h.address, d), func() {
		h.runner.crash()
		incarnation := h.runnerIncarnation
		sim.faultFor(d, func() {
			if h.runnerIncarnation == incarnation {
				h.startRunner()
			}
		})
	}
}

func (sim *simulation) restartRunner() (string, func()) {
	h := sim.anyRunnerHost()
	return fmt.Sprintf("the runner at %s crashes and is back at once", h.address), func() {
		sim.recordFault()
		h.runner.crash()
		h.startRunner()
	}
}

func (sim *simulation) drainRunner() (string, func()) {
	h, d := sim.anyRunnerHost(), sim.randomDuration(2*time.Second, 6*time.Second)
	return fmt.Sprintf("the runner at %s drains for %v and leaves", h.address, d), func() {
		r := h.runner
		r.draining = true
		sim.after(d, func() {
			if !r.up {
				return
			}
			if h.up {
				sim.execute(h.process, func() { h.node.Machine.Deregister(sim.clock(h.process), r.id) })
			}
			r.crash()
			sim.after(sim.randomDuration(500*time.Millisecond, 3*time.Second), func() {
				if h.runner == r {
					h.startRunner()
				}
			})
		})
	}
}

// leaveWithoutDraining has a runner take its leave without having drained, run on and end.
func (sim *simulation) leaveWithoutDraining() (string, func()) {
	h, d := sim.anyRunnerHost(), sim.randomDuration(100*time.Millisecond, 9*time.Second)
	late := sim.rng.IntN(2) == 0
	return fmt.Sprintf("the runner at %s takes its leave, runs on for %v (late beats: %v) and ends", h.address, d, late), func() {
		r := h.runner
		if !r.up {
			return
		}
		if h.up {
			sim.execute(h.process, func() { h.node.Machine.Deregister(sim.clock(h.process), r.id) })
		}
		if late {
			r.delayHeartbeatsUntil = sim.now + d
		}
		sim.faultFor(d, func() {
			if !r.up {
				return
			}
			r.crash()
			sim.after(sim.randomDuration(500*time.Millisecond, 3*time.Second), func() {
				if h.runner == r {
					h.startRunner()
				}
			})
		})
	}
}

// delayHeartbeats has a runner's beats come seconds late.
func (sim *simulation) delayHeartbeats() (string, func()) {
	h, d := sim.anyRunnerHost(), sim.randomDuration(time.Second, 8*time.Second)
	return fmt.Sprintf("the beats of the runner at %s come up to %v late for %v", h.address, maxHeartbeatDelay, d), func() {
		h.runner.delayHeartbeatsUntil = sim.now + d
		sim.faultFor(d, func() {})
	}
}
