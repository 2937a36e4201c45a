package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

func TestRecentAttempts(t *testing.T) {
	var r recentAttempts
	for i := range uint64(3 * maxRecentAttempts) {
		require.False(t, r.record(attempt{id: i, number: 1}))
		require.True(t, r.record(attempt{id: i, number: 1}))
		require.False(t, r.record(attempt{id: i, number: 2}))
		require.LessOrEqual(t, len(r.entries), maxRecentAttempts)
	}
	require.False(t, r.record(attempt{id: 0, number: 1}), "it came long ago")
}

// TestAttemptThatComesTwice has an attempt that was refused come again once the member serves: its client has been told
// that it was surely not taken.
func TestAttemptThatComesTwice(t *testing.T) {
	m := newServingMember(t)
	request := func(number uint32) *protocol.Envelope {
		return &protocol.Envelope{Body: &protocol.Envelope_ClientRequest{ClientRequest: &protocol.ClientRequest{Id: 9, Attempt: number,
			Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: "x"}}}}}
	}
	countReplies := func(now time.Duration) (refused, others int) {
		for out := m.Turn(now); ; out = m.Turn(now) {
			for _, s := range out.Sends {
				if r := s.Message.GetClientReply(); r != nil && r.GetNotServing() {
					refused++
				} else if r != nil {
					others++
				}
			}
			if len(out.Writes) == 0 {
				return refused, others
			}
			m.DiskDone(now, out.Writes[len(out.Writes)-1].Sequence, 0, nil)
		}
	}
	const outOfContact = time.Hour // no majority has stood by the epoch for long
	m.Receive(outOfContact, "client", request(1))
	refused, others := countReplies(outOfContact)
	require.Equal(t, 1, refused)
	require.Zero(t, others)
	for i := range 20 { // it is in contact again
		m.Tick(outOfContact+time.Duration(i)*20*time.Millisecond, outOfContact.Milliseconds())
		completeTurn(m, outOfContact+time.Duration(i)*20*time.Millisecond)
	}
	now := outOfContact + time.Second/2
	m.Receive(now, "client", request(1))
	refused, others = countReplies(now)
	require.Zero(t, refused+others)
	m.Receive(now, "client", request(2))
	refused, others = countReplies(now)
	require.Zero(t, refused)
	require.Equal(t, 1, others)
}
