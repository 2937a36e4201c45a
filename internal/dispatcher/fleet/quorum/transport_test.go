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

// recordingFSM is a state machine that records the data of the entries applied to it.
type recordingFSM struct {
	mu      sync.Mutex
	entries []string
}

func (a *recordingFSM) Apply(entry *raft.Log) any {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = append(a.entries, string(entry.Data))
	return nil
}

func (a *recordingFSM) Snapshot() (raft.FSMSnapshot, error) { return nil, io.EOF }
func (a *recordingFSM) Restore(io.ReadCloser) error         { return nil }

func (a *recordingFSM) applied() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.entries...)
}

// newLoopbackTransport opens a transport on a free port of the loopback interface.
func newLoopbackTransport(t *testing.T) *raft.NetworkTransport {
	t.Helper()
	trans, err := raft.NewTCPTransport("127.0.0.1:0", nil, 2, 5*time.Second, io.Discard)
	require.NoError(t, err)
	t.Cleanup(func() { trans.Close() })
	return trans
}

// staleFollower starts a follower that was the leader in term 1 and whose log ends with entry 7,
// which no other member has.
func staleFollower(t *testing.T) (*raft.Raft, *recordingFSM, *raft.NetworkTransport) {
	t.Helper()
	trans, store, machine := newLoopbackTransport(t), raft.NewInmemStore(), &recordingFSM{}
	members := raft.Configuration{Servers: []raft.Server{{ID: "old", Address: trans.LocalAddr()}, {ID: "new", Address: "127.0.0.1:1"}, {ID: "third", Address: "127.0.0.1:2"}}}
	require.NoError(t, store.StoreLog(&raft.Log{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: raft.EncodeConfiguration(members)}))
	for i := uint64(2); i <= 7; i++ {
		require.NoError(t, store.StoreLog(&raft.Log{Index: i, Term: 1, Type: raft.LogCommand, Data: fmt.Appendf(nil, "term 1 entry %d", i)}))
	}
	require.NoError(t, store.SetUint64([]byte("CurrentTerm"), 1))
	config := raft.DefaultConfig()
	config.LocalID, config.Logger = "old", hclog.NewNullLogger()
	// The timeouts exceed the test's duration, so that the member stays a follower.
	config.HeartbeatTimeout, config.ElectionTimeout = time.Minute, time.Minute
	r, err := raft.NewRaft(config, machine, store, store, raft.NewInmemSnapshotStore(), transport{trans, trans.LocalAddr()})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, r.Shutdown().Error()) })
	return r, machine, trans
}

// requestWithExcessCommitIndex returns a request of the new leader that verifies the entries up to
// 6 and has commit index 7.
func requestWithExcessCommitIndex(leader *raft.NetworkTransport) *raft.AppendEntriesRequest {
	return &raft.AppendEntriesRequest{RPCHeader: raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, ID: []byte("new"), Addr: []byte(leader.LocalAddr())},
		Term: 2, PrevLogEntry: 6, PrevLogTerm: 1, LeaderCommitIndex: 7}
}

// TestStaleEntryIsNotCommitted guards against a fault that left the logs of two members permanently
// different: a former leader resumes with an entry that no other member has, and the first request
// of the new leader has that index as its commit index before the new leader's own entry has
// arrived.
func TestStaleEntryIsNotCommitted(t *testing.T) {
	for _, pipelined := range []bool{false, true} {
		t.Run(fmt.Sprint("pipelined=", pipelined), func(t *testing.T) {
			follower, machine, trans := staleFollower(t)
			leader := newLoopbackTransport(t)
			send := newSender(t, transport{leader, leader.LocalAddr()}, trans.LocalAddr(), pipelined)
			require.True(t, send(requestWithExcessCommitIndex(leader)).Success)
			require.EqualValues(t, 6, follower.CommitIndex(), "commit index: the stale entry 7 of term 1 must not be committed")
			next := requestWithExcessCommitIndex(leader)
			next.Entries = []*raft.Log{{Index: 7, Term: 2, Type: raft.LogCommand, Data: []byte("term 2 entry 7")}}
			require.True(t, send(next).Success)
			require.EqualValues(t, 7, follower.CommitIndex())
			require.Eventually(t, func() bool { return len(machine.applied()) == 6 }, 10*time.Second, time.Millisecond)
			require.Equal(t, "term 2 entry 7", machine.applied()[5])
		})
	}
}

// newSender returns a function that sends a request to the follower, directly or through a
// pipeline, and returns the response.
func newSender(t *testing.T, from transport, to raft.ServerAddress, pipelined bool) func(*raft.AppendEntriesRequest) raft.AppendEntriesResponse {
	t.Helper()
	if !pipelined {
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

// TestLimitCommitIndex checks that a request is returned unchanged unless its commit index exceeds
// the last entry that it verifies, and that the limit is set on a copy.
func TestLimitCommitIndex(t *testing.T) {
	for _, request := range []*raft.AppendEntriesRequest{
		{Term: 2}, // a heartbeat
		{Term: 2, PrevLogEntry: 6, LeaderCommitIndex: 6},
		{Term: 2, PrevLogEntry: 6, LeaderCommitIndex: 7, Entries: []*raft.Log{{Index: 7}}},
	} {
		require.Same(t, request, limitCommitIndex(request))
	}
	request := &raft.AppendEntriesRequest{Term: 2, PrevLogEntry: 6, LeaderCommitIndex: 9, Entries: []*raft.Log{{Index: 7}}}
	require.EqualValues(t, 7, limitCommitIndex(request).LeaderCommitIndex)
	require.EqualValues(t, 9, request.LeaderCommitIndex, "commit index of the original request must not change")
}
