package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// TestWhatKeepsAHeadFromServing has a head that served consider serving once more, each time with one thing against it.
func TestWhatKeepsAHeadFromServing(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(head *node, other *peer) // what is against it; nil for nothing
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

// TestRestartedChainMemberIsLost has the head hear of a chain member that has restarted within the view: it no longer
// knows what it has sent on.
func TestRestartedChainMemberIsLost(t *testing.T) {
	_, head, tail := servingChain(t)
	require.Empty(t, head.lostMemberFault())
	head.peers[tail.id].restarted = true
	require.NotEmpty(t, head.lostMemberFault())
}

// TestInstalledEpochIsReportedFromDisk requires promises and heartbeats to say what is on disk, not what is in memory.
func TestInstalledEpochIsReportedFromDisk(t *testing.T) {
	c, m := follower(t)
	onDisk := m.disk.installedEpoch
	m.installedEpoch++
	require.Equal(t, onDisk, m.ownHeartbeat().GetInstalledEpoch())
	_, writes := c.receive(m, prepareMessage(numberAbove(m)))
	m.disk.pending[len(m.disk.pending)-1].installedEpoch = onDisk // the write began before
	sent := c.finish(m, writes)
	require.Len(t, sent, 1)
	require.Equal(t, onDisk, sent[0].GetPromise().GetInstalledEpoch())
}

// TestBothMajoritiesAcceptAView has a view that changes the voters be accepted by a majority of the new ones alone.
func TestBothMajoritiesAcceptAView(t *testing.T) {
	c, m := follower(t)
	base := m.View()
	number := numberAbove(m)
	next := &protocol.View{Epoch: number, Voters: []*protocol.Member{base.GetVoters()[0], {Id: 77, Number: 77}, {Id: 78, Number: 78}}, Chain: []uint64{77, 78}}
	m.proposal = &proposal{number: number, phase: accepting, base: base, view: next, acceptedBy: make(map[uint64]bool)}
	for _, id := range []uint64{77, 78} {
		accepted := &protocol.Accepted{Ballot: number, Ok: true, Promised: number, Member: id}
		m.Receive(c.now, "joiner", &protocol.Envelope{Body: &protocol.Envelope_Accepted{Accepted: accepted}})
	}
	require.NotNil(t, m.proposal)
	require.Less(t, m.Epoch(), number)
}

// TestWritesOfAReplacedState has a write end whose entries a snapshot has replaced meanwhile: they do not count as synced.
func TestWritesOfAReplacedState(t *testing.T) {
	c, head, tail := servingChain(t)
	taken := tail.Receive(c.now, head.address, appendMessage(tail.Epoch(), tail.Index(), tail.Index()+1))
	require.NotEmpty(t, taken.Writes)
	tail.resetDurable()
	c.finish(tail, taken.Writes)
	require.Zero(t, tail.durable)
}
