package gateway

import (
	"time"

	"frosttide/internal/chainclient"
	"frosttide/internal/gossip"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// unsentTimeout bounds how long a request waits while no member of the control plane is known to send it to.
const unsentTimeout = 250 * time.Millisecond

// Node is a gateway process as a pure state machine: the gossip by which configurations and views arrive, and the
// client that sends requests to the control plane. It is not safe for concurrent use.
type Node struct {
	gossip     *gossip.Machine
	client     *chainclient.Client
	knownEpoch uint64 // epoch of the newest view that the client has
}

// NewNode returns a gateway at an internal address. contacts are the core machines that it asks for the first view.
func NewNode(address string, incarnation uint64, contacts []string) *Node {
	return &Node{
		gossip: gossip.New(gossip.Config{Address: address, Role: "carrier", Contacts: contacts, Seed: incarnation}),
		client: chainclient.New(incarnation, contacts),
	}
}

// SetContacts replaces the addresses that are tried while no view is known.
func (n *Node) SetContacts(contacts []string) {
	n.gossip.SetContacts(contacts)
	n.client.SetContacts(contacts)
}

// Table returns the newest configuration that has arrived. It is never nil and is not changed any more.
func (n *Node) Table() *routeconfig.Table { return n.gossip.Config() }

// Do sends a request to the control plane and returns its ID. read says that the tail can answer it. Turn returns its
// outcome at the latest when the timeout has passed.
func (n *Node) Do(now time.Duration, r *protocol.ClientRequest, destination chainclient.Destination, timeout time.Duration) uint64 {
	return n.client.Do(now, r, destination, now+timeout, now+unsentTimeout)
}

// Receive handles a message that another process has sent from an internal address.
func (n *Node) Receive(now time.Duration, from string, e *protocol.Envelope) {
	switch body := e.GetBody().(type) {
	case *protocol.Envelope_ClientReply:
		n.client.Reply(now, body.ClientReply)
		n.gossip.ObserveVersion(now, from, body.ClientReply.GetConfigVersion())
	case *protocol.Envelope_Decided:
		n.client.UpdateView(now, body.Decided.GetView())
		n.gossip.SetView(now, body.Decided.GetView())
	case *protocol.Envelope_Shuffle, *protocol.Envelope_Rumor, *protocol.Envelope_RumorPull, *protocol.Envelope_ConfigDelta:
		n.gossip.Receive(now, from, e)
	}
}

// Tick handles the passing of time.
func (n *Node) Tick(now time.Duration) {
	n.gossip.Tick(now)
	n.client.Tick(now)
}

// Turn ends a turn and returns the messages to send and the requests that have ended.
func (n *Node) Turn(now time.Duration) ([]protocol.Outbound, []chainclient.Outcome) {
	if v := n.gossip.View(); v.GetEpoch() > n.knownEpoch {
		n.knownEpoch = v.GetEpoch()
		n.client.UpdateView(now, v)
	}
	var sends []protocol.Outbound
	sends = append(sends, n.gossip.TakeSends()...)
	sends = append(sends, n.client.TakeSends()...)
	return sends, n.client.TakeOutcomes()
}
