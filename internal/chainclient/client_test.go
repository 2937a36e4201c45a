package chainclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

func chain(epoch uint64, ids ...uint64) *protocol.View {
	v := &protocol.View{Epoch: epoch, Chain: ids}
	for _, id := range ids {
		v.Voters = append(v.Voters, &protocol.Member{Id: id, Address: string(rune('a' + id))})
	}
	return v
}

func write() *protocol.ClientRequest {
	return &protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: "x"}}}
}

// sentTo returns where requests were sent since the last call.
func sentTo(c *Client) (out []string) {
	for _, s := range c.TakeSends() {
		if s.Message.GetClientRequest() != nil {
			out = append(out, s.To)
		}
	}
	return out
}

func TestWritesToTheHeadReadsFromTheTail(t *testing.T) {
	c := New(1, []string{"seed"})
	c.UpdateView(0, chain(1, 1, 2, 3))
	c.Do(0, write(), false, time.Second, time.Second)
	require.Equal(t, []string{"b"}, sentTo(c))
	c.Do(0, write(), true, time.Second, time.Second)
	require.Equal(t, []string{"d"}, sentTo(c))
}

func TestRepliesOnce(t *testing.T) {
	c := New(1, nil)
	c.UpdateView(0, chain(1, 1))
	id := c.Do(0, write(), false, time.Second, time.Second)
	c.Reply(0, &protocol.ClientReply{Id: id, Status: 200})
	c.Reply(0, &protocol.ClientReply{Id: id, Status: 200})
	out := c.TakeOutcomes()
	require.Len(t, out, 1)
	require.EqualValues(t, 200, out[0].Reply.GetStatus())
	require.Zero(t, c.Pending())
	other := New(2, nil)
	require.NotEqual(t, id, other.Do(0, write(), false, time.Second, time.Second), "another process has other ids")
}

func TestResendsToNewHead(t *testing.T) {
	c := New(1, nil)
	c.UpdateView(0, chain(1, 1))
	c.Do(0, write(), false, 3*time.Second, time.Second)
	require.Equal(t, []string{"b"}, sentTo(c))
	c.UpdateView(0, chain(2, 2))
	require.Equal(t, []string{"c"}, sentTo(c))
	c.UpdateView(0, chain(1, 1))
	require.Empty(t, sentTo(c), "an older view changes nothing")
	c.Tick(resendAfter)
	require.Equal(t, []string{"c"}, sentTo(c))
}

func TestExpires(t *testing.T) {
	c := New(1, []string{"seed"})
	c.Do(0, write(), false, time.Second, 100*time.Millisecond)
	queried := false
	for now := time.Duration(0); now <= 120*time.Millisecond; now += 20 * time.Millisecond {
		c.Tick(now)
		for _, s := range c.TakeSends() {
			queried = queried || s.To == "seed" && s.Message.GetViewQuery() != nil
		}
	}
	out := c.TakeOutcomes()
	require.Len(t, out, 1)
	require.False(t, out[0].MayHaveExecuted, "nobody can have taken it")
	require.True(t, queried)
	c.UpdateView(0, chain(1, 1))
	c.Do(time.Second, write(), false, 2*time.Second, time.Second)
	c.Tick(2 * time.Second)
	out = c.TakeOutcomes()
	require.Len(t, out, 1)
	require.True(t, out[0].MayHaveExecuted, "it may have been taken")
}

func TestNotServingReplyIsRetried(t *testing.T) {
	c := New(1, nil)
	c.UpdateView(0, chain(1, 1))
	id := c.Do(0, write(), false, time.Second, time.Second)
	c.TakeSends()
	c.Reply(0, &protocol.ClientReply{Id: id, NotServing: true})
	require.Empty(t, c.TakeOutcomes())
	c.Tick(refusedBackoff)
	require.Equal(t, []string{"b"}, sentTo(c))
}

// TestRefusedAttemptsAreNotExecuted has a request count as not taken where each attempt was refused, and as perhaps taken where one
// had no answer.
func TestRefusedAttemptsAreNotExecuted(t *testing.T) {
	c := New(1, nil)
	c.UpdateView(0, chain(1, 1))
	refused := c.Do(0, write(), false, 100*time.Millisecond, 100*time.Millisecond)
	unclear := c.Do(0, write(), false, 100*time.Millisecond, 100*time.Millisecond)
	c.TakeSends()
	for _, id := range []uint64{refused, unclear} {
		c.Reply(0, &protocol.ClientReply{Id: id, NotServing: true, Attempt: 1})
	}
	c.Tick(refusedBackoff)
	require.Len(t, sentTo(c), 2)
	c.Reply(refusedBackoff, &protocol.ClientReply{Id: refused, NotServing: true, Attempt: 2})
	c.Reply(refusedBackoff, &protocol.ClientReply{Id: unclear, NotServing: true, Attempt: 1}) // the first refusal comes twice
	c.Tick(100 * time.Millisecond)
	out := c.TakeOutcomes()
	require.Len(t, out, 2)
	for _, o := range out {
		require.Equal(t, o.ID == unclear, o.MayHaveExecuted)
	}
}
