package quorum

import (
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

// applied is a state machine that notes what it is given.
type applied struct {
	mu      sync.Mutex
	entries []string
}

func (a *applied) Apply(entry *raft.Log) any {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = append(a.entries, string(entry.Data))
	return nil
}

func (a *applied) Snapshot() (raft.FSMSnapshot, error) { return nil, io.EOF }
func (a *applied) Restore(io.ReadCloser) error         { return nil }

func (a *applied) all() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.entries...)
}

func loopback(t *testing.T) *raft.NetworkTransport {
	t.Helper()
	trans, err := raft.NewTCPTransport("127.0.0.1:0", nil, 2, 5*time.Second, io.Discard)
	require.NoError(t, err)
	t.Cleanup(func() { trans.Close() })
	return trans
}

// staleFollower returns a member that led in term 1 and whose log ends with entry 7, which no other
// has.
func staleFollower(t *testing.T) (*raft.Raft, *applied, *raft.NetworkTransport) {
	t.Helper()
	trans, store, machine := loopback(t), raft.NewInmemStore(), &applied{}
	members := raft.Configuration{Servers: []raft.Server{{ID: "old", Address: trans.LocalAddr()}, {ID: "new", Address: "127.0.0.1:1"}, {ID: "third", Address: "127.0.0.1:2"}}}
	require.NoError(t, store.StoreLog(&raft.Log{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(members)}))
	for i := uint64(2); i <= 7; i++ {
		require.NoError(t, store.StoreLog(&raft.Log{Index: i, Term: 1, Type: raft.LogCommand, Data: fmt.Appendf(nil, "term 1 entry %d", i)}))
	}
	require.NoError(t, store.SetUint64([]byte("CurrentTerm"), 1))
	config := raft.DefaultConfig()
	config.LocalID, config.Logger = "old", hclog.NewNullLogger()
	config.HeartbeatTimeout, config.ElectionTimeout = time.Minute, time.Minute // it stays a follower
	r, err := raft.NewRaft(config, machine, store, store, raft.NewInmemSnapshotStore(), transport{trans, trans.LocalAddr()})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, r.Shutdown().Error()) })
	return r, machine, trans
}

// ahead is a request of the new leader's that verifies entries up to 6 and whose commit index is 7.
func ahead(leader *raft.NetworkTransport) *raft.AppendEntriesRequest {
	return &raft.AppendEntriesRequest{RPCHeader: raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, ID: []byte("new"), Addr: []byte(leader.LocalAddr())},
		Term: 2, PrevLogEntry: 6, PrevLogTerm: 1, LeaderCommitIndex: 7}
}

// TestStaleEntryIsNotCommitted plays what made the logs of two members differ for good: a member
// that led wakes with an entry that no other has, and the first request of the new leader commits
// that index before the new leader's own entry has come.
func TestStaleEntryIsNotCommitted(t *testing.T) {
	for _, piped := range []bool{false, true} {
		t.Run(fmt.Sprint("piped=", piped), func(t *testing.T) {
			follower, machine, trans := staleFollower(t)
			leader := loopback(t)
			send := sender(t, transport{leader, leader.LocalAddr()}, trans.LocalAddr(), piped)
			require.True(t, send(ahead(leader)).Success)
			require.EqualValues(t, 6, follower.CommitIndex(), "the entry of term 1 at 7 is not the one that is committed")
			next := ahead(leader)
			next.Entries = []*raft.Log{{Index: 7, Term: 2, Type: raft.LogCommand, Data: []byte("term 2 entry 7")}}
			require.True(t, send(next).Success)
			require.EqualValues(t, 7, follower.CommitIndex())
			require.Eventually(t, func() bool { return len(machine.all()) == 6 }, 10*time.Second, time.Millisecond)
			require.Equal(t, "term 2 entry 7", machine.all()[5])
		})
	}
}

// sender returns what sends a request by itself, or through a pipeline.
func sender(t *testing.T, from transport, to raft.ServerAddress, piped bool) func(*raft.AppendEntriesRequest) raft.AppendEntriesResponse {
	t.Helper()
	if !piped {
		return func(request *raft.AppendEntriesRequest) (response raft.AppendEntriesResponse) {
			require.NoError(t, from.AppendEntries("old", to, request, &response))
			return response
		}
	}
	p, err := from.AppendEntriesPipeline("old", to)
	require.NoError(t, err)
	t.Cleanup(func() { p.Close() })
	return func(request *raft.AppendEntriesRequest) (response raft.AppendEntriesResponse) {
		_, err := p.AppendEntries(request, &response)
		require.NoError(t, err)
		require.NoError(t, (<-p.Consumer()).Error())
		return response
	}
}

// TestVerifiedLeavesOthers checks that a request whose commit index it verifies is sent as it is.
func TestVerifiedLeavesOthers(t *testing.T) {
	for _, request := range []*raft.AppendEntriesRequest{
		{Term: 2}, // a heartbeat
		{Term: 2, PrevLogEntry: 6, LeaderCommitIndex: 6},
		{Term: 2, PrevLogEntry: 6, LeaderCommitIndex: 7, Entries: []*raft.Log{{Index: 7}}},
	} {
		require.Same(t, request, limitCommitIndex(request))
	}
	request := &raft.AppendEntriesRequest{Term: 2, PrevLogEntry: 6, LeaderCommitIndex: 9, Entries: []*raft.Log{{Index: 7}}}
	require.EqualValues(t, 7, limitCommitIndex(request).LeaderCommitIndex)
	require.EqualValues(t, 9, request.LeaderCommitIndex, "the engine's own is left alone")
}
