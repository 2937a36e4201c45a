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
	require.False(t, r.record(attempt{id: 0, number: 1}), "an attempt of long ago is still known")
}

// TestAttemptThatComesTwice delivers a rejected attempt again once the member serves. It must not be accepted, because
// its client may already rely on its not having been executed.
func TestAttemptThatComesTwice(t *testing.T) {
	m := newServingMember(t)
	receive := func(now time.Duration, number uint32) (rejected, others int) {
		m.Receive(now, "client", clientRequest(&protocol.ClientRequest{
			Id: 9, Attempt: number, Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: "x"}},
		}))
		return countReplies(completeTurn(m, now))
	}
	const outOfContact = time.Hour // no majority has confirmed the epoch for long
	rejected, others := receive(outOfContact, 1)
	require.Equal(t, 1, rejected)
	require.Zero(t, others)
	for i := range 20 { // the member is in contact again
		now := outOfContact + time.Duration(i)*tickInterval
		m.Tick(now, outOfContact.Milliseconds())
		completeTurn(m, now)
	}
	now := outOfContact + time.Second/2
	rejected, others = receive(now, 1)
	require.Zero(t, rejected+others)
	rejected, others = receive(now, 2)
	require.Zero(t, rejected)
	require.Equal(t, 1, others)
}

// countReplies returns how many of the sends are replies to clients that reject an attempt, and how many are others.
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
