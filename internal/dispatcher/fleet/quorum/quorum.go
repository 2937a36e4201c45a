// Package quorum runs a cluster's replicated log with Raft (Ongaro & Ousterhout 2014; the engine
// is hashicorp/raft): a few configured voters agree on the order of the entries and all other
// members follow as non-voters. An entry is acknowledged once a majority of the voters has it on
// disk. Without a majority nothing is written, and every member continues with the state that it
// has.
//
// Package cluster opens one Quorum for each member and proposes the entries; the entries' effects
// are those of package ledger. Invariants: an acknowledged entry is never lost while a majority of
// the disks survives, a member that returns without its disk is a new voter, and no log is started
// while a member knows of one.
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
	// Raft's time-outs: followers start an election after heartbeatTimeout without a leader;
	// a leader without a majority for leaderLease steps down, before another can be elected.
	heartbeatTimeout = 500 * time.Millisecond
	leaderLease      = 400 * time.Millisecond
	commitTimeout    = 100 * time.Millisecond
	// A snapshot is taken after snapshotThreshold entries; trailingLogs entries before it are
	// kept for followers that are slightly behind.
	snapshotThreshold = 1024
	trailingLogs      = 512
	snapshotInterval  = 5 * time.Second
	rpcTimeout        = time.Second
	// maxRPCsInFlight of 1 disables pipelining: a follower is sent nothing before it has answered
	// the last request, each of which still carries several entries. With pipelining, a follower
	// that rejects one request (its disk is full) stops its sender for good: the sender waits for
	// the response to the next one, which nothing reads any more (raft 1.7.3,
	// netPipeline.AppendEntries and decodeResponses).
	maxRPCsInFlight = 1
	// reconcileInterval is the interval at which the leader compares the log's configuration with
	// the live members.
	reconcileInterval = 500 * time.Millisecond
	// followerTimeout is how long a non-voter may be absent before it is removed; it is added
	// again when it returns.
	followerTimeout = time.Minute
)

// The reasons for which an entry is not written.
var (
	ErrNoLeader = errors.New("the log has no leader: no majority of its voters is reached")
	ErrForming  = errors.New("the log has not begun: it needs all of its voters once, and an answer or a refusal from each configured address")
	// ErrLost is wrapped with what is known of the lost log.
	ErrLost = errors.New("the agreed log is lost")
)

// Sink receives what the log leads to. No method may block.
type Sink interface {
	Applied(ledger.Done)                      // an entry was applied
	Restored(previous, current ledger.State)  // a snapshot has replaced the state
	LeaderChanged(leader string, term uint64) // empty for no leader
	LogOpened(disk string, begun bool)        // the ID of the member's disk, empty for none, and whether its log has an entry
}

// Config configures a member's part in the log.
type Config struct {
	Name   string
	Disk   *Disk    // of the member's log; nil for a follower in memory
	Voters []string // names of the voting members
	// Seeds are the configured addresses of members. No log begins while the member at one of them
	// may know of a log.
	Seeds []string
	// KnownIndex asks the member at an address for the highest index of a log that it has or knows
	// of, 0 for none.
	KnownIndex func(ctx context.Context, addr string) (index uint64, err error)
	// Refuses reports whether connections to an address are refused, so that no member runs there.
	Refuses func(ctx context.Context, addr string) bool
	// InitialEntries are written first to a log that an operator starts anew here;
	// OnInitialEntries is called once they are committed.
	InitialEntries   []ledger.Entry
	OnInitialEntries func()

	wrapStores func(stores) stores // for tests: wraps the stores of the engine; nil for none
}

// stores are Raft's persistent stores.
type stores struct {
	logs   raft.LogStore
	stable raft.StableStore
	snaps  raft.SnapshotStore
}

// Quorum is a member's part in the log; Open creates it.
type Quorum struct {
	cfg         Config
	log         *logrus.Entry
	sink        Sink
	disk        *Disk // nil for a follower in memory
	stores      stores
	stable      *retryingStore
	id          raft.ServerID
	addr        raft.ServerAddress // advertised to the other members
	raft        *raft.Raft
	transport   *raft.NetworkTransport
	machine     *machine
	alive       func() []members.Info
	absentSince map[raft.ServerID]time.Time // non-voters that are not alive
	withheldBy  string                      // address for which the log has not begun at the last try
	lost        atomic.Pointer[string]      // why the log is lost; nil if it is not
}

// Open opens a member's part in the log. alive returns the live members and is called from any
// goroutine. Open takes over the disk, and closes it where it fails.
func Open(cfg Config, port *clusterport.Port, alive func() []members.Info, sink Sink, log *logrus.Entry) (*Quorum, error) {
	q := &Quorum{cfg: cfg, log: log, sink: sink, alive: alive, absentSince: map[raft.ServerID]time.Time{}}
	logger := engineLog(log)
	q.machine = &machine{applied: sink.Applied, restored: sink.Restored}
	var kept stores
	id := noDiskID
	if cfg.Disk == nil {
		memory := raft.NewInmemStore()
		kept = stores{memory, memory, raft.NewInmemSnapshotStore()}
		q.id = raft.ServerID(cfg.Name)
	} else {
		d := cfg.Disk
		q.disk, kept, id = d, stores{d.logs, d.logs, d.snaps}, d.id
		q.id = raft.ServerID(cfg.Name + "/" + d.id)
	}
	q.addr = serverAddress(id, port.Advertised())
	q.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: streamLayer{port.Listener(clusterport.Log), port, id},
		MaxPool: 2, MaxRPCsInFlight: maxRPCsInFlight, Timeout: rpcTimeout, Logger: logger})
	if cfg.wrapStores != nil {
		kept = cfg.wrapStores(kept)
	}
	q.stores, q.stable = kept, newRetryingStore(kept.stable, log)
	r, err := raft.NewRaft(engineConfig(q.id, logger), q.machine, kept.logs, q.stable, kept.snaps, transport{q.transport, q.addr})
	if err != nil {
		q.transport.Close()
		if q.disk != nil {
			q.disk.Close()
		}
		return nil, fmt.Errorf("cluster: %w", err)
	}
	q.raft = r
	return q, nil
}

// Run starts the log if needed and maintains its configuration, until ctx ends.
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
	var led leaderTerm
	for {
		led = q.reportLeader(led)
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

// leaderTerm is the leader that was last reported, with its term.
type leaderTerm struct {
	id   raft.ServerID
	term uint64
}

// reportLeader reports the leader to the sink if it, or its term, has changed. Raft announces each
// change once only; comparing covers a leader elected before Run began to listen, and a change
// while the listener was busy.
func (q *Quorum) reportLeader(previous leaderTerm) leaderTerm {
	_, id := q.raft.LeaderWithID()
	current := leaderTerm{id, q.raft.CurrentTerm()}
	if current.id == previous.id && (current.term == previous.term || id == "") {
		return previous
	}
	q.sink.LeaderChanged(memberName(id), current.term)
	return current
}

// memberName returns the member's name in a server ID.
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
	a, id := q.raft.LeaderWithID()
	return memberName(id), withoutDisk(a)
}

// IsLeader reports whether this member is the leader.
func (q *Quorum) IsLeader() bool { return q.raft.State() == raft.Leader }

// LostError returns ErrLost, wrapped with what is known of the lost log; nil if the log is not
// lost.
func (q *Quorum) LostError() error {
	if why := q.lost.Load(); why != nil && !q.ledAndNamed() {
		return fmt.Errorf("%w: %s", ErrLost, *why)
	}
	return nil
}

// ledAndNamed reports whether the log here has a leader and its name, which refutes an earlier
// verdict that it is lost: a member that has just joined a log started anew may still hold older
// gossip about its voters, and would reject operators' calls for up to reconcileInterval. A
// follower that alone has a log whose voters have lost it has no leader.
func (q *Quorum) ledAndNamed() bool {
	leader, _ := q.Leader()
	return leader != "" && q.machine.name() != ""
}

// LogName returns the log's name, empty until it has one.
func (q *Quorum) LogName() string { return q.machine.name() }

// State returns a copy of the state that the log has led to here, without the workflows.
func (q *Quorum) State() ledger.State { return q.machine.read() }

// Flows calls show with the workflows that the log has led to here. show must neither keep nor
// change them.
func (q *Quorum) Flows(show func(*statetable.Table)) { q.machine.flows(show) }

// Seen returns the index of the last entry that State and Flows reflect.
func (q *Quorum) Seen() uint64 {
	q.machine.mu.Lock()
	defer q.machine.mu.Unlock()
	return q.machine.state.Index
}

// Last returns the last index of the log here, 0 for an empty log.
func (q *Quorum) Last() uint64 { return q.raft.LastIndex() }

// Snapshot takes a snapshot and compacts the log now. Having nothing new is not an error.
func (q *Quorum) Snapshot() error {
	if err := q.raft.Snapshot().Error(); err != nil && !errors.Is(err, raft.ErrNothingNewToSnapshot) {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}
