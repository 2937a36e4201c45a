package quorum

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/recovery"
)

func (q *Quorum) servers() []raft.Server {
	f := q.raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	return f.Configuration().Servers
}

// form begins the log. The first of the voters does it, and only where it sees all of them,
// none of which has a log. Guards a log that there is from a second one beside it: a voter
// that has lost its disk waits for the others, one alone can't know. Each is asked itself:
// what gossip says of it may be from before its log began.
func (q *Quorum) form(ctx context.Context) {
	voter := q.disk != nil && slices.Contains(q.cfg.Voters, q.cfg.Name)
	begun := q.raft.LastIndex() > 0
	id := ""
	if q.disk != nil {
		id = q.disk.id
	}
	q.sink.Formed(id, begun)
	v := q.judge()
	if begun || !voter || q.cfg.Voters[0] != q.cfg.Name || v.Standing != recovery.Begins {
		return
	}
	for _, i := range q.alive() {
		if i.Name == q.cfg.Name || !slices.Contains(q.cfg.Voters, i.Name) {
			continue
		}
		call, cancel := context.WithDeadline(ctx, time.Now().Add(rpcTime))
		last, err := q.cfg.Ask(call, i.Addr)
		cancel()
		if err != nil || last > 0 {
			q.log.WithError(err).WithFields(logrus.Fields{"member": i.Name, "last": last}).Info("the log does not begin here: a voter has one, or does not say")
			return
		}
	}
	q.log.Info("the log begins here")
	if err := q.begin(); err != nil {
		q.log.WithError(err).Error("the log could not begin")
	}
}

// termKey is where the engine keeps the term that it is in.
var termKey = []byte("CurrentTerm")

// begin writes the log's first entry, by which this member is its only voter. Where a begin before it
// has failed half way, or the process was ended in the middle of it, what that left is cleared: the
// engine begins on empty stores only, and nobody has seen any of it.
func (q *Quorum) begin() error {
	first := raft.Configuration{Servers: []raft.Server{{ID: q.id, Address: q.addr}}}
	err := q.raft.BootstrapCluster(first).Error()
	if !errors.Is(err, raft.ErrCantBootstrap) {
		return err
	}
	last, err := q.kept.logs.LastIndex()
	if err != nil {
		return fmt.Errorf("what an earlier begin has left: %w", err)
	}
	if last > 1 {
		return fmt.Errorf("what an earlier begin has left: %d entries, 1 is the most: %w", last, raft.ErrCantBootstrap)
	}
	if last > 0 {
		if err := q.kept.logs.DeleteRange(last, last); err != nil {
			return fmt.Errorf("what an earlier begin has left: %w", err)
		}
	}
	if err := q.stable.SetUint64(termKey, 0); err != nil {
		return fmt.Errorf("what an earlier begin has left: %w", err)
	}
	return q.raft.BootstrapCluster(first).Error()
}

// look has the leader take in members that are new or have another disk or address, one
// change at a time, and take out followers that have been away for long.
func (q *Quorum) look() {
	if q.raft.State() != raft.Leader {
		clear(q.away)
		return
	}
	servers := q.servers()
	alive := q.alive()
	for _, i := range alive {
		if i.Goes {
			continue
		}
		id, addr, votes := raft.ServerID(i.Name), addressOf(cmp.Or(i.Disk, noDisk), i.Addr), i.Disk != "" && slices.Contains(q.cfg.Voters, i.Name)
		if i.Disk != "" {
			id = raft.ServerID(i.Name + "/" + i.Disk)
		}
		at := slices.IndexFunc(servers, func(s raft.Server) bool { return nameOf(s.ID) == i.Name })
		if at >= 0 && servers[at].ID != id {
			q.log.WithFields(logrus.Fields{"member": i.Name, "was": servers[at].ID, "is": id}).Warn("a member came back without its log; it joins as a new one")
			q.change("taken out", q.raft.RemoveServer(servers[at].ID, 0, rpcTime), servers[at].ID)
			return
		}
		if at >= 0 && (servers[at].Suffrage == raft.Voter) == votes && servers[at].Address == addr {
			continue
		}
		switch {
		case votes:
			q.change("votes", q.raft.AddVoter(id, addr, 0, rpcTime), id)
		case at < 0 || servers[at].Suffrage != raft.Voter || servers[at].Address != addr:
			q.change("follows", q.raft.AddNonvoter(id, addr, 0, rpcTime), id)
		default: // named a voter no more; only an operator takes a vote away
			continue
		}
		return
	}
	now := time.Now()
	for _, s := range servers {
		here := slices.ContainsFunc(alive, func(i members.Info) bool { return i.Name == nameOf(s.ID) })
		if here || s.Suffrage == raft.Voter {
			delete(q.away, s.ID)
			continue
		}
		if q.away[s.ID].IsZero() {
			q.away[s.ID] = now
		}
		if now.Sub(q.away[s.ID]) > forgetAfter {
			delete(q.away, s.ID)
			q.change("forgotten", q.raft.RemoveServer(s.ID, 0, rpcTime), s.ID)
			return
		}
	}
}

func (q *Quorum) change(what string, f raft.IndexFuture, id raft.ServerID) {
	if err := f.Error(); err != nil {
		q.log.WithError(err).WithField("member", id).Warn("the log's members could not be changed")
		return
	}
	q.log.WithField("member", id).Info("the log's members have changed: it " + what)
}

// Remove takes a member out of the log for good, a voter too. Only the leader can.
func (q *Quorum) Remove(ctx context.Context, name string) error {
	if q.raft.State() != raft.Leader {
		return ErrNoLeader
	}
	for _, i := range q.alive() {
		if i.Name == name && !i.Goes {
			return fmt.Errorf("%s is alive and would come in again; end it first", name)
		}
	}
	for _, s := range q.servers() {
		if nameOf(s.ID) == name {
			return q.raft.RemoveServer(s.ID, 0, until(ctx)).Error()
		}
	}
	return fmt.Errorf("%s is not in the log", name)
}

// formed tells whether enough voters are in: before, a majority may be one alone.
func (q *Quorum) formed() bool {
	voters := 0
	for _, s := range q.servers() {
		if s.Suffrage == raft.Voter {
			voters++
		}
	}
	return voters > 0 && voters >= len(q.cfg.Voters)/2+1
}
