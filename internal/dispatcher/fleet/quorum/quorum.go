// Package quorum runs a cluster's replicated log with Raft (Ongaro & Ousterhout 2014), using
// hashicorp/raft. A few configured voters agree on the order of the entries; all other members
// replicate the log as non-voters. An entry is acknowledged once a majority of the voters has it on
// disk. Without a majority no entry is committed, and every member continues with the state that it
// has applied.
//
// Package cluster opens one Quorum for each member and proposes the entries; package ledger defines
// their effects. Invariants: an acknowledged entry is never lost while a majority of the disks
// survives, a member that returns without its disk is a new voter, and no log is bootstrapped while
// a member knows of an existing one.
//
// The methods of Quorum are safe for concurrent use; Run and Close are called once each.
package quorum

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/clusterport"
	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

const (
	// Raft's timeouts: a follower starts an election after heartbeatTimeout without contact with a
	// leader; a leader that has not reached a majority for leaderLease steps down, before another
	// can be elected.
	heartbeatTimeout = 500 * time.Millisecond
	leaderLease      = 400 * time.Millisecond
	// The leader sends its commit index to the followers after commitTimeout without a new entry.
	commitTimeout = 100 * time.Millisecond
	// A snapshot is taken after snapshotThreshold entries, which Raft checks at intervals of
	// snapshotInterval to twice that. The log keeps trailingLogs entries before the snapshot, so
	// that a follower that is slightly behind needs no snapshot.
	snapshotThreshold = 1024
	trailingLogs      = 512
	snapshotInterval  = 5 * time.Second
	// rpcTimeout limits Raft's network I/O, configuration changes and calls to other members.
	rpcTimeout = time.Second
	// maxRPCsInFlight of 1 disables pipelining: the next request is sent to a follower only after
	// it has answered the last one. A request still carries several entries. With pipelining, a
	// follower that rejects one request (its disk is full) blocks its sender permanently: the
	// sender waits for the response to the next request, which nothing reads any more (raft 1.7.3,
	// netPipeline.AppendEntries and decodeResponses).
	maxRPCsInFlight = 1
	// reconcileInterval is the interval at which the leader compares the log's configuration with
	// the live members.
	reconcileInterval = 500 * time.Millisecond
	// followerTimeout is how long a non-voter may be absent before it is removed from the
	// configuration; it is added again when it returns.
	followerTimeout = time.Minute
)

// The errors for an entry that is not written.
var (
	// ErrNoLeader is returned by a member that is not the leader.
	ErrNoLeader = errors.New("the log has no leader: no majority of its voters is reached")
	// ErrForming is returned by a leader until a majority of the configured voters has joined and
	// the log has its name.
	ErrForming = errors.New("the log has not begun: it needs all of its voters once, and an answer or a refusal from each configured address")
	// ErrLost is returned, wrapped with what is known of the log, while all voters are present
	// without a log and some member knows that there was one.
	ErrLost = errors.New("the agreed log is lost")
)

// Sink receives the events of a member's log. Its methods must not block.
type Sink interface {
	Applied(ledger.Done)                      // a committed entry was applied
	Restored(previous, current ledger.State)  // a snapshot replaced the state
	LeaderChanged(leader string, term uint64) // leader is empty if there is none
	// LogOpened reports the ID of the member's disk, empty for a member without one, and whether
	// the log has an entry. It is called repeatedly, also without a change.
	LogOpened(disk string, started bool)
}

// Config configures one member of the replicated log.
type Config struct {
	Name   string
	Disk   *Disk    // holds the member's log; nil for a non-voter with its log in memory
	Voters []string // names of the voting members
	// Seeds are the configured addresses of members. No log is bootstrapped while the member at one
	// of them may know of an existing log.
	Seeds []string
	// KnownIndex asks the member at an address for the highest log index that it has or knows of;
	// 0 if it knows of no log.
	KnownIndex func(ctx context.Context, addr string) (index uint64, err error)
	// Refuses reports whether connections to an address are refused, so that no member runs there.
	Refuses func(ctx context.Context, addr string) bool
	// InitialEntries are the first entries of a new log that an operator starts on this member;
	// OnInitialEntries is called once they and the log's name are committed.
	InitialEntries   []ledger.Entry
	OnInitialEntries func()

	wrapStores func(stores) stores // for tests: wraps Raft's stores; nil for no wrapping
}

// stores are the stores in which Raft keeps its log, its term and vote, and its snapshots.
type stores struct {
	logs   raft.LogStore
	stable raft.StableStore
	snaps  raft.SnapshotStore
}

// Quorum is one member's replica of the log; Open creates it.
type Quorum struct {
	cfg                Config
	log                *logrus.Entry
	sink               Sink
	disk               *Disk // nil for a non-voter with its log in memory
	stores             stores
	stable             *retryingStore
	id                 raft.ServerID
	addr               raft.ServerAddress // advertised to the other members
	raft               *raft.Raft
	transport          *raft.NetworkTransport
	fsm                *fsm
	alive              func() []members.Info
	absentSince        map[raft.ServerID]time.Time // since when a non-voter is absent
	bootstrapBlockedBy string                      // address that prevented the last attempt
	lostReason         atomic.Pointer[string]      // why the log is lost; nil if it is not
}

// Open starts a member's replica of the log. alive returns the live members and may be called from
// any goroutine. Open takes ownership of cfg.Disk, and closes it if it returns an error.
func Open(cfg Config, port *clusterport.Port, alive func() []members.Info, sink Sink, log *logrus.Entry) (*Quorum, error) {
	q := &Quorum{cfg: cfg, log: log, sink: sink, alive: alive, absentSince: map[raft.ServerID]time.Time{}}
	logger := engineLog(log)
	q.fsm = &fsm{onApplied: sink.Applied, onRestored: sink.Restored}
	var persistent stores
	id := noDiskID
	if cfg.Disk == nil {
		memStore := raft.NewInmemStore()
		persistent = stores{memStore, memStore, raft.NewInmemSnapshotStore()}
		q.id = raft.ServerID(cfg.Name)
	} else {
		disk := cfg.Disk
		q.disk, persistent, id = disk, stores{disk.logs, disk.logs, disk.snaps}, disk.id
		q.id = raft.ServerID(cfg.Name + "/" + disk.id)
	}
	q.addr = serverAddress(id, port.Advertised())
	q.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: streamLayer{port.Listener(clusterport.Log), port, id},
		MaxPool: 2, MaxRPCsInFlight: maxRPCsInFlight, Timeout: rpcTimeout, Logger: logger})
	if cfg.wrapStores != nil {
		persistent = cfg.wrapStores(persistent)
	}
	q.stores, q.stable = persistent, newRetryingStore(persistent.stable, log)
	engine, err := raft.NewRaft(engineConfig(q.id, logger), q.fsm, persistent.logs, q.stable, persistent.snaps, transport{q.transport, q.addr})
	if err != nil {
		q.transport.Close()
		if q.disk != nil {
			q.disk.Close()
		}
		return nil, fmt.Errorf("cluster: %w", err)
	}
	q.raft = engine
	return q, nil
}

// Run bootstraps the log if needed and maintains its configuration until ctx is canceled.
func (q *Quorum) Run(ctx context.Context) {
	observations := make(chan raft.Observation, 16)
	o := raft.NewObserver(observations, false, func(o *raft.Observation) bool {
		_, ok := o.Data.(raft.LeaderObservation)
		return ok
	})
	q.raft.RegisterObserver(o)
	defer q.raft.DeregisterObserver(o)
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	var reported leaderTerm
	for {
		reported = q.reportLeader(reported)
		q.bootstrapIfReady(ctx)
		q.reconcile()
		q.nameLog(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-observations:
		}
	}
}

// leaderTerm is a leader with its term.
type leaderTerm struct {
	id   raft.ServerID
	term uint64
}

// reportLeader reports the leader to the sink if the leader or its term differs from the previous
// report, and returns what was reported last. Raft announces each change only once; the comparison
// also covers a leader elected before Run registered its observer, and a change that was announced
// while Run was busy.
func (q *Quorum) reportLeader(previous leaderTerm) leaderTerm {
	_, id := q.raft.LeaderWithID()
	current := leaderTerm{id, q.raft.CurrentTerm()}
	if current.id == previous.id && (current.term == previous.term || id == "") {
		return previous
	}
	q.sink.LeaderChanged(memberName(id), current.term)
	return current
}

// memberName returns the member's name from a server ID, NAME/DISK or NAME.
func memberName(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}

// timeoutOf returns the time left before ctx's deadline, at least 1 ms, or rpcTimeout without a
// deadline.
func timeoutOf(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return rpcTimeout
	}
	return max(time.Until(deadline), time.Millisecond)
}

// Leader returns the leader's name and address, empty for none.
func (q *Quorum) Leader() (name, addr string) {
	serverAddr, id := q.raft.LeaderWithID()
	return memberName(id), hostPort(serverAddr)
}

// IsLeader reports whether this member is the leader.
func (q *Quorum) IsLeader() bool { return q.raft.State() == raft.Leader }

// LostError returns ErrLost, wrapped with what is known of the lost log, or nil if the log is not
// lost.
func (q *Quorum) LostError() error {
	if reason := q.lostReason.Load(); reason != nil && !q.hasNamedLeader() {
		return fmt.Errorf("%w: %s", ErrLost, *reason)
	}
	return nil
}

// hasNamedLeader reports whether this member's log has a leader and a name. This overrides an
// earlier verdict that the log is lost: a member that has just joined a new log may still hold
// outdated gossip about its voters, and would otherwise reject operators' calls for up to
// reconcileInterval. A follower that still has a log which all voters have lost has no leader.
func (q *Quorum) hasNamedLeader() bool {
	leader, _ := q.Leader()
	return leader != "" && q.fsm.name() != ""
}

// LogName returns the log's name, a random text that tells a new log from an earlier one; empty
// until the name is committed.
func (q *Quorum) LogName() string { return q.fsm.name() }

// State returns a copy of the state that this member has applied, without the workflows.
func (q *Quorum) State() ledger.State { return q.fsm.stateCopy() }

// Flows calls visit with the workflows of the state that this member has applied. visit must
// neither retain nor change them; it runs while the state is locked.
func (q *Quorum) Flows(visit func(*statetable.Table)) { q.fsm.withWorkflows(visit) }

// Seen returns the index of the last entry that State and Flows reflect.
func (q *Quorum) Seen() uint64 {
	q.fsm.mu.Lock()
	defer q.fsm.mu.Unlock()
	return q.fsm.state.Index
}

// Last returns the last index of this member's log, 0 for an empty log.
func (q *Quorum) Last() uint64 { return q.raft.LastIndex() }

// Snapshot takes a snapshot and compacts the log immediately. It returns nil if there is no new
// entry since the last snapshot.
func (q *Quorum) Snapshot() error {
	if err := q.raft.Snapshot().Error(); err != nil && !errors.Is(err, raft.ErrNothingNewToSnapshot) {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}
