package quorum

import "github.com/hashicorp/raft"

// transport is Raft's network transport with two differences: it reports the advertised address
// rather than the listening address, and it limits the commit index of each AppendEntries request;
// see limitCommitIndex.
type transport struct {
	*raft.NetworkTransport
	addr raft.ServerAddress
}

// LocalAddr returns the address that is advertised to the other members.
func (t transport) LocalAddr() raft.ServerAddress { return t.addr }

// AppendEntries sends a request with a limited commit index.
func (t transport) AppendEntries(id raft.ServerID, target raft.ServerAddress, request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse) error {
	return t.NetworkTransport.AppendEntries(id, target, limitCommitIndex(request), response)
}

// AppendEntriesPipeline opens a pipeline that sends requests with a limited commit index.
func (t transport) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline, error) {
	p, err := t.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	return pipeline{p}, nil
}

// pipeline is an AppendEntries pipeline that limits the commit index of each request.
type pipeline struct{ raft.AppendPipeline }

// AppendEntries sends a request with a limited commit index through the pipeline.
func (p pipeline) AppendEntries(request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse) (raft.AppendFuture, error) {
	return p.AppendPipeline.AppendEntries(limitCommitIndex(request), response)
}

// limitCommitIndex returns the request with a commit index that does not exceed the last entry that
// it verifies, that is the previous entry plus the entries that it carries. Raft sets a follower's
// commit index to min(leaderCommit, index of last new entry) (Ongaro & Ousterhout 2014, fig. 2),
// but a follower in hashicorp/raft uses the last entry of its own log instead. The leader there
// reads its last index, may then append and commit an entry, and only then sets the commit index of
// the request, which can therefore exceed the entries sent. A follower with a different entry at
// that index, from a term in which it was the leader, would commit and apply its own entry.
func limitCommitIndex(request *raft.AppendEntriesRequest) *raft.AppendEntriesRequest {
	lastVerified := request.PrevLogEntry + uint64(len(request.Entries))
	if request.LeaderCommitIndex <= lastVerified {
		return request
	}
	limited := *request
	limited.LeaderCommitIndex = lastVerified
	return &limited
}
