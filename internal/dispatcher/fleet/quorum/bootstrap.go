package quorum

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/recovery"
)

// form begins the log. The first of the voters does it, and only where it sees all of them,
// none of which has a log. Guards a log that there is from a second one beside it: a voter
// that has lost its disk waits for the others, one alone can't know. Each is asked itself:
// what gossip says of it may be from before its log began.
func (q *Quorum) bootstrapIfReady(ctx context.Context) {
	voter := q.disk != nil && slices.Contains(q.cfg.Voters, q.cfg.Name)
	begun := q.raft.LastIndex() > 0
	id := ""
	if q.disk != nil {
		id = q.disk.id
	}
	q.sink.LogOpened(id, begun)
	v := q.assess()
	if begun || !voter || q.cfg.Voters[0] != q.cfg.Name || v.State != recovery.MayBootstrap {
		return
	}
	for _, i := range q.alive() {
		if i.Name == q.cfg.Name || !slices.Contains(q.cfg.Voters, i.Name) {
			continue
		}
		call, cancel := context.WithDeadline(ctx, time.Now().Add(rpcTimeout))
		last, err := q.cfg.LastIndex(call, i.Addr)
		cancel()
		if err != nil || last > 0 {
			q.log.WithError(err).WithFields(logrus.Fields{"member": i.Name, "last": last}).Info("the log does not begin here: a voter has one, or does not say")
			return
		}
	}
	q.log.Info("the log begins here")
	if err := q.bootstrap(); err != nil {
		q.log.WithError(err).Error("the log could not begin")
	}
}

// judge tells how the log stands by what members that are alive say of themselves, and has
// that known where it is lost.
func (q *Quorum) assess() recovery.Verdict {
	var alive []recovery.Member
	for _, i := range q.alive() {
		if !i.Leaving {
			alive = append(alive, recovery.Member{Name: i.Name, Disk: i.Disk != "", Log: i.Log, KnownIndex: i.KnownIndex})
		}
	}
	v := recovery.AssessLog(q.cfg.Voters, alive)
	was, lost := q.lost.Load(), v.State == recovery.Lost && !q.ledAndNamed()
	switch {
	case !lost && was != nil:
		q.lost.Store(nil)
		q.log.Info("the agreed log is found again")
	case lost && (was == nil || *was != v.Why):
		q.lost.Store(&v.Why)
		q.log.WithField("known", v.Why).Error("the agreed log is lost; nothing is written until an operator says what counts")
	}
	return v
}

// termKey is where the engine keeps the term that it is in.
var termKey = []byte("CurrentTerm")

// begin writes the log's first entry, by which this member is its only voter. Where a begin before it
// has failed half way, or the process was ended in the middle of it, what that left is cleared: the
// engine begins on empty stores only, and nobody has seen any of it.
func (q *Quorum) bootstrap() error {
	first := raft.Configuration{Servers: []raft.Server{{ID: q.id, Address: q.addr}}}
	err := q.raft.BootstrapCluster(first).Error()
	if !errors.Is(err, raft.ErrCantBootstrap) {
		return err
	}
	last, err := q.stores.logs.LastIndex()
	if err != nil {
		return fmt.Errorf("what an earlier begin has left: %w", err)
	}
	if last > 1 {
		return fmt.Errorf("what an earlier begin has left: %d entries, 1 is the most: %w", last, raft.ErrCantBootstrap)
	}
	if last > 0 {
		if err := q.stores.logs.DeleteRange(last, last); err != nil {
			return fmt.Errorf("what an earlier begin has left: %w", err)
		}
	}
	if err := q.stable.SetUint64(termKey, 0); err != nil {
		return fmt.Errorf("what an earlier begin has left: %w", err)
	}
	return q.raft.BootstrapCluster(first).Error()
}
