package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// confirmedMessage returns a member's reply to a confirmation request.
func confirmedMessage(epoch, sequence, member uint64, ok bool) *protocol.Envelope {
	return &protocol.Envelope{Body: &protocol.Envelope_Confirmed{Confirmed: &protocol.Confirmed{Epoch: epoch, Round: sequence, Member: member, Ok: ok}}}
}

// TestConfirmationsOfARead starts a read at the tail and sends it one reply: the read is ready only if with this reply a
// majority of the voters has confirmed the epoch since the read arrived.
func TestConfirmationsOfARead(t *testing.T) {
	const token = 7
	for _, tc := range []struct {
		name      string
		reply     func(epoch, sequence, other uint64) *protocol.Envelope // nil for none
		wantReady bool
	}{
		{"a majority", func(epoch, sequence, other uint64) *protocol.Envelope {
			return confirmedMessage(epoch, sequence, other, true)
		}, true},
		{"nobody else", nil, false},
		{"a refusal", func(epoch, sequence, other uint64) *protocol.Envelope {
			return confirmedMessage(epoch, sequence, other, false)
		}, false},
		{"an answer to an earlier request", func(epoch, sequence, other uint64) *protocol.Envelope {
			return confirmedMessage(epoch, sequence-1, other, true)
		}, false},
		{"an entry's commit", func(epoch, _, _ uint64) *protocol.Envelope { return appendMessage(epoch, 0) }, false},
		{"of another epoch", func(epoch, sequence, other uint64) *protocol.Envelope {
			return confirmedMessage(epoch+1, sequence, other, true)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, head, tail := servingChain(t)
			tail.confirmations.inFlight = false
			actions := tail.Read(c.now, token)
			require.Empty(t, actions.ReadsReady)
			if tc.reply != nil {
				actions = tail.Receive(c.now, head.address, tc.reply(tail.Epoch(), tail.confirmations.sequence, head.id))
			}
			require.Equal(t, tc.wantReady, len(actions.ReadsReady) == 1 && actions.ReadsReady[0] == token)
		})
	}
}

// TestReadWaitsForWhatItShows reads an entry at the tail before the tail has synced it: the read is ready only once the
// entry is committed.
func TestReadWaitsForWhatItShows(t *testing.T) {
	c, head, tail := servingChain(t)
	appended := tail.Receive(c.now, head.address, appendMessage(tail.Epoch(), tail.Index(), tail.Index()+1))
	tail.confirmations.inFlight = false
	tail.Read(c.now, 7)
	actions := tail.Receive(c.now, head.address, confirmedMessage(tail.Epoch(), tail.confirmations.sequence, head.id, true))
	require.Empty(t, actions.ReadsReady)
	tail.chain.prefixDurable = tail.Index() // the head has synced it
	ready := false
	for _, w := range appended.Writes {
		ready = ready || len(tail.DiskDone(c.now, w.Sequence, int64(len(w.Data)), nil).ReadsReady) == 1
	}
	require.True(t, ready, "the read is not ready after the entry has been synced")
}

// TestWhoHasPromisedConfirmsNothing asks a voter to confirm its epoch before and after the voter promises a higher number:
// the second request is refused.
func TestWhoHasPromisedConfirmsNothing(t *testing.T) {
	c, m := clusterWithVoter(t)
	confirm := &protocol.Envelope{Body: &protocol.Envelope_Confirm{Confirm: &protocol.Confirm{Epoch: m.Epoch(), Round: 3}}}
	sent, _ := c.receive(m, confirm)
	require.Len(t, sent, 1)
	require.True(t, sent[0].GetConfirmed().GetOk())
	c.receive(m, prepareMessage(numberAbove(m)))
	sent, _ = c.receive(m, confirm)
	require.Len(t, sent, 1)
	require.False(t, sent[0].GetConfirmed().GetOk())
}
