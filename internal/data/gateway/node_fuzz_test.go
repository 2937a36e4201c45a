package gateway

import (
	"testing"
	"time"

	"frosttide/internal/chainclient"
	"frosttide/internal/protocol"
	"frosttide/internal/protocol/protocoltest"
)

// FuzzReceive checks that a gateway reports exactly one outcome of a pending request, whatever
// message another process sends.
func FuzzReceive(f *testing.F) {
	protocoltest.Fuzz(f, []*protocol.Envelope{
		{Body: &protocol.Envelope_ClientReply{ClientReply: &protocol.ClientReply{Id: 1, Status: 200, ConfigVersion: 3}}},
		{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: &protocol.View{Epoch: 1 << 20, Voters: []*protocol.Member{{Id: 1, Address: "core"}}, Chain: []uint64{1}}}}},
		{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: &protocol.View{Epoch: 1 << 20, Chain: []uint64{1}}}}},
		{Body: &protocol.Envelope_Shuffle{Shuffle: &protocol.Shuffle{}}},
		{Body: &protocol.Envelope_Rumor{Rumor: &protocol.Rumor{}}},
		{Body: &protocol.Envelope_RumorPull{RumorPull: &protocol.RumorPull{}}},
		{Body: &protocol.Envelope_ConfigDelta{ConfigDelta: &protocol.ConfigDelta{}}},
	}, func(t *testing.T, e *protocol.Envelope) {
		n := NewNode("self", 1, []string{"core"})
		id := n.Do(0, &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadConfig{ReadConfig: &protocol.ReadConfig{}}}, chainclient.ToTail, time.Second)
		outcomeCount := 0
		for now := time.Duration(0); now < 3*time.Second; now += 300 * time.Millisecond {
			n.Receive(now, "other", e)
			n.Tick(now)
			_, outcomes := n.Turn(now)
			for _, o := range outcomes {
				if o.ID == id {
					outcomeCount++
				}
			}
		}
		if outcomeCount != 1 {
			t.Errorf("got %d outcomes of the request, want 1", outcomeCount)
		}
	})
}
