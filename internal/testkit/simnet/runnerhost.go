package simnet

import (
	"fmt"
	"time"

	"frosttide/internal/data/agent"
	"frosttide/internal/protocol"
)

// The bounds that the simulation keeps. They are those of the examples of the rules.
const (
	lease              = 12 * time.Second
	maxRunLease        = 6 * time.Second
	stopTime           = 400 * time.Millisecond // how long a run takes at most to stop
	gangTimeout        = 3 * time.Second        // how long a gang's first member waits for the others
	responseTimeout    = time.Second            // of a heartbeat
	checkpointInterval = 2 * time.Second
	remoteSlowdown     = 1.5
	// maxHeartbeatDelay bounds the delay of heartbeats while they are delayed.
	maxHeartbeatDelay = 3500 * time.Millisecond
	// healthCheckInterval is the time between two health checks of a silent runner.
	healthCheckInterval = 100 * time.Millisecond
	// minHeartbeatInterval is the shortest time between heartbeats: shorter ones would only make simulations slower.
	minHeartbeatInterval = 80 * time.Millisecond
	// maxClockDrift is how much slower a runner's clock may be, as a share.
	maxClockDrift = 0.02
	// statusRetention is longer than a simulation lasts, so that no job is forgotten in it.
	statusRetention = 2 * time.Minute
	// dayBeginsMs is the true time of day at the beginning, in milliseconds since 1970.
	dayBeginsMs = 1_800_000_000_000
)

// runnerHost is a machine with a runner and its agent. The process is the agent.
type runnerHost struct {
	*process
	sim               *simulation
	index             int
	node              *agent.Node
	runner            *runner
	runnerIncarnation int           // rises with each start of the runner
	lastHealthCheck   time.Duration // when a silent runner was last checked
}

// runnerHostAddress returns the address of an agent by its number.
func runnerHostAddress(i int) string { return fmt.Sprintf("side%d", i) }

// newRunnerHost makes a machine whose agent and runner have not started.
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

// checkRunner checks the health of a runner that has fallen silent, as the agent's host does.
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

// startRunner starts a runner under a new id.
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
		running:           make(map[string]*run),
		blockedRuns:       make(map[string]uint32),
		heartbeatInterval: 50 * time.Millisecond,
	}
	sim.trace("runner %s starts", h.runner.id)
	h.runner.sendHeartbeat()
}

// replaceRunner ends a runner and starts another one later, unless something else has.
func (h *runnerHost) replaceRunner(r *runner) {
	sim := h.sim
	r.crash()
	sim.after(sim.randomDuration(500*time.Millisecond, 3*time.Second), func() {
		if h.runner == r {
			h.startRunner()
		}
	})
}
