package agent

import (
	"testing"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/protocol/protocoltest"
)

// FuzzReceive checks that an agent keeps answering its runner with a run lease up to the maximum
// and a positive heartbeat interval, whatever message another process sends.
func FuzzReceive(f *testing.F) {
	v := &protocol.View{Epoch: 5, Voters: []*protocol.Member{{Id: 1, Address: headAddress}}, Chain: []uint64{1}}
	protocoltest.Fuzz(f, []*protocol.Envelope{
		{Body: &protocol.Envelope_RunnerOrders{RunnerOrders: &protocol.RunnerOrders{Epoch: 5, Sequence: 1, Session: 1, Runner: "i1", Companion: 100, Full: true, LeaseRound: 1, LeaseMs: 12000,
			Runs: []*protocol.RunOrder{{Task: "a.0.0.0", Run: 1, Spec: "s"}}}}},
		{Body: &protocol.Envelope_RunnerOrders{RunnerOrders: &protocol.RunnerOrders{Epoch: 5, Sequence: 1, Session: 1, Runner: "i1", Companion: 100, Drop: []*protocol.RunRef{{Task: "a.0.0.0", Run: 1}}}}},
		{Body: &protocol.Envelope_RunnerOrders{RunnerOrders: &protocol.RunnerOrders{Epoch: 1 << 62, LeaseMs: 1 << 31, LeaseRound: 1 << 62}}},
		{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: v}}},
		{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: &protocol.View{Epoch: 1 << 62, Chain: []uint64{9}}}}},
		{Body: &protocol.Envelope_Shuffle{Shuffle: &protocol.Shuffle{}}},
		{Body: &protocol.Envelope_Rumor{Rumor: &protocol.Rumor{}}},
		{Body: &protocol.Envelope_ConfigDelta{ConfigDelta: &protocol.ConfigDelta{}}},
	}, func(t *testing.T, e *protocol.Envelope) {
		const maxRunLease = 6 * time.Second
		n := NewNode(Config{Incarnation: 100, MaxRunLease: maxRunLease, Contacts: []string{"seed"}, Seed: 1}, "self", 0)
		n.Receive(0, headAddress, &protocol.Envelope{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: v}}})
		for i := range uint64(10) {
			now := time.Duration(i) * 100 * time.Millisecond
			response := n.Machine.HandleHeartbeat(now, &Heartbeat{Account: &protocol.RunnerAccount{Id: "i1"}, Sequence: i + 1})
			if response.RunLease > maxRunLease {
				t.Errorf("got a run lease of %v, which is above the maximum", response.RunLease)
			}
			if response.HeartbeatInterval <= 0 {
				t.Error("got no positive interval until the next heartbeat")
			}
			n.Receive(now, headAddress, e)
			n.Tick(now)
			n.Turn(now)
		}
	})
}
