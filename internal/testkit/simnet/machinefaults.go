package simnet

import (
	"fmt"
	"slices"
	"time"
)

// restartAfter boots the machine again after d, unless it is up by then or was removed.
func (c *core) restartAfter(d time.Duration) {
	c.sim.faultFor(d, func() {
		if !c.up && !c.removed {
			c.boot()
		}
	})
}

// crashCore draws a crash of one process of the control plane.
func (sim *simulation) crashCore() fault {
	c, d := sim.anyCore(), sim.randomDuration(50*time.Millisecond, 4*time.Second)
	return fault{fmt.Sprintf("%s crashes for %v", c.address, d), func() { c.crash(); c.restartAfter(d) }}
}

// crashHead draws a crash of the machine that is the head when the fault begins.
func (sim *simulation) crashHead() fault {
	d := sim.randomDuration(50*time.Millisecond, 4*time.Second)
	return fault{fmt.Sprintf("the head crashes for %v", d), func() { c := sim.head(); c.crash(); c.restartAfter(d) }}
}

// crashAll draws a crash of all processes except the runners.
func (sim *simulation) crashAll() fault {
	d := sim.randomDuration(50*time.Millisecond, time.Second)
	return fault{fmt.Sprintf("all processes crash for %v", d), func() {
		for _, c := range sim.cores {
			c.crash()
			c.restartAfter(d)
		}
		for _, h := range sim.runnerHosts {
			sim.stop(h.process)
			sim.after(d, func() { h.boot() })
		}
		for _, g := range sim.gateways {
			sim.stop(g.process)
			sim.after(d, func() { g.boot() })
		}
	}}
}

// powerLossCore draws a power loss of one machine of the control plane, with a torn write if one is
// in progress.
func (sim *simulation) powerLossCore() fault {
	c, d := sim.anyCore(), sim.randomDuration(time.Second, 4*time.Second)
	return fault{fmt.Sprintf("%s loses power for %v", c.address, d), func() { c.losePower(); c.restartAfter(d) }}
}

// powerLossAll draws a power loss of the whole control plane. The machines restart at slightly
// different times.
func (sim *simulation) powerLossAll() fault {
	d := sim.randomDuration(500*time.Millisecond, 9*time.Second)
	return fault{fmt.Sprintf("all of the core lose power for %v", d), func() {
		for _, c := range sim.cores {
			c.losePower()
			c.restartAfter(d + sim.randomDuration(0, 300*time.Millisecond))
		}
	}}
}

// pauseCore draws a pause of one process of the control plane.
func (sim *simulation) pauseCore() fault {
	c, d := sim.anyCore(), sim.randomDuration(500*time.Millisecond, 5*time.Second)
	return fault{fmt.Sprintf("%s is paused for %v", c.address, d), func() { sim.faultFor(d, noCleanup); sim.pause(c.process, d) }}
}

// pauseHead draws a pause of the process that is the head when the fault begins.
func (sim *simulation) pauseHead() fault {
	d := sim.randomDuration(500*time.Millisecond, maxPartition)
	return fault{fmt.Sprintf("the head is paused for %v", d), func() { sim.faultFor(d, noCleanup); sim.pause(sim.head().process, d) }}
}

// throttleCPU draws CPU throttling of one machine of the control plane: in each period the process
// runs at full speed until its quota is used up, and is paused for the rest.
func (sim *simulation) throttleCPU() fault {
	const period = 100 * time.Millisecond
	c, d, quota := sim.anyCore(), sim.randomDuration(time.Second, 10*time.Second), sim.randomDuration(10*time.Millisecond, 80*time.Millisecond)
	return fault{fmt.Sprintf("%s is throttled to %v of each %v for %v", c.address, quota, period, d), func() {
		until := sim.now + d
		sim.faultFor(d, noCleanup)
		var nextPeriod func()
		nextPeriod = func() {
			if sim.now >= until {
				return
			}
			sim.after(quota, func() { sim.pause(c.process, period-quota) })
			sim.after(period, nextPeriod)
		}
		nextPeriod()
	}}
}

// stepClock draws a clock step: the wall clock of one machine, or of the whole control plane, jumps
// by up to 30 s or by an hour, and later back.
func (sim *simulation) stepClock() fault {
	c, d, offset := sim.anyCore(), sim.randomDuration(time.Second, 20*time.Second), sim.randomDuration(-30*time.Second, 30*time.Second)
	if sim.rng.IntN(3) == 0 {
		offset = time.Hour
	}
	all, target := sim.rng.IntN(3) == 0, c.address
	if all {
		target = "all of the core"
	}
	return fault{fmt.Sprintf("the clock of %s is stepped by %v for %v", target, offset, d), func() {
		cores := []*core{c}
		if all { // the machines that exist when the fault begins
			cores = slices.Clone(sim.cores)
		}
		for _, c := range cores {
			c.clockOffset = offset
			sim.faultFor(d, func() { c.clockOffset = 0 })
		}
	}}
}

// crashGateway draws a crash of one gateway.
func (sim *simulation) crashGateway() fault {
	g, d := sim.anyGateway(), sim.randomDuration(50*time.Millisecond, 3*time.Second)
	return fault{fmt.Sprintf("%s crashes for %v", g.address, d), func() {
		sim.stop(g.process)
		sim.faultFor(d, func() {
			if !g.up {
				g.boot()
			}
		})
	}}
}

// crashAgent draws a crash of one agent; its runner keeps running.
func (sim *simulation) crashAgent() fault {
	h, d := sim.anyRunnerHost(), sim.randomDuration(50*time.Millisecond, 5*time.Second)
	return fault{fmt.Sprintf("%s crashes for %v", h.address, d), func() {
		sim.stop(h.process)
		sim.faultFor(d, func() {
			if !h.up {
				h.boot()
			}
		})
	}}
}

// pauseAgent draws a pause of one agent.
func (sim *simulation) pauseAgent() fault {
	h, d := sim.anyRunnerHost(), sim.randomDuration(500*time.Millisecond, 20*time.Second)
	return fault{fmt.Sprintf("%s is paused for %v", h.address, d), func() { sim.faultFor(d, noCleanup); sim.pause(h.process, d) }}
}
