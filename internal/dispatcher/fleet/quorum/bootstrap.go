package quorum

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/hashicorp/raft"

	"frosttide/internal/dispatcher/fleet/recovery"
)

// bootstrapIfReady bootstraps the log. Only the first of the configured voters does so, and only
// while all of them are alive and no member has a log or knows of one. This prevents a second log
// beside an existing one: a voter that has lost its disk cannot tell by itself whether there is a
// log, so it waits for the others.
func (q *Quorum) bootstrapIfReady(ctx context.Context) {
	started := q.raft.LastIndex() > 0
	q.sink.LogOpened(q.diskID(), started)
	ready := q.assess().State == recovery.MayBootstrap
	if started || !ready || q.disk == nil || len(q.cfg.Voters) == 0 || q.cfg.Voters[0] != q.cfg.Name {
		return
	}
	if addr, err := q.findExistingLog(ctx); err != nil {
		q.logBootstrapBlocked(addr, err)
		return
	}
	// A member that knows of a log may have joined meanwhile.
	if q.assess().State != recovery.MayBootstrap {
		return
	}
	q.log.Info("the log begins here")
	if err := q.bootstrap(); err != nil {
		q.log.WithError(err).Error("bootstrapping the log failed")
	}
}

// diskID returns the ID of the member's disk, empty for a member without one.
func (q *Quorum) diskID() string {
	if q.disk == nil {
		return ""
	}
	return q.disk.id
}

// errLogKnown is returned, wrapped, if a member knows of an existing log.
var errLogKnown = errors.New("a member knows of an existing log")

// findExistingLog asks the other voters and every configured address whether they know of a log,
// and returns the first address that does, or that does not answer, with the reason. Each is asked
// directly: gossip about a voter may be older than its log, and other members may be alive without
// being known here yet. No member runs at an address that refuses connections.
func (q *Quorum) findExistingLog(ctx context.Context) (addr string, err error) {
	for _, voter := range q.voterAddrs() {
		if err := q.checkNoLogAt(ctx, voter); err != nil {
			return voter, err
		}
	}
	for _, seed := range q.cfg.Seeds {
		if err := q.checkNoLogAt(ctx, seed); err != nil && !q.cfg.Refuses(ctx, seed) {
			return seed, err
		}
	}
	return "", nil
}

// voterAddrs returns the addresses of the other live voters.
func (q *Quorum) voterAddrs() (addrs []string) {
	for _, info := range q.alive() {
		if info.Name != q.cfg.Name && slices.Contains(q.cfg.Voters, info.Name) {
			addrs = append(addrs, info.Addr)
		}
	}
	return addrs
}

// checkNoLogAt asks the member at addr whether it knows of a log, and returns nil only if it
// answers that it does not.
func (q *Quorum) checkNoLogAt(ctx context.Context, addr string) error {
	callCtx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	index, err := q.cfg.KnownIndex(callCtx, addr)
	if err != nil {
		return err
	}
	if index > 0 {
		return fmt.Errorf("%w, up to entry %d", errLogKnown, index)
	}
	return nil
}

// logBootstrapBlocked logs why the log is not bootstrapped, unless the same address prevented the
// previous attempt.
func (q *Quorum) logBootstrapBlocked(addr string, reason error) {
	if q.bootstrapBlockedBy == addr {
		return
	}
	q.bootstrapBlockedBy = addr
	q.log.WithError(reason).WithField("addr", addr).Info("not bootstrapping the log: a member knows of an existing log or does not answer")
}

// assess classifies the log from what the live members publish about themselves, records whether it
// is lost, and logs when that changes.
func (q *Quorum) assess() recovery.Verdict {
	var alive []recovery.Member
	for _, info := range q.alive() {
		if !info.Leaving {
			alive = append(alive, recovery.Member{Name: info.Name, Disk: info.Disk != "", Log: info.Log, KnownIndex: info.KnownIndex})
		}
	}
	verdict := recovery.AssessLog(q.cfg.Voters, alive)
	previous, lost := q.lostReason.Load(), verdict.State == recovery.Lost && !q.hasNamedLeader()
	switch {
	case !lost && previous != nil:
		q.lostReason.Store(nil)
		q.log.Info("the agreed log is no longer lost")
	case lost && (previous == nil || *previous != verdict.Why):
		q.lostReason.Store(&verdict.Why)
		q.log.WithField("known", verdict.Why).Error("the agreed log is lost; no entry is written until an operator recovers it or starts a new one")
	}
	return verdict
}

// termKey is the key under which Raft stores its current term.
var termKey = []byte("CurrentTerm")

// bootstrap writes the log's first entry, which makes this member its only voter. If a failed or
// interrupted bootstrap left an entry or a term, it is deleted first: Raft bootstraps only empty
// stores, and no other member has received any of it.
func (q *Quorum) bootstrap() error {
	initial := raft.Configuration{Servers: []raft.Server{{ID: q.id, Address: q.addr}}}
	err := q.raft.BootstrapCluster(initial).Error()
	if !errors.Is(err, raft.ErrCantBootstrap) {
		return err
	}
	last, err := q.stores.logs.LastIndex()
	if err != nil {
		return fmt.Errorf("reading the log of an earlier bootstrap: %w", err)
	}
	if last > 1 {
		return fmt.Errorf("an earlier bootstrap left %d entries, want at most 1: %w", last, raft.ErrCantBootstrap)
	}
	if last > 0 {
		if err := q.stores.logs.DeleteRange(last, last); err != nil {
			return fmt.Errorf("deleting the entry of an earlier bootstrap: %w", err)
		}
	}
	if err := q.stable.SetUint64(termKey, 0); err != nil {
		return fmt.Errorf("resetting the term of an earlier bootstrap: %w", err)
	}
	return q.raft.BootstrapCluster(initial).Error()
}
