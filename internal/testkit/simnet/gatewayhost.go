package simnet

import (
	"fmt"
	"time"

	"frosttide/internal/chainclient"
	"frosttide/internal/data/gateway"
	"frosttide/internal/protocol"
)

// gatewayHost is a machine with a gateway, which accepts clients' jobs.
type gatewayHost struct {
	*process
	sim            *simulation
	node           *gateway.Node
	pendingReplies map[uint64]func(chainclient.Outcome)
	version        uint64 // highest configuration version of this incarnation
}

// gatewayAddress returns the address of a gateway by its number.
func gatewayAddress(i int) string { return fmt.Sprintf("carrier%d", i) }

// newGateway creates a machine whose gateway has not booted.
func (sim *simulation) newGateway(i int) *gatewayHost {
	g := &gatewayHost{sim: sim, process: &process{address: gatewayAddress(i)}}
	sim.processes[g.address] = g.process
	g.receive = func(from string, e *protocol.Envelope) { g.node.Receive(sim.clock(g.process), from, e) }
	g.turn = g.applyOutput
	return g
}

// anyGateway draws a gateway.
func (sim *simulation) anyGateway() *gatewayHost {
	return sim.gateways[sim.rng.IntN(len(sim.gateways))]
}

// boot starts the gateway without any state.
func (g *gatewayHost) boot() {
	sim := g.sim
	sim.start(g.process)
	g.pendingReplies, g.version = make(map[uint64]func(chainclient.Outcome)), 0
	g.node = gateway.NewNode(g.address, sim.rng.Uint64()>>1, contacts())
	sim.repeat(g.process, tickInterval, func() { g.node.Tick(sim.clock(g.process)) })
}

// applyOutput sends the messages of the gateway's turn and answers callers. It also checks that the
// version of the gateway's configuration never decreases.
func (g *gatewayHost) applyOutput() {
	sim := g.sim
	sends, outcomes := g.node.Turn(sim.clock(g.process))
	for _, s := range sends {
		sim.send(g.process, s.To, s.Message)
	}
	for _, o := range outcomes {
		if reply := g.pendingReplies[o.ID]; reply != nil {
			delete(g.pendingReplies, o.ID)
			reply(o)
		}
	}
	if v := g.node.Table().Version; v < g.version {
		sim.violation("CONFIG", "%s goes back from version %d to %d", g.address, g.version, v)
	} else {
		g.version = v
	}
}

// request passes a request to the gateway, to be answered within the timeout. Handle is never
// called if the gateway is down or ends before it has an answer.
func (g *gatewayHost) request(r *protocol.ClientRequest, destination chainclient.Destination, timeout time.Duration, handle func(chainclient.Outcome)) {
	sim := g.sim
	if !g.up {
		return
	}
	sim.execute(g.process, func() {
		id := g.node.Do(sim.clock(g.process), r, destination, timeout)
		g.pendingReplies[id] = handle
	})
}
