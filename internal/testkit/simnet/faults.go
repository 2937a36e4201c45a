package simnet

import (
	"time"
)

// fault is a fault that has been drawn.
type fault struct {
	description string
	begin       func() // what it does; it ends by itself
}

// scheduledFault is a fault with the time at which it begins.
type scheduledFault struct {
	fault
	at time.Duration
}

const (
	// firstFault is the time before which no fault begins, and maxFaultInterval bounds the time between two.
	firstFault       = 4 * time.Second
	maxFaultInterval = 5 * time.Second
	// One fault of calmPeriodOneIn is preceded by a time without faults, of at most maxCalmPeriod.
	calmPeriodOneIn = 5
	maxCalmPeriod   = 15 * time.Second
	// maxPartition is how long machines of the control plane are partitioned or paused at most.
	maxPartition = 20 * time.Second
)

// faultKinds returns the kinds of faults; each draws a fault. Their order belongs to the seeds.
func (sim *simulation) faultKinds() []func() fault {
	core := []func() fault{
		sim.crashCore, sim.powerLossCore, sim.diskLossCore, sim.powerLossAll, sim.crashAll, sim.diskAndPowerLoss, sim.replaceCore,
		sim.pauseCore, sim.partitionCore, sim.partitionCoreOneWay, sim.slowDisk, sim.failDiskWrites, sim.stepClock,
		sim.pauseHead, sim.crashHead, sim.isolateHead, sim.partitionHeadFromCore,
		sim.partitionCoreInTwo, sim.resetLinks, sim.limitBandwidth, sim.delayMessages, sim.duplicateMessages, sim.throttleCPU, sim.replaceTwoCores,
	}
	if sim.options.CoreOnly {
		return core
	}
	return append(core, sim.crashAgent, sim.pauseAgent, sim.partitionAgent, sim.partitionAgentOneWay, sim.crashGateway,
		sim.crashRunner, sim.restartRunner, sim.drainRunner, sim.deregisterWithoutDraining, sim.delayHeartbeats)
}

// drawFaults draws the faults of the simulation, in the order of their times.
func (sim *simulation) drawFaults() (out []scheduledFault) {
	kinds := sim.faultKinds()
	losses := []func() fault{sim.diskLossCore, sim.diskAndPowerLoss, sim.replaceCore}
	for at := firstFault; at < sim.options.Length; {
		at += sim.randomDuration(0, maxFaultInterval)
		draw := kinds[sim.rng.IntN(len(kinds))]
		if sim.rng.IntN(calmPeriodOneIn) == 0 { // losses for good are allowed only when there was no fault for a time
			at += sim.randomDuration(catchUpTime, maxCalmPeriod)
			draw = losses[sim.rng.IntN(len(losses))]
		}
		out = append(out, scheduledFault{draw(), at})
	}
	return out
}

// anyCore draws a machine of the control plane.
func (sim *simulation) anyCore() *core { return sim.cores[sim.rng.IntN(len(sim.cores))] }

// anyRunnerHost draws a machine with a runner.
func (sim *simulation) anyRunnerHost() *runnerHost {
	return sim.runnerHosts[sim.rng.IntN(len(sim.runnerHosts))]
}

// faultFor has a fault that has just begun be in force for a time. At its end a function ends it.
func (sim *simulation) faultFor(d time.Duration, end func()) {
	sim.recordFault()
	var goOn func()
	until := sim.now + d
	goOn = func() {
		sim.recordFault()
		if sim.now >= until {
			end()
			return
		}
		sim.after(min(time.Second, until-sim.now), goOn)
	}
	sim.after(min(time.Second, d), goOn)
}

// noEnd ends a fault that ends by itself.
func noEnd() {}
