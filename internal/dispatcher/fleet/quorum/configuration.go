package quorum

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/members"
)

// servers returns the servers in Raft's latest configuration, or nil if it is not available.
func (q *Quorum) servers() []raft.Server {
	future := q.raft.GetConfiguration()
	if future.Error() != nil {
		return nil
	}
	return future.Configuration().Servers
}

// reconcile adapts Raft's configuration to the live members if this member is the leader, one
// change at a time (single-server changes; Ongaro 2014, sec. 4.1). It adds members that are new or
// have another disk or address, and removes non-voters that have been absent for followerTimeout.
func (q *Quorum) reconcile() {
	if q.raft.State() != raft.Leader {
		clear(q.absentSince)
		return
	}
	servers := q.servers()
	alive := q.alive()
	for _, info := range alive {
		if !info.Leaving && q.reconcileMember(info, servers) {
			return
		}
	}
	q.removeAbsent(servers, alive)
}

// reconcileMember adapts the configuration to one live member and reports whether it attempted a
// change.
func (q *Quorum) reconcileMember(info members.Info, servers []raft.Server) bool {
	id, addr, isVoter := raft.ServerID(info.Name), serverAddress(cmp.Or(info.Disk, noDiskID), info.Addr), info.Disk != "" && slices.Contains(q.cfg.Voters, info.Name)
	if info.Disk != "" {
		id = raft.ServerID(info.Name + "/" + info.Disk)
	}
	index := slices.IndexFunc(servers, func(s raft.Server) bool { return memberName(s.ID) == info.Name })
	if index >= 0 && servers[index].ID != id {
		q.log.WithFields(logrus.Fields{"member": info.Name, "was": servers[index].ID, "is": id}).Warn("a member came back without its log; it joins as a new one")
		q.awaitChange("server with the previous disk removed", q.raft.RemoveServer(servers[index].ID, 0, rpcTimeout), servers[index].ID)
		return true
	}
	if index >= 0 && (servers[index].Suffrage == raft.Voter) == isVoter && servers[index].Address == addr {
		return false
	}
	switch {
	case isVoter:
		q.awaitChange("voter added or updated", q.raft.AddVoter(id, addr, 0, rpcTimeout), id)
	case index < 0 || servers[index].Suffrage != raft.Voter || servers[index].Address != addr:
		q.awaitChange("non-voter added or updated", q.raft.AddNonvoter(id, addr, 0, rpcTimeout), id)
	default: // no longer configured as a voter: only an operator removes a voter
		return false
	}
	return true
}

// removeAbsent removes the first non-voter that has been absent for longer than followerTimeout.
func (q *Quorum) removeAbsent(servers []raft.Server, alive []members.Info) {
	now := time.Now()
	for _, s := range servers {
		isAlive := slices.ContainsFunc(alive, func(info members.Info) bool { return info.Name == memberName(s.ID) })
		if isAlive || s.Suffrage == raft.Voter {
			delete(q.absentSince, s.ID)
			continue
		}
		if q.absentSince[s.ID].IsZero() {
			q.absentSince[s.ID] = now
		}
		if now.Sub(q.absentSince[s.ID]) > followerTimeout {
			delete(q.absentSince, s.ID)
			q.awaitChange("absent non-voter removed", q.raft.RemoveServer(s.ID, 0, rpcTimeout), s.ID)
			return
		}
	}
}

// awaitChange waits for a configuration change and logs its result; action describes the change.
func (q *Quorum) awaitChange(action string, future raft.IndexFuture, id raft.ServerID) {
	if err := future.Error(); err != nil {
		q.log.WithError(err).WithField("member", id).Warn("the log's configuration could not be changed")
		return
	}
	q.log.WithField("member", id).Info("the log's configuration has changed: " + action)
}

// Remove removes a member from Raft's configuration, even if it is a voter. It returns ErrNoLeader
// unless this member is the leader, and an error if the named member is alive or unknown.
func (q *Quorum) Remove(ctx context.Context, name string) error {
	if q.raft.State() != raft.Leader {
		return ErrNoLeader
	}
	for _, info := range q.alive() {
		if info.Name == name && !info.Leaving {
			return fmt.Errorf("%s is alive and would come in again; end it first", name)
		}
	}
	for _, s := range q.servers() {
		if memberName(s.ID) == name {
			return q.raft.RemoveServer(s.ID, 0, timeoutOf(ctx)).Error()
		}
	}
	return fmt.Errorf("%s is not in the log", name)
}

// hasVoterMajority reports whether a majority of the configured voters have joined Raft's
// configuration. Until then, a single member could be a majority of that configuration.
func (q *Quorum) hasVoterMajority() bool {
	voters := 0
	for _, s := range q.servers() {
		if s.Suffrage == raft.Voter {
			voters++
		}
	}
	return voters > 0 && voters >= len(q.cfg.Voters)/2+1
}
