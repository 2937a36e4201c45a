package member

import (
	"testing"
	"time"

	"frosttide/internal/control/replica"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/protocol"
	"frosttide/internal/protocol/protocoltest"
)

// newServingMember returns a member that is alone and serves as the head.
func newServingMember(t testing.TB) *Member {
	t.Helper()
	self := &protocol.Member{Id: 7, Number: 1, Address: "self", Control: "self"}
	m := New(Config{Replica: replica.Config{Self: self, Incarnation: 1, Contacts: []string{"self"}, Timing: replica.DefaultTiming()},
		Scheduler: scheduler.Config{Lease: time.Second, StatusRetention: time.Second, RackPrefix: "r", RemoteSlowdown: 2}}, 0, replica.FoundingState(self, []*protocol.Member{self}))
	for now := time.Duration(0); now < 2*time.Second; now += 20 * time.Millisecond {
		m.Tick(now, now.Milliseconds())
		completeTurn(m, now)
	}
	if m.Scheduler() == nil {
		t.Fatal("it does not serve")
	}
	return m
}

// completeTurn carries out a turn on a disk that syncs at once.
func completeTurn(m *Member, now time.Duration) {
	for out := m.Turn(now); len(out.Writes) > 0; out = m.Turn(now) {
		m.DiskDone(now, out.Writes[len(out.Writes)-1].Sequence, 0, nil)
	}
}

// FuzzReceive has a serving member bear any message of another process.
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
			now := 2*time.Second + time.Duration(i)*300*time.Millisecond
			m.Receive(now, "other", e)
			m.Tick(now, now.Milliseconds())
			completeTurn(m, now)
		}
		if m.Replica().Status().Self != 7 {
			t.Error("its identity has changed")
		}
	})
}
