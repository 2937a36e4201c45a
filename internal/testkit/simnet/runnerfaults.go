package simnet

import (
	"fmt"
	"time"
)

// crashRunner draws a crash of one runner, which restarts under a new ID.
func (sim *simulation) crashRunner() fault {
	h, d := sim.anyRunnerHost(), sim.randomDuration(100*time.Millisecond, 9*time.Second)
	return fault{fmt.Sprintf("the runner at %s crashes for %v", h.address, d), func() {
		h.runner.crash()
		incarnation := h.runnerIncarnation
		sim.faultFor(d, func() {
			if h.runnerIncarnation == incarnation {
				h.startRunner()
			}
		})
	}}
}

// restartRunner draws a crash of one runner that restarts at once.
func (sim *simulation) restartRunner() fault {
	h := sim.anyRunnerHost()
	return fault{fmt.Sprintf("the runner at %s crashes and is back at once", h.address), func() {
		sim.recordFault()
		h.runner.crash()
		h.startRunner()
	}}
}

// drainRunner draws a graceful shutdown of one runner: it drains, deregisters and ends.
func (sim *simulation) drainRunner() fault {
	h, d := sim.anyRunnerHost(), sim.randomDuration(2*time.Second, 6*time.Second)
	return fault{fmt.Sprintf("the runner at %s drains for %v and deregisters", h.address, d), func() {
		r := h.runner
		r.draining = true
		sim.after(d, func() {
			if !r.up {
				return
			}
			if h.up {
				sim.execute(h.process, func() { h.node.Machine.Deregister(sim.clock(h.process), r.id) })
			}
			h.replaceRunner(r)
		})
	}}
}

// deregisterWithoutDraining draws a runner that deregisters without draining first, continues its
// runs for a time and ends.
func (sim *simulation) deregisterWithoutDraining() fault {
	h, d := sim.anyRunnerHost(), sim.randomDuration(100*time.Millisecond, 9*time.Second)
	delayed := sim.rng.IntN(2) == 0
	return fault{fmt.Sprintf("the runner at %s deregisters without draining, runs on for %v (delayed heartbeats: %v) and ends", h.address, d, delayed), func() {
		r := h.runner
		if !r.up {
			return
		}
		if h.up {
			sim.execute(h.process, func() { h.node.Machine.Deregister(sim.clock(h.process), r.id) })
		}
		if delayed {
			r.delayHeartbeatsUntil = sim.now + d
		}
		sim.faultFor(d, func() {
			if !r.up {
				return
			}
			h.replaceRunner(r)
		})
	}}
}

// delayHeartbeats draws a period in which the heartbeats of one runner are delayed.
func (sim *simulation) delayHeartbeats() fault {
	h, d := sim.anyRunnerHost(), sim.randomDuration(time.Second, 8*time.Second)
	return fault{fmt.Sprintf("the heartbeats of the runner at %s are delayed by up to %v for %v", h.address, maxHeartbeatDelay, d), func() {
		h.runner.delayHeartbeatsUntil = sim.now + d
		sim.faultFor(d, noCleanup)
	}}
}
