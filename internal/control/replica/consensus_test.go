package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// proposer is the address from which tests send the messages of a proposer.
const proposer = "proposer"

// clusterWithVoter returns a serving cluster and one of its voters that is not its head.
func clusterWithVoter(t *testing.T) (*cluster, *node) {
	t.Helper()
	c := newCluster(t, 40, 3)
	c.play(time.Second)
	for _, m := range c.members {
		if m != c.head() {
			return c, m
		}
	}
	t.Fatal("the cluster has no voter other than the head")
	return nil, nil
}

// receive passes a message from the proposer to a member and returns the member's messages to the proposer and its writes.
func (c *cluster) receive(m *node, e *protocol.Envelope) (sent []*protocol.Envelope, writes []Write) {
	actions := m.Receive(c.now, proposer, e)
	return toProposer(actions), actions.Writes
}

// toProposer returns the messages that actions send to the proposer.
func toProposer(actions Actions) (out []*protocol.Envelope) {
	for _, s := range actions.Sends {
		if s.To == proposer {
			out = append(out, s.Message)
		}
	}
	return out
}

// finish reports writes as finished to a member and returns the messages that it then sends to the proposer.
func (c *cluster) finish(m *node, writes []Write) (sent []*protocol.Envelope) {
	for _, w := range writes {
		sent = append(sent, toProposer(m.DiskDone(c.now, w.Sequence, int64(len(w.Data)), nil))...)
	}
	return sent
}

// acceptMessage returns the request to accept a view under a proposal number.
func acceptMessage(v *protocol.View, number uint64) *protocol.Envelope {
	proposed := proto.Clone(v).(*protocol.View)
	proposed.Epoch = number
	return &protocol.Envelope{Body: &protocol.Envelope_Accept{Accept: &protocol.Accept{View: proposed}}}
}

// numberAbove returns a proposal number above all that a member has observed.
func numberAbove(m *node) uint64 {
	return view.NextProposalNumber(max(m.highestNumber, m.promised, m.Epoch()), 9)
}

// TestPromiseIsSyncedBeforeItIsSent requires a promise to be synced before it is sent: otherwise the member could promise a
// lower number after a power loss between the two.
func TestPromiseIsSyncedBeforeItIsSent(t *testing.T) {
	c, m := clusterWithVoter(t)
	number := numberAbove(m)
	sent, writes := c.receive(m, prepareMessage(number))
	require.Empty(t, sent)
	require.NotEmpty(t, writes)
	sent = c.finish(m, writes)
	require.Len(t, sent, 1)
	require.True(t, sent[0].GetPromise().GetOk())
	require.Equal(t, number, sent[0].GetPromise().GetPromised())
}

// TestAcceptanceIsSyncedBeforeItIsSent requires the acceptance of a view to be synced before it is sent.
func TestAcceptanceIsSyncedBeforeItIsSent(t *testing.T) {
	c, m := clusterWithVoter(t)
	number := numberAbove(m)
	sent, writes := c.receive(m, acceptMessage(m.View(), number))
	require.Empty(t, sent)
	require.NotEmpty(t, writes)
	sent = c.finish(m, writes)
	require.Len(t, sent, 1)
	require.True(t, sent[0].GetAccepted().GetOk())
	require.Equal(t, number, sent[0].GetAccepted().GetBallot())
}

// TestCrossingProposals sends the messages of two concurrent proposals to one voter, in several orders. Late and repeated
// messages never lead to a promise or an acceptance below an earlier promise.
func TestCrossingProposals(t *testing.T) {
	const low, high = 0, 1
	type step struct {
		accept bool // an Accept, otherwise a Prepare
		number int  // low or high
		wantOK bool
		silent bool // the voter does not reply
	}
	for _, tc := range []struct {
		name  string
		steps []step
	}{
		{"rising", []step{{number: low, wantOK: true}, {number: high, wantOK: true}, {accept: true, number: high, wantOK: true}}},
		{"a prepare below a promise", []step{{number: high, wantOK: true}, {number: low}}},
		{"an accept below a promise", []step{{number: low, wantOK: true}, {number: high, wantOK: true}, {accept: true, number: low}}},
		{"an accept below an acceptance", []step{{accept: true, number: high, wantOK: true}, {accept: true, number: low}}},
		{"a prepare below an acceptance", []step{{accept: true, number: high, wantOK: true}, {number: low}}},
		{"a repeated prepare", []step{{number: low, wantOK: true}, {number: low, silent: true}, {number: high, wantOK: true}, {number: low}}},
		{"a repeated accept", []step{{accept: true, number: low, wantOK: true}, {accept: true, number: low, wantOK: true}, {accept: true, number: high, wantOK: true}, {accept: true, number: low}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, m := clusterWithVoter(t)
			base := m.View()
			first := numberAbove(m)
			numbers := []uint64{low: first, high: view.NextProposalNumber(first, 9)}
			for i, s := range tc.steps {
				message := prepareMessage(numbers[s.number])
				if s.accept {
					message = acceptMessage(base, numbers[s.number])
				}
				sent, writes := c.receive(m, message)
				sent = append(sent, c.finish(m, writes)...)
				if s.silent {
					require.Empty(t, sent, "step %d", i)
					continue
				}
				require.Len(t, sent, 1, "step %d", i)
				ok := sent[0].GetPromise().GetOk() || sent[0].GetAccepted().GetOk()
				require.Equal(t, s.wantOK, ok, "step %d", i)
			}
		})
	}
}

// TestProposalBuildsOnAcceptedView sends a promise with an accepted view that others may have agreed on: the proposal has to
// follow that view and drop its own change of the voters.
func TestProposalBuildsOnAcceptedView(t *testing.T) {
	c, m := clusterWithVoter(t)
	accepted := proto.Clone(m.View()).(*protocol.View)
	accepted.Epoch = numberAbove(m)
	accepted.Voters = append(accepted.Voters, &protocol.Member{Id: 77, Number: 77, Address: "joiner"})
	accepted.Previous = m.View().GetVoters()
	m.observeNumber(accepted.GetEpoch())
	m.startProposal(intent{reason: "test", dropPrevious: true})
	number := m.proposal.number
	voter := view.Electorate(m.View())[0]
	if voter.GetId() == m.selfID() {
		voter = view.Electorate(m.View())[1]
	}
	promise := &protocol.Promise{Ballot: number, Ok: true, Promised: number, Accepted: accepted, Member: voter.GetId()}
	m.Receive(c.now, voter.GetAddress(), &protocol.Envelope{Body: &protocol.Envelope_Promise{Promise: promise}})
	require.NotNil(t, m.proposal)
	require.True(t, proto.Equal(accepted, m.proposal.base))
	require.False(t, m.proposal.dropPrevious)
	require.False(t, view.Quorum(m.proposal.base, func(id uint64) bool { return id == voter.GetId() || id == 77 }), "both majorities count")
}
