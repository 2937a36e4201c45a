// Package gateway takes clients' jobs: it serves the queues of the newest configuration over HTTP, reads
// and checks what clients send, has the control plane answer it, and tells clients what it knows when
// that does not answer in time.
package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"frosttide/internal/chainclient"
	"frosttide/internal/nodefile"
	"frosttide/internal/process"
	"frosttide/internal/protocol"
)

const (
	// tickInterval is how often the state machines are told of the time.
	tickInterval = 20 * time.Millisecond
	// unsentTimeout is how long a request is kept while nobody can be found to pass it on to.
	unsentTimeout = 250 * time.Millisecond
)

// Gateway is the process.
type Gateway struct {
	process  *process.Process
	node     *Node
	pending  map[uint64]chan<- chainclient.Outcome
	frontend *frontend
}

// Run runs the process until the context ends.
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
	if g.frontend, err = newFrontend(g, settings); err != nil {
		return err
	}
	running, end := context.WithCancel(context.Background())
	defer end()
	p.WatchSettings(running, func(changed *nodefile.File) { g.node.SetContacts(changed.Contacts()) })
	go func() {
		<-ctx.Done()
		klog.InfoS("Carrier drains")
		g.frontend.drain()
		end()
	}()
	p.Run(running, tickInterval, g.tick, g.afterTurn)
	return nil
}

func (g *Gateway) tick() { g.node.Tick(g.process.Now()) }

func (g *Gateway) afterTurn() {
	sends, outcomes := g.node.Turn(g.process.Now())
	g.frontend.table.Store(g.node.Table())
	for _, s := range sends {
		g.process.Send(s.To, s.Message)
	}
	for _, o := range outcomes {
		if waiting := g.pending[o.ID]; waiting != nil {
			delete(g.pending, o.ID)
			waiting <- o
		}
	}
}

// do has the control plane answer a request within a time.
func (g *Gateway) do(ctx context.Context, r *protocol.ClientRequest, read bool, timeout time.Duration) (chainclient.Outcome, bool) {
	outcome := make(chan chainclient.Outcome, 1)
	g.process.Post(func() {
		g.pending[g.node.Do(g.process.Now(), r, read, timeout)] = outcome
	})
	select {
	case o := <-outcome:
		return o, true
	case <-ctx.Done():
		return chainclient.Outcome{}, false
	}
}
