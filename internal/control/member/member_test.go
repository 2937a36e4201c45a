package member

import (
	"testing"
	"time"

	"frosttide/internal/control/replica"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/protocol"
)

const (
	tickInterval = 20 * time.Millisecond
	// servingAt is the time by which the member of newServingMember serves as the head.
	servingAt = 2 * time.Second
)

// newServingMember returns the only member of a control plane at servingAt, when it serves as the
// head.
func newServingMember(t testing.TB) *Member {
	t.Helper()
	self := &protocol.Member{Id: 7, Number: 1, Address: "self", Control: "self"}
	cfg := Config{
		Replica: replica.Config{
			Self:        self,
			Incarnation: 1,
			Contacts:    []string{"self"},
			Timing:      replica.DefaultTiming(),
		},
		Scheduler: scheduler.Config{
			Lease:           time.Second,
			StatusRetention: time.Second,
			RackPrefix:      "r",
			RemoteSlowdown:  2,
		},
	}
	m := New(cfg, 0, replica.FoundingState(self, []*protocol.Member{self}))
	for now := time.Duration(0); now < servingAt; now += tickInterval {
		m.Tick(now, now.Milliseconds())
		completeTurn(m, now)
	}
	if m.Scheduler() == nil {
		t.Fatal("got no scheduler at servingAt, want the member to serve as the head")
	}
	return m
}

// completeTurn ends the turn, reports its writes as synced until none are left, and returns the
// messages to send.
func completeTurn(m *Member, now time.Duration) (sends []protocol.Outbound) {
	for {
		out := m.Turn(now)
		sends = append(sends, out.Sends...)
		if len(out.Writes) == 0 {
			return sends
		}
		m.DiskDone(now, out.Writes[len(out.Writes)-1].Sequence, 0, nil)
	}
}

// clientRequest wraps a request in an envelope.
func clientRequest(r *protocol.ClientRequest) *protocol.Envelope {
	return &protocol.Envelope{Body: &protocol.Envelope_ClientRequest{ClientRequest: r}}
}
