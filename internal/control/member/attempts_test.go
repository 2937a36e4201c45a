package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// TestRecentAttempts checks that repeated attempts are recognized, that the number of remembered
// ones is bounded, and that the oldest ones are forgotten.
func TestRecentAttempts(t *testing.T) {
	var r recentAttempts
	for i := range uint64(3 * maxRecentAttempts) {
		require.False(t, r.record(attempt{id: i, number: 1}))
		require.True(t, r.record(attempt{id: i, number: 1}))
		require.False(t, r.record(attempt{id: i, number: 2}))
		require.LessOrEqual(t, len(r.entries), maxRecentAttempts)
	}
	require.False(t, r.record(attempt{id: 0, number: 1}), "record of the oldest attempt: got duplicate, want it to be forgotten")
}

// TestAttemptThatComesTwice delivers an attempt that was rejected for lack of a majority's
// confirmation again once the member accepts requests. It must not be accepted, because its client
// may already rely on its not having been executed.
func TestAttemptThatComesTwice(t *testing.T) {
	m := newServingMember(t)
	receive := func(now time.Duration, number uint32) (rejected, others int) {
		m.Receive(now, "client", clientRequest(&protocol.ClientRequest{
			Id: 9, Attempt: number, Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: "x"}},
		}))
		return countReplies(completeTurn(m, now))
	}
	const unconfirmedAt = time.Hour // a majority last confirmed the epoch long ago
	rejected, others := receive(unconfirmedAt, 1)
	require.Equal(t, 1, rejected)
	require.Zero(t, others)
	for i := range 20 { // a majority confirms the epoch again
		now := unconfirmedAt + time.Duration(i)*tickInterval
		m.Tick(now, unconfirmedAt.Milliseconds())
		completeTurn(m, now)
	}
	now := unconfirmedAt + time.Second/2
	rejected, others = receive(now, 1)
	require.Zero(t, rejected+others)
	rejected, others = receive(now, 2)
	require.Zero(t, rejected)
	require.Equal(t, 1, others)
}

// countReplies returns how many of the messages are replies that reject an attempt, and how many
// are other replies to clients.
func countReplies(sends []protocol.Outbound) (rejected, others int) {
	for _, s := range sends {
		switch r := s.Message.GetClientReply(); {
		case r == nil:
		case r.GetNotServing():
			rejected++
		default:
			others++
		}
	}
	return rejected, others
}
