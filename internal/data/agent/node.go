package agent

import (
	"time"

	"frosttide/internal/gossip"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// Node is a companion process as a pure state machine: the machine that answers the runner, and the gossip
// by which it learns of views.
type Node struct {
	Machine    *Machine
	gossip     *gossip.Machine
	knownEpoch uint64 // epoch that the machine has been told of
}

// NewNode returns a companion process at an internal address.
func NewNode(cfg Config, address string, now time.Duration) *Node {
	return &Node{Machine: New(cfg, now), gossip: gossip.New(gossip.Config{Address: address, Role: "companion", Contacts: cfg.Contacts, Seed: cfg.Seed})}
}

// SetContacts replaces the processes that are asked at first.
func (n *Node) SetContacts(contacts []string) {
	n.Machine.SetContacts(contacts)
	n.gossip.SetContacts(contacts)
}

// Receive handles a message of another process.
func (n *Node) Receive(now time.Duration, from string, e *protocol.Envelope) {
	switch body := e.GetBody().(type) {
	case *protocol.Envelope_RunnerOrders:
		n.Machine.HandleOrders(now, from, body.RunnerOrders)
	case *protocol.Envelope_Decided:
		n.gossip.SetView(now, body.Decided.GetView())
	case *protocol.Envelope_Shuffle, *protocol.Envelope_Rumor, *protocol.Envelope_RumorPull, *protocol.Envelope_ConfigDelta:
		n.gossip.Receive(now, from, e)
	}
}

// Tick lets time pass.
func (n *Node) Tick(now time.Duration) { n.gossip.Tick(now) }

// Turn ends a turn and returns the messages to be sent.
func (n *Node) Turn(now time.Duration) []Send {
	if v := n.gossip.View(); v.GetEpoch() > n.knownEpoch && len(v.GetChain()) > 0 {
		n.knownEpoch = v.GetEpoch()
		n.Machine.SetView(now, v.GetEpoch(), view.Find(v.GetVoters(), view.Head(v)).GetAddress())
	}
	n.Machine.Tick(now)
	out := n.Machine.TakeSends()
	for _, s := range n.gossip.TakeSends() {
		out = append(out, Send(s))
	}
	return out
}
