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

// servers returns the log's configuration, nil if it is not known.
func (q *Quorum) servers() []raft.Server {
	f := q.raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	return f.Configuration().Servers
}

// reconcile makes the leader adapt the log's configuration to the live members, one change at a
// time (single-server changes; Ongaro 2014, sec. 4.1): it adds members that are new or have
// another disk or address, and removes non-voters that have been absent for followerTimeout.
func (q *Quorum) reconcile() {
	if q.raft.State() != raft.Leader {
		clear(q.absentSince)
		return
	}
	servers := q.servers()
	alive := q.alive()
	for _, i := range alive {
		if !i.Leaving && q.reconcileMember(i, servers) {
			return
		}
	}
	q.removeAbsent(servers, alive)
}

// reconcileMember adapts the configuration to one live member and reports whether it tried a change.
func (q *Quorum) reconcileMember(i members.Info, servers []raft.Server) bool {
	id, addr, votes := raft.ServerID(i.Name), serverAddress(cmp.Or(i.Disk, noDiskID), i.Addr), i.Disk != "" && slices.Contains(q.cfg.Voters, i.Name)
	if i.Disk != "" {
		id = raft.ServerID(i.Name + "/" + i.Disk)
	}
	at := slices.IndexFunc(servers, func(s raft.Server) bool { return memberName(s.ID) == i.Name })
	if at >= 0 && servers[at].ID != id {
		q.log.WithFields(logrus.Fields{"member": i.Name, "was": servers[at].ID, "is": id}).Warn("a member came back without its log; it joins as a new one")
		q.change("taken out", q.raft.RemoveServer(servers[at].ID, 0, rpcTimeout), servers[at].ID)
		return true
	}
	if at >= 0 && (servers[at].Suffrage == raft.Voter) == votes && servers[at].Address == addr {
		return false
	}
	switch {
	case votes:
		q.change("votes", q.raft.AddVoter(id, addr, 0, rpcTimeout), id)
	case at < 0 || servers[at].Suffrage != raft.Voter || servers[at].Address != addr:
		q.change("follows", q.raft.AddNonvoter(id, addr, 0, rpcTimeout), id)
	default: // no longer configured as a voter: only an operator removes a vote
		return false
	}
	return true
}

// removeAbsent removes the first non-voter that has been absent for longer than followerTimeout.
func (q *Quorum) removeAbsent(servers []raft.Server, alive []members.Info) {
	now := time.Now()
	for _, s := range servers {
		here := slices.ContainsFunc(alive, func(i members.Info) bool { return i.Name == memberName(s.ID) })
		if here || s.Suffrage == raft.Voter {
			delete(q.absentSince, s.ID)
			continue
		}
		if q.absentSince[s.ID].IsZero() {
			q.absentSince[s.ID] = now
		}
		if now.Sub(q.absentSince[s.ID]) > followerTimeout {
			delete(q.absentSince, s.ID)
			q.change("forgotten", q.raft.RemoveServer(s.ID, 0, rpcTimeout), s.ID)
			return
		}
	}
}

// change waits for a configuration change and logs its result.
func (q *Quorum) change(what string, f raft.IndexFuture, id raft.ServerID) {
	if err := f.Error(); err != nil {
		q.log.WithError(err).WithField("member", id).Warn("the log's members could not be changed")
		return
	}
	q.log.WithField("member", id).Info("the log's members have changed: it " + what)
}

// Remove removes a member, also a voter, from the log's configuration. It returns ErrNoLeader
// unless this member leads, and an error while the member to remove is alive.
func (q *Quorum) Remove(ctx context.Context, name string) error {
	if q.raft.State() != raft.Leader {
		return ErrNoLeader
	}
	for _, i := range q.alive() {
		if i.Name == name && !i.Leaving {
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

// formed reports whether the configuration has a majority of the configured voters. Before that, a
// majority of it could be a single member.
func (q *Quorum) formed() bool {
	voters := 0
	for _, s := range q.servers() {
		if s.Suffrage == raft.Voter {
			voters++
		}
	}
	return voters > 0 && voters >= len(q.cfg.Voters)/2+1
}
