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
	// tickEvery is how often the state machines are told of the time.
	tickEvery = 20 * time.Millisecond
	// unsentTime is how long a request is kept while nobody can be found to pass it on to.
	unsentTime = 250 * time.Millisecond
)

// Carrier is the process.
type Carrier struct {
	process *process.Process
	node    *Node
	waiting map[uint64]chan<- chainclient.Outcome
	front   *front
}

// Run runs the process until the context ends.
func Run(ctx context.Context, path string, settings *nodefile.File) error {
	if settings.ListenAddrs.Front == "" {
		return nodefile.Needs(path, "ListenAddrs.Front")
	}
	if settings.ListenAddrs.Readiness == "" {
		return nodefile.Needs(path, "ListenAddrs.Readiness")
	}
	c := &Carrier{waiting: make(map[uint64]chan<- chainclient.Outcome)}
	p, err := process.New(path, settings, "carrier", func(from string, e *protocol.Envelope) {
		c.node.Receive(c.process.Now(), from, e)
	})
	if err != nil {
		return err
	}
	defer p.Close()
	c.process = p
	c.node = NewNode(p.Address, p.Incarnation, settings.Contacts())
	if c.front, err = newFront(c, settings); err != nil {
		return err
	}
	running, end := context.WithCancel(context.Background())
	defer end()
	p.Follow(running, func(changed *nodefile.File) { c.node.SetContacts(changed.Contacts()) })
	go func() {
		<-ctx.Done()
		klog.InfoS("Carrier drains")
		c.front.drain()
		end()
	}()
	p.Loop(running, tickEvery, c.tick, c.after)
	return nil
}

func (c *Carrier) tick() { c.node.Tick(c.process.Now()) }

func (c *Carrier) after() {
	sends, outcomes := c.node.Turn(c.process.Now())
	c.front.table.Store(c.node.Table())
	for _, s := range sends {
		c.process.Send(s.To, s.Message)
	}
	for _, o := range outcomes {
		if waiting := c.waiting[o.ID]; waiting != nil {
			delete(c.waiting, o.ID)
			waiting <- o
		}
	}
}

// ask has the control plane answer a request within a time.
func (c *Carrier) ask(ctx context.Context, r *protocol.ClientRequest, read bool, within time.Duration) (chainclient.Outcome, bool) {
	answer := make(chan chainclient.Outcome, 1)
	c.process.Do(func() {
		c.waiting[c.node.Ask(c.process.Now(), r, read, within)] = answer
	})
	select {
	case o := <-answer:
		return o, true
	case <-ctx.Done():
		return chainclient.Outcome{}, false
	}
}
