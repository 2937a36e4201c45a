package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// TestWhatKeepsAHeadFromServing deactivates a serving head and requires that it does not serve again while any one of the
// conditions of considerActivation is not met.
func TestWhatKeepsAHeadFromServing(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(head *node, other *peer) // violates the condition; nil for none
		want   bool
	}{
		{"nothing", nil, true},
		{"a chain member has not installed the state", func(_ *node, other *peer) { other.lastHeartbeat.InstalledEpoch-- }, false},
		{"a chain member has promised to leave the view", func(head *node, other *peer) { other.lastHeartbeat.Promised = head.Epoch() + 1 }, false},
		{"the head has promised to leave the view", func(head *node, _ *peer) { head.promised = head.Epoch() + 1 }, false},
		{"the head's state is not on its disk", func(head *node, _ *peer) { head.disk.installedEpoch-- }, false},
		{"the head has restarted in this view", func(head *node, _ *peer) { head.bootEpoch = head.Epoch() }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, head, tail := servingChain(t)
			head.chain.active = false
			if tc.change != nil {
				tc.change(head, head.peers[tail.id])
			}
			head.considerActivation()
			require.Equal(t, tc.want, head.Serving())
		})
	}
}

// TestRestartedChainMemberIsLost requires the head to replace the chain when a chain member has restarted within the view:
// the restarted member no longer knows which entries it has forwarded.
func TestRestartedChainMemberIsLost(t *testing.T) {
	_, head, tail := servingChain(t)
	require.Empty(t, head.lostMemberFault())
	head.peers[tail.id].restarted = true
	require.NotEmpty(t, head.lostMemberFault())
}

// TestInstalledEpochIsReportedFromDisk requires promises and heartbeats to report the installed epoch on disk, not the one in
// memory.
func TestInstalledEpochIsReportedFromDisk(t *testing.T) {
	c, m := clusterWithVoter(t)
	onDisk := m.disk.installedEpoch
	m.installedEpoch++
	require.Equal(t, onDisk, m.ownHeartbeat().GetInstalledEpoch())
	_, writes := c.receive(m, prepareMessage(numberAbove(m)))
	m.disk.pending[len(m.disk.pending)-1].installedEpoch = onDisk // the write began before
	sent := c.finish(m, writes)
	require.Len(t, sent, 1)
	require.Equal(t, onDisk, sent[0].GetPromise().GetInstalledEpoch())
}

// TestBothMajoritiesAcceptAView lets only a majority of the new voters accept a view that changes the voters: the view must
// not be agreed without a majority of the old ones.
func TestBothMajoritiesAcceptAView(t *testing.T) {
	c, m := clusterWithVoter(t)
	base := m.View()
	number := numberAbove(m)
	next := &protocol.View{Epoch: number, Voters: []*protocol.Member{base.GetVoters()[0], {Id: 77, Number: 77}, {Id: 78, Number: 78}}, Chain: []uint64{77, 78}}
	m.proposal = &proposal{number: number, phase: accepting, base: base, view: next, acceptedBy: make(map[uint64]bool)}
	for _, id := range []uint64{77, 78} {
		accepted := &protocol.Accepted{Ballot: number, Ok: true, Promised: number, Member: id}
		m.Receive(c.now, "joiner", &protocol.Envelope{Body: &protocol.Envelope_Accepted{Accepted: accepted}})
	}
	require.NotNil(t, m.proposal, "the proposal has ended without a majority of the old voters")
	require.Less(t, m.Epoch(), number, "the view is agreed without a majority of the old voters")
}

// TestWritesOfAReplacedState finishes a write whose entries a snapshot has replaced in the meantime: they do not count as
// synced.
func TestWritesOfAReplacedState(t *testing.T) {
	c, head, tail := servingChain(t)
	appended := tail.Receive(c.now, head.address, appendMessage(tail.Epoch(), tail.Index(), tail.Index()+1))
	require.NotEmpty(t, appended.Writes)
	tail.resetDurable()
	c.finish(tail, appended.Writes)
	require.Zero(t, tail.durable)
}
