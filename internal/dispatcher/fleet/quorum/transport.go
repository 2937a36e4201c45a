package quorum

import "github.com/hashicorp/raft"

// transport is how the engine reaches the other members. It names the address that others reach rather
// than the one listened on, and tells a follower to commit no further than a request verifies.
type transport struct {
	*raft.NetworkTransport
	addr raft.ServerAddress
}

// LocalAddr is where others reach the member.
func (t transport) LocalAddr() raft.ServerAddress { return t.addr }

// AppendEntries sends a request.
func (t transport) AppendEntries(id raft.ServerID, target raft.ServerAddress, request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse) error {
	return t.NetworkTransport.AppendEntries(id, target, verified(request), response)
}

// AppendEntriesPipeline opens a pipeline of requests.
func (t transport) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline, error) {
	p, err := t.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	return pipeline{p}, nil
}

// pipeline is a pipeline of requests to a follower.
type pipeline struct{ raft.AppendPipeline }

// AppendEntries adds a request to the pipeline.
func (p pipeline) AppendEntries(request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse) (raft.AppendFuture, error) {
	return p.AppendPipeline.AppendEntries(verified(request), response)
}

// verified returns a request whose commit index is no further than the entries that it verifies: the one
// before, and those that it carries. A follower of the engine's takes the lesser of the commit index and
// its own last entry, where Raft has the last entry of the request. A leader that asks for how far its log goes,
// appends and commits an entry, and only then fills in the commit index sends one that is ahead of the
// entries. A follower that has another entry there, of a term in which it led, would commit and apply that one.
func verified(request *raft.AppendEntriesRequest) *raft.AppendEntriesRequest {
	last := request.PrevLogEntry + uint64(len(request.Entries))
	if request.LeaderCommitIndex <= last {
		return request
	}
	bounded := *request
	bounded.LeaderCommitIndex = last
	return &bounded
}
