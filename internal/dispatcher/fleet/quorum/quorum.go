// Package quorum keeps the replicated log of a cluster: a few voters, named in the settings,
// agree by Raft on the order of entries, and all other members follow. An entry is
// acknowledged when a majority of the voters has it on disk. Without a majority nothing is
// written and everyone goes on by what is known.
//
// Source of the algorithm: Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm"; the engine is hashicorp/raft.
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
	// The engine's times: a leader that is silent for heartbeat is doubted, one that does
	// not hear from a majority for lease steps down by itself, before another can be chosen.
	heartbeatTimeout = 500 * time.Millisecond
	leaderLease      = 400 * time.Millisecond
	commitTimeout    = 100 * time.Millisecond
	// A snapshot is taken after so many entries, and as many are kept behind it for
	// followers that are a little late.
	snapshotThreshold = 1024
	trailingLogs      = 512
	snapshotInterval  = 5 * time.Second
	rpcTimeout        = time.Second
	// oneByOne has the engine send a follower nothing before it has answered the last: several entries
	// go in one call all the same. Guards followers from a sender that stands still for good: where the
	// engine sends ahead and a follower refuses one call (a full disk), its sender waits for room behind
	// the next, which nobody reads any more (raft 1.7.3, netPipeline.AppendEntries and decodeResponses).
	maxRPCsInFlight = 1
	// lookEvery is how often the leader looks after who is in the log's configuration.
	reconcileInterval = 500 * time.Millisecond
	// forgetAfter is how long a follower without a vote may be away before it is taken out;
	// it comes in again when it is back.
	followerTimeout = time.Minute
)

// The reasons why nothing is written.
var (
	ErrNoLeader = errors.New("the log has no leader: no majority of its voters is reached")
	ErrForming  = errors.New("the log has not begun: it needs all of its voters once")
	// ErrLost comes with what is known of the log that is gone.
	ErrLost = errors.New("the agreed log is lost")
)

// Sink is told what the log leads to, from one goroutine. It must not block.
type Sink interface {
	Applied(ledger.Done)                      // an entry was applied
	Restored(was, is ledger.State)            // a snapshot took the state's place
	LeaderChanged(leader string, term uint64) // who leads; empty for nobody
	LogOpened(disk string, begun bool)        // what the member says of its log
}

// Config says what a member's part in the log is.
type Config struct {
	Name   string
	Dir    string   // of the member's part; empty for none, which makes a follower in memory
	Voters []string // names of members
	// Ask has another member say by itself how far its log goes, 0 for none.
	LastIndex func(ctx context.Context, addr string) (last uint64, err error)
	// Kept is how far the log had gone by what the member keeps elsewhere; 0 for unknown.
	KnownIndex uint64
	// Restate are entries that a log which begins anew here has to say first, by an operator's
	// word; Restated is called once it has.
	InitialEntries   []ledger.Entry
	OnInitialEntries func()

	wrapStores func(stores) stores // puts something between the engine and its disk; nil for nothing
}

// stores are what the engine keeps.
type stores struct {
	logs   raft.LogStore
	stable raft.StableStore
	snaps  raft.SnapshotStore
}

// Quorum is a member's part in the log. Open makes it.
type Quorum struct {
	cfg         Config
	log         *logrus.Entry
	sink        Sink
	disk        *disk // nil without a folder
	stores      stores
	stable      *retryingStore
	id          raft.ServerID
	addr        raft.ServerAddress // where others reach it
	raft        *raft.Raft
	transport   *raft.NetworkTransport
	machine     *machine
	alive       func() []members.Info
	absentSince map[raft.ServerID]time.Time
	lost        atomic.Pointer[string] // why the log is lost; nil where it is not
}

// Open opens a member's part. Alive tells who is alive; it may be called from any goroutine.
func Open(cfg Config, port *clusterport.Port, alive func() []members.Info, sink Sink, log *logrus.Entry) (*Quorum, error) {
	q := &Quorum{cfg: cfg, log: log, sink: sink, alive: alive, absentSince: map[raft.ServerID]time.Time{}}
	logger := engineLog(log)
	q.machine = &machine{applied: sink.Applied, restored: sink.Restored}
	var kept stores
	id := noDiskID
	if cfg.Dir == "" {
		memory := raft.NewInmemStore()
		kept = stores{memory, memory, raft.NewInmemSnapshotStore()}
		q.id = raft.ServerID(cfg.Name)
	} else {
		d, aside, err := openDisk(cfg.Dir, cfg.KnownIndex, logger)
		if err != nil {
			return nil, err
		}
		if aside != "" {
			log.WithField("aside", aside).Error("this member's log can't be used; it is set aside and the member joins as a new one")
		}
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
			q.disk.close()
		}
		return nil, fmt.Errorf("cluster: %w", err)
	}
	q.raft = r
	return q, nil
}

// Run looks after the log's configuration until the context ends.
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

// leading is who led when it was last told.
type leaderTerm struct {
	id   raft.ServerID
	term uint64
}

// led tells who leads where that is another than was told, or the same anew. Guards a leader
// that was there before anybody listened, and a change while the listener was busy: the engine
// tells each change once.
func (q *Quorum) reportLeader(was leaderTerm) leaderTerm {
	_, id := q.raft.LeaderWithID()
	is := leaderTerm{id, q.raft.CurrentTerm()}
	if is.id == was.id && (is.term == was.term || id == "") {
		return was
	}
	q.sink.LeaderChanged(memberName(id), is.term)
	return is
}

// nameOf is the member's name in an id.
func memberName(id raft.ServerID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}

// until is what the engine takes in place of a deadline.
func timeoutOf(ctx context.Context) time.Duration {
	by, ok := ctx.Deadline()
	if !ok {
		return rpcTimeout
	}
	return max(time.Until(by), time.Millisecond)
}

// Leader returns the name and address of the leader, empty for none.
func (q *Quorum) Leader() (name, addr string) {
	a, id := q.raft.LeaderWithID()
	return memberName(id), withoutDisk(a)
}

// Leads tells whether this member leads.
func (q *Quorum) IsLeader() bool { return q.raft.State() == raft.Leader }

// Lost returns what is known of a log that is lost; nil where it is not.
func (q *Quorum) LostError() error {
	if why := q.lost.Load(); why != nil && !q.ledAndNamed() {
		return fmt.Errorf("%w: %s", ErrLost, *why)
	}
	return nil
}

// inForce tells whether the log here has its name and somebody leads it. Guards a member that has
// just joined a log begun anew against what gossip says yet of its voters, which is from before: by
// that it would refuse what operators say for up to lookEvery. A follower that alone has a log
// whose voters have lost it hears no leader.
func (q *Quorum) ledAndNamed() bool {
	leader, _ := q.Leader()
	return leader != "" && q.machine.name() != ""
}

// LogName returns the log's name, empty where it has none yet.
func (q *Quorum) LogName() string { return q.machine.name() }

// State returns what the log has led to here.
func (q *Quorum) State() ledger.State { return q.machine.read() }

// Flows shows the workflows that the log has led to here; they must not be kept or changed.
func (q *Quorum) Flows(show func(*statetable.Table)) { q.machine.flows(show) }

// Seen returns the last entry that State and Flows rest on.
func (q *Quorum) Seen() uint64 {
	q.machine.mu.Lock()
	defer q.machine.mu.Unlock()
	return q.machine.state.Index
}

// Last returns how far the log goes here, 0 for one that has not begun.
func (q *Quorum) Last() uint64 { return q.raft.LastIndex() }

// Snapshot has the state written down and the log cut short now.
func (q *Quorum) Snapshot() error {
	if err := q.raft.Snapshot().Error(); err != nil && !errors.Is(err, raft.ErrNothingNewToSnapshot) {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}
