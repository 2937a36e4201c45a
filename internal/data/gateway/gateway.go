package gateway

import (
	"context"
	"time"

	"frosttide/internal/chainclient"
	"frosttide/internal/nodefile"
	"frosttide/internal/process"
	"frosttide/internal/protocol"
)

// tickInterval is the interval between ticks of the state machine.
const tickInterval = 20 * time.Millisecond

// Gateway connects the state machine of a gateway to the network and to its HTTP handlers.
type Gateway struct {
	process  *process.Process
	node     *Node                                 // used only on the process's goroutine
	pending  map[uint64]chan<- chainclient.Outcome // waiting handlers by request ID; likewise
	frontend *frontend
}

// call is a request to the control plane on behalf of a client, and how to send it.
type call struct {
	request     *protocol.ClientRequest
	destination chainclient.Destination // the tail for read-only requests
	timeout     time.Duration
}

// Run runs a gateway with the settings that were read from the file at path. It returns after the
// context has ended and the open requests are answered or GraceS has passed. It returns an error if
// the settings lack a required key or if it can't listen on an address.
func Run(ctx context.Context, path string, settings *nodefile.File) error {
	if settings.ListenAddrs.Front == "" {
		return nodefile.MissingKey(path, "ListenAddrs.Front")
	}
	if settings.ListenAddrs.Readiness == "" {
		return nodefile.MissingKey(path, "ListenAddrs.Readiness")
	}
	g := &Gateway{pending: make(map[uint64]chan<- chainclient.Outcome)}
	p, err := process.New(path, settings, "carrier", func(from string, e *protocol.Envelope) {
		g.node.Receive(g.process.Now(), from, e)
	})
	if err != nil {
		return err
	}
	defer p.Close()
	g.process = p
	g.node = NewNode(p.Address, p.Incarnation, settings.Contacts())
	g.frontend = newFrontend(g, nodefile.Seconds(settings.Bounds.GraceS))
	defer g.frontend.close()
	if err := g.frontend.listen(settings.ListenAddrs.Front, settings.ListenAddrs.Readiness); err != nil {
		return err
	}
	p.Serve(ctx, process.Role{
		TickInterval:  tickInterval,
		Tick:          g.tick,
		AfterTurn:     g.afterTurn,
		ApplySettings: func(changed *nodefile.File) { g.node.SetContacts(changed.Contacts()) },
		Drain:         g.frontend.drain,
	})
	return nil
}

// tick passes the current time to the node.
func (g *Gateway) tick() { g.node.Tick(g.process.Now()) }

// afterTurn publishes the configuration, sends the node's messages and hands the outcomes of
// completed requests to the handlers that wait for them.
func (g *Gateway) afterTurn() {
	sends, outcomes := g.node.Turn(g.process.Now())
	g.frontend.table.Store(g.node.Table())
	for _, send := range sends {
		g.process.Send(send.To, send.Message)
	}
	for _, outcome := range outcomes {
		if caller := g.pending[outcome.ID]; caller != nil {
			delete(g.pending, outcome.ID)
			caller <- outcome // never blocks: the channel is buffered
		}
	}
}

// do sends a request to the control plane and returns its outcome. It returns false if the context
// ends first.
func (g *Gateway) do(ctx context.Context, c call) (chainclient.Outcome, bool) {
	result := make(chan chainclient.Outcome, 1)
	g.process.Post(func() {
		g.pending[g.node.Do(g.process.Now(), c.request, c.destination, c.timeout)] = result
	})
	select {
	case outcome := <-result:
		return outcome, true
	case <-ctx.Done():
		return chainclient.Outcome{}, false
	}
}
