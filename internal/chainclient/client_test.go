package chainclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// newView returns a view whose chain consists of the given members, from the head to the tail.
// Member 1 has the address b, member 2 c, and so on.
func newView(epoch uint64, ids ...uint64) *protocol.View {
	v := &protocol.View{Epoch: epoch, Chain: ids}
	for _, id := range ids {
		v.Voters = append(v.Voters, &protocol.Member{Id: id, Address: string(rune('a' + id))})
	}
	return v
}

// newWrite returns a write request.
func newWrite() *protocol.ClientRequest {
	return &protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: "x"}}}
}

// sentTo returns the addresses to which requests were sent since the last call.
func sentTo(c *Client) (out []string) {
	for _, s := range c.TakeSends() {
		if s.Message.GetClientRequest() != nil {
			out = append(out, s.To)
		}
	}
	return out
}

// TestDestinations checks that a write is sent to the head of the chain and a read to its tail.
func TestDestinations(t *testing.T) {
	for _, tc := range []struct {
		name        string
		destination Destination
		want        string
	}{
		{name: "write", destination: ToHead, want: "b"},
		{name: "read", destination: ToTail, want: "d"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(1, []string{"contact"})
			c.UpdateView(0, newView(1, 1, 2, 3))
			c.Do(0, newWrite(), tc.destination, time.Second, time.Second)
			require.Equal(t, []string{tc.want}, sentTo(c))
		})
	}
}

// TestDuplicateReplyIsIgnored checks that a request whose reply arrives twice has one outcome.
func TestDuplicateReplyIsIgnored(t *testing.T) {
	c := New(1, nil)
	c.UpdateView(0, newView(1, 1))
	id := c.Do(0, newWrite(), ToHead, time.Second, time.Second)
	c.Reply(0, &protocol.ClientReply{Id: id, Status: 200})
	c.Reply(0, &protocol.ClientReply{Id: id, Status: 200})
	outcomes := c.TakeOutcomes()
	require.Len(t, outcomes, 1)
	require.EqualValues(t, 200, outcomes[0].Reply.GetStatus())
	require.Zero(t, c.Pending())
}

// TestIDsDifferBetweenIncarnations checks that the first requests of two incarnations of a process
// have different IDs.
func TestIDsDifferBetweenIncarnations(t *testing.T) {
	earlier, later := New(1, nil), New(2, nil)
	require.NotEqual(t, earlier.Do(0, newWrite(), ToHead, time.Second, time.Second), later.Do(0, newWrite(), ToHead, time.Second, time.Second))
}

// TestResendsToNewHead checks that a pending request is sent to the head of a newer view at once,
// and again after resendAfter.
func TestResendsToNewHead(t *testing.T) {
	c := New(1, nil)
	c.UpdateView(0, newView(1, 1))
	c.Do(0, newWrite(), ToHead, 3*time.Second, time.Second)
	require.Equal(t, []string{"b"}, sentTo(c))
	c.UpdateView(0, newView(2, 2))
	require.Equal(t, []string{"c"}, sentTo(c))
	c.UpdateView(0, newView(1, 1))
	require.Empty(t, sentTo(c), "requests sent after an older view")
	c.Tick(resendAfter)
	require.Equal(t, []string{"c"}, sentTo(c))
}

// TestExpires checks the outcomes at the deadlines of a request that could not be sent and of one
// that got no reply.
func TestExpires(t *testing.T) {
	t.Run("not sent", func(t *testing.T) {
		c := New(1, []string{"contact"})
		c.Do(0, newWrite(), ToHead, time.Second, 100*time.Millisecond)
		queried := false
		for now := time.Duration(0); now <= 120*time.Millisecond; now += 20 * time.Millisecond {
			c.Tick(now)
			for _, s := range c.TakeSends() {
				queried = queried || s.To == "contact" && s.Message.GetViewQuery() != nil
			}
		}
		outcomes := c.TakeOutcomes()
		require.Len(t, outcomes, 1)
		require.False(t, outcomes[0].MayHaveExecuted, "an unsent request is reported as possibly executed")
		require.True(t, queried)
	})
	t.Run("without a reply", func(t *testing.T) {
		c := New(1, []string{"contact"})
		c.UpdateView(0, newView(1, 1))
		c.Do(time.Second, newWrite(), ToHead, 2*time.Second, time.Second)
		c.Tick(2 * time.Second)
		outcomes := c.TakeOutcomes()
		require.Len(t, outcomes, 1)
		require.True(t, outcomes[0].MayHaveExecuted)
	})
}

// TestNotServingReplyIsRetried checks that a request that a member refuses is sent again after
// refusedBackoff.
func TestNotServingReplyIsRetried(t *testing.T) {
	c := New(1, nil)
	c.UpdateView(0, newView(1, 1))
	id := c.Do(0, newWrite(), ToHead, time.Second, time.Second)
	c.TakeSends()
	c.Reply(0, &protocol.ClientReply{Id: id, NotServing: true})
	require.Empty(t, c.TakeOutcomes())
	c.Tick(refusedBackoff)
	require.Equal(t, []string{"b"}, sentTo(c))
}

// TestRefusedAttemptsAreNotExecuted checks that a request of two attempts is reported as not
// executed only if both attempts were refused.
func TestRefusedAttemptsAreNotExecuted(t *testing.T) {
	for _, tc := range []struct {
		name            string
		secondRefusal   uint32 // attempt that the second refusal names
		mayHaveExecuted bool
	}{
		{name: "both attempts refused", secondRefusal: 2},
		{name: "the first refusal arrives twice", secondRefusal: 1, mayHaveExecuted: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(1, nil)
			c.UpdateView(0, newView(1, 1))
			id := c.Do(0, newWrite(), ToHead, 100*time.Millisecond, 100*time.Millisecond)
			c.TakeSends()
			c.Reply(0, &protocol.ClientReply{Id: id, NotServing: true, Attempt: 1})
			c.Tick(refusedBackoff)
			require.Len(t, sentTo(c), 1)
			c.Reply(refusedBackoff, &protocol.ClientReply{Id: id, NotServing: true, Attempt: tc.secondRefusal})
			c.Tick(100 * time.Millisecond)
			outcomes := c.TakeOutcomes()
			require.Len(t, outcomes, 1)
			require.Equal(t, tc.mayHaveExecuted, outcomes[0].MayHaveExecuted)
		})
	}
}
