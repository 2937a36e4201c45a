package simnet

import (
	"fmt"
	"time"

	"frosttide/internal/data/agent"
	"frosttide/internal/protocol"
)

// Timing and limits of runners and agents, as in the examples of the rules.
const (
	lease              = 12 * time.Second
	maxRunLease        = 6 * time.Second
	stopTime           = 400 * time.Millisecond // longest time that a run takes to stop
	gangTimeout        = 3 * time.Second        // how long a member of a gang waits for the rest
	responseTimeout    = time.Second            // of a heartbeat
	checkpointInterval = 2 * time.Second
	maxListedEnds      = 500     // in a heartbeat
	maxResponseBytes   = 4 << 20 // which a runner takes in response to a heartbeat
	remoteSlowdown     = 1.5
	// maxHeartbeatDelay bounds the delay of heartbeats during the fault delayHeartbeats.
	maxHeartbeatDelay = 3500 * time.Millisecond
	// healthCheckInterval is the time between two health checks of a runner that sends no
	// heartbeats.
	healthCheckInterval = 100 * time.Millisecond
	// minHeartbeatInterval is the shortest interval between heartbeats. Shorter ones would only
	// slow down simulations.
	minHeartbeatInterval = 80 * time.Millisecond
	// maxClockDrift is how much slower a runner's clock may run, as a fraction.
	maxClockDrift = 0.02
	// statusRetention is longer than any simulation, so that no job is forgotten during one.
	statusRetention = 2 * time.Minute
	// startOfDayMs is the correct wall-clock time at the start of a simulation, in milliseconds
	// since 1970.
	startOfDayMs = 1_800_000_000_000
)

// runnerHost is a machine with a runner and its agent. The embedded process is the agent.
type runnerHost struct {
	*process
	sim               *simulation
	index             int
	node              *agent.Node
	runner            *runner
	runnerIncarnation int           // increases with each start of the runner
	lastHealthCheck   time.Duration // when checkRunner last started a check
	bulk              bool          // the runner is the one of bulkService
}

// runnerHostAddress returns the address of an agent by its number.
func runnerHostAddress(i int) string { return fmt.Sprintf("side%d", i) }

// newRunnerHost creates a machine whose agent and runner have not started.
func (sim *simulation) newRunnerHost(i int) *runnerHost {
	h := &runnerHost{sim: sim, index: i, process: &process{address: runnerHostAddress(i)}}
	sim.processes[h.address] = h.process
	h.receive = func(from string, e *protocol.Envelope) { h.node.Receive(sim.clock(h.process), from, e) }
	h.turn = func() {
		for _, m := range h.node.Turn(sim.clock(h.process)) {
			sim.send(h.process, m.To, m.Message)
		}
	}
	return h
}

// boot starts the agent.
func (h *runnerHost) boot() {
	sim := h.sim
	sim.start(h.process)
	h.node = agent.NewNode(agent.Config{Incarnation: sim.rng.Uint64() >> 1, MaxRunLease: maxRunLease, Contacts: contacts(),
		Seed: sim.rng.Uint64()}, h.address, sim.clock(h.process))
	h.turn()
	sim.repeat(h.process, 2*tickInterval, func() {
		h.node.Tick(sim.clock(h.process))
		h.checkRunner()
	})
}

// checkRunner checks the health of a runner that sends no heartbeats, as the real host of an agent
// does.
func (h *runnerHost) checkRunner() {
	sim := h.sim
	if sim.now-h.lastHealthCheck < healthCheckInterval {
		return
	}
	id, due := h.node.Machine.NextHealthCheck(sim.clock(h.process))
	if !due {
		return
	}
	h.lastHealthCheck = sim.now
	incarnation := h.incarnation
	sim.after(sim.randomDuration(0, time.Millisecond), func() {
		refused := !h.runner.up
		if h.up && h.incarnation == incarnation {
			sim.execute(h.process, func() { h.node.Machine.HealthCheckDone(sim.clock(h.process), id, refused) })
		}
	})
}

// startRunner starts a runner under a new ID.
func (h *runnerHost) startRunner() {
	sim := h.sim
	h.runnerIncarnation++
	services, zones := []string{"cut", "render"}, []string{"a", "b"}
	h.runner = &runner{
		host:              h,
		id:                fmt.Sprintf("i%d-%d", h.index, h.runnerIncarnation),
		service:           services[h.index%2],
		labels:            []string{zones[h.index/2%2], fmt.Sprintf("r%d-1", h.index/4)},
		cpu:               8000,
		clockRate:         1 + sim.rng.Float64()*maxClockDrift,
		up:                true,
		running:           make(map[string]*taskRun),
		blockedRuns:       make(map[string]uint32),
		heartbeatInterval: 50 * time.Millisecond,
	}
	if h.bulk {
		h.runner.service, h.runner.cpu = bulkService, sim.bulkSize().runnerCPU
	}
	sim.trace("runner %s starts", h.runner.id)
	h.runner.sendHeartbeat()
}

// replaceRunner ends a runner and starts another one after a delay, unless another one has started
// by then.
func (h *runnerHost) replaceRunner(r *runner) {
	sim := h.sim
	r.crash()
	sim.after(sim.randomDuration(500*time.Millisecond, 3*time.Second), func() {
		if h.runner == r {
			h.startRunner()
		}
	})
}
