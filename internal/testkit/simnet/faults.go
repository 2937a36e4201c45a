package simnet

import (
	"time"
)

// fault is a fault that was drawn.
type fault struct {
	description string
	begin       func() // injects the fault and schedules its end
}

// scheduledFault is a fault with the virtual time at which it begins.
type scheduledFault struct {
	fault
	at time.Duration
}

const (
	// No fault begins before firstFault. Two successive faults begin at most maxFaultInterval
	// apart, unless a calm period lies between them.
	firstFault       = 4 * time.Second
	maxFaultInterval = 5 * time.Second
	// One fault in calmPeriodOneIn, on average, follows a period without new faults of at most
	// maxCalmPeriod.
	calmPeriodOneIn = 5
	maxCalmPeriod   = 15 * time.Second
	// maxPartition is the longest partition of a machine of the control plane, and the longest
	// pause of the head.
	maxPartition = 20 * time.Second
)

// faultKinds returns one function for each kind of fault, which draws a fault of that kind.
// Changing their order changes what each seed simulates.
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
	if sim.options.ImpatientClients {
		core = append(core, sim.pauseGateway)
	}
	return append(core, sim.crashAgent, sim.pauseAgent, sim.partitionAgent, sim.partitionAgentOneWay, sim.crashGateway,
		sim.crashRunner, sim.restartRunner, sim.drainRunner, sim.deregisterWithoutDraining, sim.delayHeartbeats)
}

// drawFaults draws all faults of the simulation, in the order of their times.
func (sim *simulation) drawFaults() (out []scheduledFault) {
	kinds := sim.faultKinds()
	losses := []func() fault{sim.diskLossCore, sim.diskAndPowerLoss, sim.replaceCore}
	for at := firstFault; at < sim.options.Length; {
		at += sim.randomDuration(0, maxFaultInterval)
		draw := kinds[sim.rng.IntN(len(kinds))]
		// Permanent losses are allowed only after a time without faults.
		if sim.rng.IntN(calmPeriodOneIn) == 0 {
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

// faultFor keeps a fault that has just begun in force for d, and then calls end. While a fault is
// in force it is recorded once a second.
func (sim *simulation) faultFor(d time.Duration, end func()) {
	sim.recordFault()
	var renew func()
	until := sim.now + d
	renew = func() {
		sim.recordFault()
		if sim.now >= until {
			end()
			return
		}
		sim.after(min(time.Second, until-sim.now), renew)
	}
	sim.after(min(time.Second, d), renew)
}

// noCleanup is the end function of faults that need no cleanup.
func noCleanup() {}
