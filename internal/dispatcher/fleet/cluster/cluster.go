// Package cluster is a dispatcher's membership in a cluster. It shares two kinds of state with the
// other dispatchers: operators' decisions and workflows through a replicated log that a majority
// keeps (package quorum), and observations of runners, gangs and keyed jobs through gossip and
// pairwise comparison of replicas (packages members and replica).
//
// The dispatcher's command opens one Cluster and implements Dispatcher, the package's only
// interface to the core. Invariants: a runner that an operator has excluded stays excluded until
// the log is known to include it again, and no callback blocks the actor.
//
// One goroutine, the actor, owns the replicas and the exclusions; other goroutines reach them
// through its mailbox. All exported methods are safe for concurrent use.
package cluster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/clusterport"
	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/quorum"
	"frosttide/internal/dispatcher/fleet/recovery/mark"
	"frosttide/internal/dispatcher/fleet/rejoin"
	"frosttide/internal/dispatcher/fleet/replica"
	"frosttide/internal/mailbox"
)

// Sockets is the maximum number of file descriptors that a member uses.
const Sockets = clusterport.Sockets + diskFiles + maxDials

// diskFiles is the number of file descriptors of the log, of a snapshot, and of the files that are
// open while a snapshot is written.
const diskFiles = 6

const (
	// compareInterval is the interval between comparisons of replicas with another member, and
	// catchUpInterval the one at the start and after an incomplete comparison.
	compareInterval = time.Second
	catchUpInterval = 100 * time.Millisecond
	// expireInterval is the interval at which expired facts are dropped.
	expireInterval = time.Second
)

// Config configures a member.
type Config struct {
	Name         string   // unique in the cluster
	Site         string   // published to the other members
	Build        string   // the program's version, published to the other members
	Listen       string   // address that the member opens
	Advertise    string   // address at which the others reach this member; empty for Listen
	Join         []string // addresses of other members
	Voters       []string // names of the voting members
	Dir          string   // folder of the log; empty for a member without a log
	WatermarkDir string   // another folder, for the log's watermark; empty for no watermark
	Source       string   // initial name of the discovery whose versions order the list of runners
	Excluded     []string // runners that the dispatcher excludes already, from its own stored state
}

// Dispatcher is the dispatcher that the member serves. No method may block.
type Dispatcher interface {
	// Exclude excludes a runner, or includes it again, as operators of any member have decided.
	Exclude(uid string, out bool, at time.Time)
	// ApplyRunners applies entries of the list of runners that another member's discovery sent, in
	// its format.
	ApplyRunners(source string, rev uint64, entries [][]byte)
	// ApplyHealth applies another member's measurement of a runner's health, in the dispatcher's
	// format.
	ApplyHealth(uid string, found []byte)
	// ApplyGang applies another member's report on a part of a gang, in the dispatcher's format.
	ApplyGang(report []byte)
}

// Cluster is a dispatcher's membership in a cluster; Open creates it.
type Cluster struct {
	cfg            Config
	log            *logrus.Entry
	dispatcher     Dispatcher
	port           *clusterport.Port
	members        *members.Members
	quorum         *quorum.Quorum
	calls          *http.Server
	http           *http.Client
	mailbox        *mailbox.Box[func(*Cluster)]
	ctx            context.Context // ends with the membership
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
	peers          map[string]*peer // by address
	nameTaken      atomic.Bool      // an earlier member has the same name
	pendingUpdates atomic.Int64     // received updates that are queued for the actor
	droppedUpdates atomic.Uint64    // updates dropped because too many were queued
	rejoinStatus   atomic.Pointer[func() rejoin.Status]
	clock          *memberClock
	unseenAddrs    refusedAddrs
	// replicasCompared is set once the replicas were compared with an earlier member's, or with any
	// member's if there was no earlier one.
	replicasCompared atomic.Bool
	compareNow       chan struct{} // triggers a comparison

	store            *replica.Store
	source           string               // discovery whose versions order the list of runners
	generation       uint64               // restarts of the source's versions, as known here
	latestGeneration uint64               // highest generation that any member has published
	ownRunners       map[string]ownRunner // runners that the own discovery has listed, by UID
	excluded         map[string]bool
	exclusionFiles   *exclusionWriter
	logIndex         uint64                  // index of the last applied entry on a runner
	appliedAhead     map[string]uint64       // indexes of entries applied ahead of the local log, by runner
	startWatermark   *mark.Watermark         // the watermark at the start; nil for none
	undelivered      []replica.Fact          // facts merged since the dispatcher was last called
	publishedHealth  map[string]healthReport // health that this member published last, by runner
	leaderLast       uint64                  // last index of the leader's log as queried; 0 if unknown
	reconciled       bool                    // exclusions at the start were reconciled with the log
	counts           counts
	differingBuckets int // at the last comparison
	syncedAt         time.Time
	startedAt        time.Time
}

// ownRunner is an entry of the list from this dispatcher's discovery, with its version.
type ownRunner struct {
	Entry
	rev uint64
}

// counts are the member's counters.
type counts struct {
	Received, Accepted, Rejected, Conflicts, Compared, Failed uint64
}

// Open opens the member's address and folder, and starts its goroutines, which end with Close. An
// error names what could not be opened.
func Open(cfg Config, dispatcher Dispatcher, log *logrus.Entry) (*Cluster, error) {
	port, err := clusterport.Open(cfg.Listen, cfg.Advertise, log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{cfg: cfg, log: log, dispatcher: dispatcher, port: port, mailbox: mailbox.New[func(*Cluster)](), ctx: ctx, cancel: cancel, source: cfg.Source, peers: map[string]*peer{},
		store: replica.New(replica.DefaultBounds()), ownRunners: map[string]ownRunner{}, publishedHealth: map[string]healthReport{}, excluded: map[string]bool{}, exclusionFiles: newExclusionWriter(cfg.Dir, cfg.WatermarkDir, log), appliedAhead: map[string]uint64{}, startedAt: time.Now(), clock: newMemberClock(),
		unseenAddrs: refusedAddrs{refused: map[string]bool{}}, compareNow: make(chan struct{}, 1)}
	initialEntries, err := c.restoreExclusions()
	if err != nil {
		cancel()
		port.Close()
		return nil, err
	}
	disk, meta, err := c.openDisk()
	if err != nil {
		cancel()
		port.Close()
		return nil, err
	}
	if c.members, err = members.New(members.Config{Name: cfg.Name, Seeds: cfg.Join, Meta: meta}, port, (*membershipSink)(c), log); err != nil {
		if disk != nil {
			disk.Close()
		}
		cancel()
		port.Close()
		return nil, err
	}
	quorumConfig := quorum.Config{Name: cfg.Name, Disk: disk, Voters: cfg.Voters, Seeds: cfg.Join, KnownIndex: c.knownIndexOf, Refuses: c.refuses,
		InitialEntries: initialEntries, OnInitialEntries: c.removeInitialExclusions}
	if c.quorum, err = quorum.Open(quorumConfig, port, c.members.Alive, (*logSink)(c), log); err != nil {
		cancel()
		c.members.Close()
		port.Close()
		return nil, err
	}
	c.serveCalls()
	for _, run := range []func(context.Context){c.run, c.compare, c.dialUnseen, c.members.Run, c.quorum.Run, c.exclusionFiles.run} {
		c.goroutines.Add(1)
		go func() {
			defer c.goroutines.Done()
			run(ctx)
		}()
	}
	log.WithFields(logrus.Fields{"member": cfg.Name, "addr": port.Advertised(), "voters": cfg.Voters}).Info("cluster member begins")
	return c, nil
}

// openDisk opens the disk of the member's log, nil for a member without a log, and returns the
// metadata that the member publishes from its first message on.
func (c *Cluster) openDisk() (disk *quorum.Disk, meta members.Meta, err error) {
	meta = members.Meta{Site: c.cfg.Site, Build: c.cfg.Build, Epoch: uint64(c.startedAt.UnixMilli())}
	if c.startWatermark != nil {
		meta.KnownIndex = c.startWatermark.Index
	}
	if c.cfg.Dir == "" {
		return nil, meta, nil
	}
	if disk, err = quorum.OpenDisk(c.cfg.Dir, meta.KnownIndex, c.log); err != nil {
		return nil, meta, err
	}
	meta.Disk = disk.ID()
	if meta.Log, err = disk.Begun(); err != nil {
		disk.Close()
		return nil, meta, err
	}
	return disk, meta, nil
}

// Close ends the membership. With announce it tells the other members that this one leaves; without
// it a successor process takes the member's place at once. Close takes up to about closeTimeout for
// each component.
func (c *Cluster) Close(announce bool) {
	c.cancel()
	c.quorum.Close()
	if announce {
		c.members.Leave()
	} else {
		c.members.Close()
	}
	_ = c.calls.Close()
	c.http.CloseIdleConnections()
	c.port.Close()
	done := make(chan struct{})
	go func() {
		c.goroutines.Wait()
		close(done)
	}()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		c.log.Warn("goroutines of the cluster member are blocked; closing without waiting for them")
	}
}

// closeTimeout bounds the wait for the goroutines, so that a log whose disk is blocked cannot keep
// the process from exiting.
const closeTimeout = time.Second

// SetDraining announces to the others that the dispatcher is draining.
func (c *Cluster) SetDraining() { c.members.Update(func(m *members.Meta) { m.Draining = true }) }

// run is the actor: it executes the functions from the mailbox until ctx ends.
func (c *Cluster) run(ctx context.Context) {
	var messages []func(*Cluster)
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.mailbox.Ready():
		case <-expire.C:
			c.store.Expire(c.now())
			c.reconcileExclusions()
		}
		messages = c.mailbox.Drain(messages[:0])
		for i, message := range messages {
			message(c)
			messages[i] = nil
		}
		c.deliver()
	}
}

// query runs f in the actor and returns its result; false if ctx ends first.
func query[T any](ctx context.Context, c *Cluster, f func(*Cluster) T) (T, bool) {
	result := make(chan T, 1)
	c.mailbox.Put(func(c *Cluster) { result <- f(c) })
	select {
	case v := <-result:
		return v, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// exchangeTimeout bounds a comparison with another member, and a call that another member makes.
const exchangeTimeout = 2 * time.Second

// readAll reads a body of at most limit bytes; a longer one is an error.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("reading: %w", err)
	}
	if int64(len(b)) > limit {
		return nil, fmt.Errorf("more than %d bytes", limit)
	}
	return b, nil
}
