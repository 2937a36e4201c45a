package gateway

import (
	"time"

	"frosttide/internal/chainclient"
	"frosttide/internal/gossip"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// unsentTimeout limits how long a request is queued while no member of the control plane is known
// to which it could be sent.
const unsentTimeout = 250 * time.Millisecond

// Node is the state machine of a gateway process. It combines the gossip, by which configurations
// and views arrive, and the client that sends requests to the control plane. It performs no I/O and
// is not safe for concurrent use.
type Node struct {
	gossip     *gossip.Machine
	client     *chainclient.Client
	knownEpoch uint64 // epoch of the newest view that was passed to the client
}

// NewNode returns the node of a gateway with the given internal address. contacts are the addresses
// of the core machines that are asked for the first view. incarnation distinguishes this process
// from earlier ones at the address and seeds the random numbers of the gossip.
func NewNode(address string, incarnation uint64, contacts []string) *Node {
	return &Node{
		gossip: gossip.New(gossip.Config{Address: address, Role: "carrier", Contacts: contacts, Seed: incarnation}),
		client: chainclient.New(incarnation, contacts),
	}
}

// SetContacts replaces the addresses of the core machines that are used while no view is known.
func (n *Node) SetContacts(contacts []string) {
	n.gossip.SetContacts(contacts)
	n.client.SetContacts(contacts)
}

// Table returns the newest configuration received. It is never nil and is immutable.
func (n *Node) Table() *routeconfig.Table { return n.gossip.Config() }

// Do sends a request to the head or the tail of the control plane's chain and returns the request's
// ID. Turn returns its outcome once it is known, at the latest when the timeout has passed.
func (n *Node) Do(now time.Duration, r *protocol.ClientRequest, destination chainclient.Destination, timeout time.Duration) uint64 {
	return n.client.Do(now, r, destination, now+timeout, now+unsentTimeout)
}

// Receive handles a message that the process at the internal address "from" has sent.
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

// Tick advances the time, which triggers the time-outs and retries that are due.
func (n *Node) Tick(now time.Duration) {
	n.gossip.Tick(now)
	n.client.Tick(now)
}

// Turn ends a turn of the event loop: it returns the messages to send and the outcomes of the
// requests that have completed since the previous turn.
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
