package quorum

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/hashicorp/raft"

	"frosttide/internal/dispatcher/fleet/recovery"
)

// bootstrapIfReady starts the log. Only the first of the configured voters does so, and only while
// it sees all of them and no member has a log or knows of one. This protects an existing log from a
// second one: a voter that has lost its disk waits for the others, since it cannot know by itself.
func (q *Quorum) bootstrapIfReady(ctx context.Context) {
	begun := q.raft.LastIndex() > 0
	q.sink.LogOpened(q.diskID(), begun)
	ready := q.assess().State == recovery.MayBootstrap
	if begun || !ready || q.disk == nil || len(q.cfg.Voters) == 0 || q.cfg.Voters[0] != q.cfg.Name {
		return
	}
	if addr, err := q.findLog(ctx); err != nil {
		q.logWithheld(addr, err)
		return
	}
	if q.assess().State != recovery.MayBootstrap { // a member has joined meanwhile
		return
	}
	q.log.Info("the log begins here")
	if err := q.bootstrap(); err != nil {
		q.log.WithError(err).Error("the log could not begin")
	}
}

// diskID returns the ID of the member's disk, empty for none.
func (q *Quorum) diskID() string {
	if q.disk == nil {
		return ""
	}
	return q.disk.id
}

// errLogKnown is the error for a member that knows of a log.
var errLogKnown = errors.New("a member knows of a log")

// findLog asks the other voters and every configured address for a log, and returns the first
// address that knows of one, or does not say. Each is asked directly: gossip about a voter may be
// older than its log, and other members may be alive without being known here yet. An address that
// refuses connections has no member.
func (q *Quorum) findLog(ctx context.Context) (addr string, err error) {
	for _, voter := range q.voterAddrs() {
		if err := q.askForLog(ctx, voter); err != nil {
			return voter, err
		}
	}
	for _, seed := range q.cfg.Seeds {
		if err := q.askForLog(ctx, seed); err != nil && !q.cfg.Refuses(ctx, seed) {
			return seed, err
		}
	}
	return "", nil
}

// voterAddrs returns the addresses of the other live voters.
func (q *Quorum) voterAddrs() (addrs []string) {
	for _, i := range q.alive() {
		if i.Name != q.cfg.Name && slices.Contains(q.cfg.Voters, i.Name) {
			addrs = append(addrs, i.Addr)
		}
	}
	return addrs
}

// askForLog returns nil if the member at an address says that it knows of no log.
func (q *Quorum) askForLog(ctx context.Context, addr string) error {
	call, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	index, err := q.cfg.KnownIndex(call, addr)
	if err != nil {
		return err
	}
	if index > 0 {
		return fmt.Errorf("%w: entry %d", errLogKnown, index)
	}
	return nil
}

// logWithheld logs why the log does not begin, once for each address in a row.
func (q *Quorum) logWithheld(addr string, why error) {
	if q.withheldBy == addr {
		return
	}
	q.withheldBy = addr
	q.log.WithError(why).WithField("addr", addr).Info("the log does not begin here: a member knows of one, or does not say")
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
