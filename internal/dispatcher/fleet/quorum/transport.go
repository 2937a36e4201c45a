package quorum

import "github.com/hashicorp/raft"

// transport is Raft's network transport with two differences: it reports the advertised address
// rather than the listening one, and it limits the commit index of each request; see verified.
type transport struct {
	*raft.NetworkTransport
	addr raft.ServerAddress
}

// LocalAddr returns the advertised address.
func (t transport) LocalAddr() raft.ServerAddress { return t.addr }

// AppendEntries sends a request with a limited commit index.
func (t transport) AppendEntries(id raft.ServerID, target raft.ServerAddress, request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse) error {
	return t.NetworkTransport.AppendEntries(id, target, verified(request), response)
}

// AppendEntriesPipeline opens a pipeline of such requests.
func (t transport) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline, error) {
	p, err := t.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	return pipeline{p}, nil
}

// pipeline is a pipeline of requests with limited commit indices.
type pipeline struct{ raft.AppendPipeline }

// AppendEntries adds a request to the pipeline.
func (p pipeline) AppendEntries(request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse) (raft.AppendFuture, error) {
	return p.AppendPipeline.AppendEntries(verified(request), response)
}

// verified returns the request with a commit index that does not exceed the last entry that it
// verifies: the previous entry plus those that it carries. Raft sets a follower's commit index to
// min(leaderCommit, index of last new entry) (Ongaro & Ousterhout 2014, fig. 2), but the engine's
// followers use their own last entry instead. The engine's leader reads its last index, may then
// append and commit an entry, and only then fills in the commit index, which can so exceed the
// entries sent. A follower with a different entry there, from a term in which it led, would commit
// and apply that one.
func verified(request *raft.AppendEntriesRequest) *raft.AppendEntriesRequest {
	last := request.PrevLogEntry + uint64(len(request.Entries))
	if request.LeaderCommitIndex <= last {
		return request
	}
	bounded := *request
	bounded.LeaderCommitIndex = last
	return &bounded
}
