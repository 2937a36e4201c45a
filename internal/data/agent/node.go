package agent

import (
	"time"

	"frosttide/internal/gossip"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// Node is the state machine of an agent process. It combines the Machine that answers the runner
// and the gossip by which views arrive. It performs no I/O and is not safe for concurrent use.
type Node struct {
	Machine    *Machine
	gossip     *gossip.Machine
	knownEpoch uint64 // epoch of the newest view that was passed to the machine
}

// NewNode returns the node of an agent process with the given internal address.
func NewNode(cfg Config, address string, now time.Duration) *Node {
	return &Node{
		Machine: New(cfg, now),
		gossip:  gossip.New(gossip.Config{Address: address, Role: "companion", Contacts: cfg.Contacts, Seed: cfg.Seed}),
	}
}

// SetContacts replaces the addresses of the core machines that are used while no view is known.
func (n *Node) SetContacts(contacts []string) {
	n.Machine.SetContacts(contacts)
	n.gossip.SetContacts(contacts)
}

// Receive handles a message that the process at the internal address "from" has sent.
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

// Tick advances the time of the gossip. Turn advances that of the Machine.
func (n *Node) Tick(now time.Duration) { n.gossip.Tick(now) }

// Turn ends a turn of the event loop: it passes a newer view to the Machine, advances the Machine's
// time and returns the messages to send.
func (n *Node) Turn(now time.Duration) []protocol.Outbound {
	if v := n.gossip.View(); v.GetEpoch() > n.knownEpoch && len(v.GetChain()) > 0 {
		n.knownEpoch = v.GetEpoch()
		n.Machine.SetView(now, v.GetEpoch(), view.Find(v.GetVoters(), view.Head(v)).GetAddress())
	}
	n.Machine.Tick(now)
	out := n.Machine.TakeSends()
	out = append(out, n.gossip.TakeSends()...)
	return out
}
