// Package carrier takes clients' jobs: it serves the queues of the newest configuration over HTTP, reads
// and checks what clients send, has the control plane answer it, and tells clients what it knows when
// that does not answer in time.
package carrier

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"frosttide/internal/chainclient"
	"frosttide/internal/gossip"
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
	gossip  *gossip.Machine
	client  *chainclient.Client
	waiting map[uint64]chan<- chainclient.Outcome
	known   uint64 // epoch that gossip and client have been told of
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
	p, err := process.New(path, settings, "carrier", c.receive)
	if err != nil {
		return err
	}
	defer p.Close()
	c.process = p
	c.gossip = gossip.New(gossip.Config{Address: p.Address, Role: "carrier", Contacts: settings.Contacts(), Seed: p.Incarnation})
	c.client = chainclient.New(p.Incarnation, settings.Contacts())
	if c.front, err = newFront(c, settings); err != nil {
		return err
	}
	running, end := context.WithCancel(context.Background())
	defer end()
	go func() {
		<-ctx.Done()
		klog.InfoS("Carrier drains")
		c.front.drain()
		end()
	}()
	p.Loop(running, tickEvery, c.tick, c.after)
	return nil
}

// Reread takes a changed settings file.
func (c *Carrier) Reread() { c.process.Reread() }

func (c *Carrier) receive(from string, e *protocol.Envelope) {
	now := c.process.Now()
	switch body := e.GetBody().(type) {
	case *protocol.Envelope_ClientReply:
		c.client.Reply(now, body.ClientReply)
		c.gossip.Hear(now, from, body.ClientReply.GetConfigVersion())
	case *protocol.Envelope_Decided:
		c.client.Learn(now, body.Decided.GetView())
		c.gossip.SetView(now, body.Decided.GetView())
	case *protocol.Envelope_Shuffle, *protocol.Envelope_Rumor, *protocol.Envelope_RumorPull, *protocol.Envelope_ConfigDelta:
		c.gossip.Receive(now, from, e)
	}
}

func (c *Carrier) tick() {
	now := c.process.Now()
	c.gossip.Tick(now)
	c.client.Tick(now)
}

func (c *Carrier) after() {
	if v := c.gossip.View(); v.GetEpoch() > c.known {
		c.known = v.GetEpoch()
		c.client.Learn(c.process.Now(), v)
	}
	c.front.table.Store(c.gossip.Config())
	for _, s := range c.gossip.TakeSends() {
		c.process.Send(s.To, s.Message)
	}
	for _, s := range c.client.TakeSends() {
		c.process.Send(s.To, s.Message)
	}
	for _, o := range c.client.TakeOutcomes() {
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
		now := c.process.Now()
		c.waiting[c.client.Do(now, r, read, now+within, now+unsentTime)] = answer
	})
	select {
	case o := <-answer:
		return o, true
	case <-ctx.Done():
		return chainclient.Outcome{}, false
	}
}
