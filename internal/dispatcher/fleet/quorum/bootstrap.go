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

// bootstrapIfReady starts the log. Only the first of the configured voters does so, and only while
// it sees all of them and none has a log. This protects an existing log from a second one: a voter
// that has lost its disk waits for the others, since it cannot know by itself. Each voter is asked
// directly, because gossip about it may be older than its log.
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

// assess classifies the log by what the live members publish, and records and logs whether it is
// lost.
func (q *Quorum) assess() recovery.Verdict {
	var alive []recovery.Member
	for _, i := range q.alive() {
		if !i.Leaving {
			alive = append(alive, recovery.Member{Name: i.Name, Disk: i.Disk != "", Log: i.Log, KnownIndex: i.KnownIndex})
		}
	}
	v := recovery.AssessLog(q.cfg.Voters, alive)
	previous, lost := q.lost.Load(), v.State == recovery.Lost && !q.ledAndNamed()
	switch {
	case !lost && previous != nil:
		q.lost.Store(nil)
		q.log.Info("the agreed log is found again")
	case lost && (previous == nil || *previous != v.Why):
		q.lost.Store(&v.Why)
		q.log.WithField("known", v.Why).Error("the agreed log is lost; nothing is written until an operator says what counts")
	}
	return v
}

// termKey is the key under which Raft stores its current term.
var termKey = []byte("CurrentTerm")

// bootstrap writes the log's first entry, which makes this member its only voter. It first clears
// what a failed or interrupted bootstrap has left: Raft bootstraps empty stores only, and no other
// member has seen any of it.
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
