package gateway

import (
	"time"

	"frosttide/internal/chainclient"
	"frosttide/internal/gossip"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// Send is a message to the process at an internal address.
type Send struct {
	To      string
	Message *protocol.Envelope
}

// Node is a carrier process as a pure state machine: the gossip by which it learns of configurations and
// views, and the client that asks the control plane.
type Node struct {
	gossip     *gossip.Machine
	client     *chainclient.Client
	knownEpoch uint64 // epoch that the client has been told of
}

// NewNode returns a carrier process at an internal address.
func NewNode(address string, incarnation uint64, contacts []string) *Node {
	return &Node{
		gossip: gossip.New(gossip.Config{Address: address, Role: "carrier", Contacts: contacts, Seed: incarnation}),
		client: chainclient.New(incarnation, contacts),
	}
}

// SetContacts replaces the processes that are asked at first.
func (n *Node) SetContacts(contacts []string) {
	n.gossip.SetContacts(contacts)
	n.client.SetContacts(contacts)
}

// Table returns the newest configuration that has arrived.
func (n *Node) Table() *routeconfig.Table { return n.gossip.Config() }

// Do has the control plane answer a request within a time and returns its id.
func (n *Node) Do(now time.Duration, r *protocol.ClientRequest, read bool, timeout time.Duration) uint64 {
	return n.client.Do(now, r, read, now+timeout, now+unsentTimeout)
}

// Receive handles a message of another process.
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

// Tick lets time pass.
func (n *Node) Tick(now time.Duration) {
	n.gossip.Tick(now)
	n.client.Tick(now)
}

// Turn ends a turn and returns what is to be sent and the requests that have ended.
func (n *Node) Turn(now time.Duration) ([]Send, []chainclient.Outcome) {
	if v := n.gossip.View(); v.GetEpoch() > n.knownEpoch {
		n.knownEpoch = v.GetEpoch()
		n.client.UpdateView(now, v)
	}
	var sends []Send
	for _, s := range n.gossip.TakeSends() {
		sends = append(sends, Send(s))
	}
	for _, s := range n.client.TakeSends() {
		sends = append(sends, Send(s))
	}
	return sends, n.client.TakeOutcomes()
}
