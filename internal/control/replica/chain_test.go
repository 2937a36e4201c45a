package replica

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// servingChain returns a cluster of three members with a committed write, its head and its tail.
func servingChain(t *testing.T) (c *cluster, head, tail *node) {
	t.Helper()
	c = newCluster(t, 41, 3)
	c.play(time.Second)
	require.True(t, c.write(1))
	c.play(100 * time.Millisecond)
	head = c.head()
	require.NotNil(t, head)
	for _, m := range c.members {
		if m.id == view.Tail(head.View()) {
			tail = m
		}
	}
	require.NotNil(t, tail)
	require.NotEqual(t, head, tail)
	return c, head, tail
}

// appendMessage returns an Append message of an epoch with entries at the given indexes. first is the index that the message
// says its entries follow.
func appendMessage(epoch, first uint64, indexes ...uint64) *protocol.Envelope {
	a := &protocol.Append{Epoch: epoch, First: first}
	for _, index := range indexes {
		a.Entries = append(a.Entries, &protocol.Entry{Index: index, Puts: []*protocol.Put{{Key: "k", Value: []byte("v")}}})
	}
	return &protocol.Envelope{Body: &protocol.Envelope_Append{Append: a}}
}

// TestEntriesThatAreNotTaken sends the tail entries that it must not append: its state does not change.
func TestEntriesThatAreNotTaken(t *testing.T) {
	for _, tc := range []struct {
		name         string
		before       func(c *cluster, tail *node)
		message      func(epoch, index uint64) *protocol.Envelope
		wantAppended bool
		wantResend   bool
	}{
		{name: "the next entry", message: func(epoch, index uint64) *protocol.Envelope { return appendMessage(epoch, index, index+1) }, wantAppended: true},
		{name: "an older epoch", message: func(epoch, index uint64) *protocol.Envelope { return appendMessage(epoch-1, index, index+1) }},
		{name: "a newer epoch", message: func(epoch, index uint64) *protocol.Envelope { return appendMessage(epoch+1, index, index+1) }},
		{
			name:    "an epoch that it has promised to leave",
			before:  func(c *cluster, tail *node) { tail.Receive(c.now, proposer, prepareMessage(numberAbove(tail))) },
			message: func(epoch, index uint64) *protocol.Envelope { return appendMessage(epoch, index, index+1) },
		},
		{
			name:    "before the state of the view is installed",
			before:  func(_ *cluster, tail *node) { tail.installedEpoch-- },
			message: func(epoch, index uint64) *protocol.Envelope { return appendMessage(epoch, index, index+1) },
		},
		{name: "a gap within the message", message: func(epoch, index uint64) *protocol.Envelope { return appendMessage(epoch, index, index+2) }},
		{name: "a gap before the message", message: func(epoch, index uint64) *protocol.Envelope { return appendMessage(epoch, index+1, index+2) }, wantResend: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, head, tail := servingChain(t)
			epoch, index := tail.Epoch(), tail.Index()
			if tc.before != nil {
				tc.before(c, tail)
			}
			actions := tail.Receive(c.now, head.address, tc.message(epoch, index))
			want := index
			if tc.wantAppended {
				want++
			}
			require.Equal(t, want, tail.Index())
			resend := false
			for _, s := range actions.Sends {
				resend = resend || s.To == head.address && s.Message.GetAppendAck().GetResend()
			}
			require.Equal(t, tc.wantResend, resend)
		})
	}
}

// TestFollowerTakesNoEntriesOfAnotherEpoch sends a follower outside the chain the next entry: it appends the entry only if
// the epoch is its own.
func TestFollowerTakesNoEntriesOfAnotherEpoch(t *testing.T) {
	for _, tc := range []struct {
		name  string
		epoch func(own uint64) uint64
		want  bool
	}{
		{"its own", func(own uint64) uint64 { return own }, true},
		{"an older one", func(own uint64) uint64 { return own - 1 }, false},
		{"a newer one", func(own uint64) uint64 { return own + 1 }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, _, tail := servingChain(t)
			outside := c.memberOutsideChain()
			require.NotNil(t, outside)
			require.True(t, outside.chain.following)
			index := outside.Index()
			outside.Receive(c.now, tail.address, appendMessage(tc.epoch(outside.Epoch()), index, index+1))
			require.Equal(t, tc.want, outside.Index() == index+1)
		})
	}
}

// TestAcknowledgementsThatDoNotCount sends the head acknowledgements of an uncommitted entry: only one from its successor
// and of its epoch commits the entry.
func TestAcknowledgementsThatDoNotCount(t *testing.T) {
	for _, tc := range []struct {
		name          string
		fromSuccessor bool
		epochOffset   uint64
		wantCommitted bool
	}{
		{name: "the successor's", fromSuccessor: true, wantCommitted: true},
		{name: "another member's"},
		{name: "of another epoch", fromSuccessor: true, epochOffset: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, head, tail := servingChain(t)
			index, actions, err := head.Append(c.now, &protocol.Entry{Puts: []*protocol.Put{{Key: "k", Value: []byte("v")}}})
			require.NoError(t, err)
			c.finish(head, actions.Writes)
			require.Less(t, head.Committed(), index)
			from := "another"
			if tc.fromSuccessor {
				from = tail.address
			}
			ack := &protocol.AppendAck{Epoch: head.Epoch() + tc.epochOffset, Durable: index, Index: index}
			head.Receive(c.now, from, &protocol.Envelope{Body: &protocol.Envelope_AppendAck{AppendAck: ack}})
			require.Equal(t, tc.wantCommitted, head.Committed() >= index)
		})
	}
}

// TestHeadThatHasPromisedAppendsNothing requires a head that has promised another proposer's number to append no entry.
func TestHeadThatHasPromisedAppendsNothing(t *testing.T) {
	c, head, _ := servingChain(t)
	require.True(t, head.CanAppend())
	head.Receive(c.now, proposer, prepareMessage(numberAbove(head)))
	_, _, err := head.Append(c.now, &protocol.Entry{})
	require.ErrorIs(t, err, ErrCannotAppend, "the head appends an entry in an epoch that it has promised to leave")
}

// TestEntryThatCannotBeEncoded guards against a head that takes such an entry for the failure of its disk, so that one
// request stops one head after the other.
func TestEntryThatCannotBeEncoded(t *testing.T) {
	c, head, _ := servingChain(t)
	for _, e := range []*protocol.Entry{
		{Puts: []*protocol.Put{{Key: "k", Value: []byte("v")}, {Key: "repetici\xf3n"}}},
		{Deletes: []string{"repetici\xf3n"}},
	} {
		index, items := head.Index(), head.Store().Len()
		_, actions, err := head.Append(c.now, e)
		require.True(t, errors.Is(err, ErrUnencodable), "%v", err)
		c.do(head, actions)
		require.Equal(t, index, head.Index())
		require.Equal(t, items, head.Store().Len())
	}
	c.awaitWrite(2, time.Second)
	c.play(2 * time.Second)
	require.Equal(t, head, c.head(), "another member has become the head")
	require.False(t, head.Status().DiskFailed)
	c.requireNoWriteLost()
}
