package member

import (
	"testing"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/protocol/protocoltest"
)

// FuzzReceive checks that no message from another process makes a serving member panic or changes
// its identity.
func FuzzReceive(f *testing.F) {
	protocoltest.Fuzz(f, []*protocol.Envelope{
		{Body: &protocol.Envelope_Heartbeat{Heartbeat: &protocol.Heartbeat{Member: &protocol.Member{Id: 9, Address: "other"}, Epoch: 1}}},
		{Body: &protocol.Envelope_Prepare{Prepare: &protocol.Prepare{Ballot: 1 << 20}}},
		{Body: &protocol.Envelope_Accept{Accept: &protocol.Accept{}}},
		{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{}}},
		{Body: &protocol.Envelope_SyncRequest{SyncRequest: &protocol.SyncRequest{Epoch: 1, Install: true}}},
		{Body: &protocol.Envelope_SyncReply{SyncReply: &protocol.SyncReply{Count: 1}}},
		{Body: &protocol.Envelope_Append{Append: &protocol.Append{Entries: []*protocol.Entry{{}}}}},
		{Body: &protocol.Envelope_RunnerReport{RunnerReport: &protocol.RunnerReport{Account: &protocol.RunnerAccount{Id: "i"}}}},
		{Body: &protocol.Envelope_ClientRequest{ClientRequest: &protocol.ClientRequest{Id: 1}}},
	}, func(t *testing.T, e *protocol.Envelope) {
		m := newServingMember(t)
		for i := range 3 {
			now := servingAt + time.Duration(i)*300*time.Millisecond
			m.Receive(now, "other", e)
			m.Tick(now, now.Milliseconds())
			completeTurn(m, now)
		}
		if m.Replica().Status().Self != 7 {
			t.Error("own ID after the message: got another, want 7")
		}
	})
}
