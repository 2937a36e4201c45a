// Package cluster lets dispatchers that know each other share what matters: what operators
// have said, by a log that a majority keeps, and what is seen of runners, by gossip and by
// comparing copies. Its actor owns the soft copies; it knows the dispatcher only by the
// interfaces declared here, and none of what it is told blocks.
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

// Sockets is how many descriptors a cluster's member uses at most.
const Sockets = clusterport.Sockets + diskFiles + maxDials

// diskFiles are the log's, a snapshot's and what is held while one is written.
const diskFiles = 6

const (
	// compareEvery is how often a member compares its copies with another's, and soon how
	// soon again while the last time did not bring everything.
	compareInterval = time.Second
	hurriedInterval = 100 * time.Millisecond
	// expireEvery is how often what has ended is dropped.
	expireInterval = time.Second
)

// Config says who the member is and what it shares.
type Config struct {
	Name         string
	Site         string
	Build        string
	Listen       string
	Advertise    string   // empty for the same
	Join         []string // addresses of others
	Voters       []string // names
	Dir          string   // of the log; empty for none
	WatermarkDir string   // a folder apart from it that keeps how far it had gone; empty for none
	Source       string   // names whose versions the dispatcher's list counts by, until it tells
	Excluded     []string // runners that the dispatcher leaves out at its start, by what it kept
}

// Dispatcher is who the member works for. None of it may block.
type Dispatcher interface {
	// Exclude carries out what operators have said, at whichever member.
	Exclude(uid string, out bool, at time.Time)
	// Hear takes entries of the list that another's discovery told, in its form.
	ApplyRunners(source string, rev uint64, entries [][]byte)
	// Hint brings what another has found of a runner, in the dispatcher's own form.
	ApplyHealth(uid string, found []byte)
	// HearGang brings what another tells of a part of a gang, in the dispatcher's own form.
	ApplyGang(report []byte)
}

// Cluster is a dispatcher's membership. Open makes it.
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
	nameTaken      atomic.Bool      // another member had this one's name first
	pendingUpdates atomic.Int64     // that wait for the actor
	droppedUpdates atomic.Uint64    // that were dropped
	rejoinStatus   atomic.Pointer[func() rejoin.Status]
	clock          *memberClock
	unseenAddrs    refusedAddrs
	informed       atomic.Bool   // copies were compared with who was there before, or with anybody where nobody was
	compareNow     chan struct{} // has them compared at once

	store            *replica.Store
	source           string               // names whose versions the list counts by now
	generation       uint64               // how often the source's versions have begun anew, as seen here
	latestGeneration uint64               // and as anybody has seen it
	ownRunners       map[string]ownRunner // the list as told here, by uid
	excluded         map[string]bool
	logIndex         uint64                  // the last entry on a runner that came by the log
	agreedAhead      map[string]uint64       // entries that are agreed on and had not come by the log, by runner
	startWatermark   *mark.Watermark         // what was kept apart from the log at the start; nil for nothing
	undelivered      []replica.Fact          // taken in since the dispatcher was told
	publishedHealth  map[string]healthReport // what this member has said of runners' health last
	leaderLast       uint64                  // how far the leader's log went when it was asked; 0 for unknown
	reconciled       bool                    // what was left out at the start has been held against the log
	counts           counts
	differingBuckets int // buckets that differed at the last comparison
	syncedAt         time.Time
	startedAt        time.Time
}

// own is an entry of the list as this dispatcher's discovery told it.
type ownRunner struct {
	Entry
	rev uint64
}

// counts are of what the member has done.
type counts struct {
	Received, Accepted, Rejected, Conflicts, Compared, Failed uint64
}

// Open opens the member's address and folder and begins to take part. The context's end is
// not the member's: Close is.
func Open(cfg Config, to Dispatcher, log *logrus.Entry) (*Cluster, error) {
	port, err := clusterport.Open(cfg.Listen, cfg.Advertise, log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{cfg: cfg, log: log, dispatcher: to, port: port, mailbox: mailbox.New[func(*Cluster)](), ctx: ctx, cancel: cancel, source: cfg.Source, peers: map[string]*peer{},
		store: replica.New(replica.DefaultBounds()), ownRunners: map[string]ownRunner{}, publishedHealth: map[string]healthReport{}, excluded: map[string]bool{}, agreedAhead: map[string]uint64{}, startedAt: time.Now(), clock: newMemberClock(),
		unseenAddrs: refusedAddrs{refused: map[string]bool{}}, compareNow: make(chan struct{}, 1)}
	meta := members.Meta{Site: cfg.Site, Build: cfg.Build, Epoch: uint64(c.startedAt.UnixMilli())}
	restate, err := c.restoreExclusions()
	if err != nil {
		cancel()
		port.Close()
		return nil, err
	}
	if c.startWatermark != nil {
		meta.KnownIndex = c.startWatermark.Index
	}
	if c.members, err = members.New(members.Config{Name: cfg.Name, Seeds: cfg.Join, Meta: meta}, port, (*membershipSink)(c), log); err != nil {
		cancel()
		port.Close()
		return nil, err
	}
	if c.quorum, err = quorum.Open(quorum.Config{Name: cfg.Name, Dir: cfg.Dir, Voters: cfg.Voters, LastIndex: c.lastIndexOf, KnownIndex: meta.KnownIndex, InitialEntries: restate, OnInitialEntries: c.removeRestateFile}, port, c.members.Alive, (*logSink)(c), log); err != nil {
		cancel()
		c.members.Close()
		port.Close()
		return nil, err
	}
	c.serveCalls()
	for _, run := range []func(context.Context){c.run, c.compare, c.dialUnseen, c.members.Run, c.quorum.Run} {
		c.goroutines.Add(1)
		go func() {
			defer c.goroutines.Done()
			run(ctx)
		}()
	}
	log.WithFields(logrus.Fields{"member": cfg.Name, "addr": port.Advertised(), "voters": cfg.Voters}).Info("cluster member begins")
	return c, nil
}

// Close ends the membership. With farewell the others are told that the member goes;
// without, its successor comes in its place at once.
func (c *Cluster) Close(farewell bool) {
	c.cancel()
	c.quorum.Close()
	if farewell {
		c.members.Leave()
	} else {
		c.members.Close()
	}
	_ = c.calls.Close()
	c.http.CloseIdleConnections()
	c.port.Close()
	ended := make(chan struct{})
	go func() {
		c.goroutines.Wait()
		close(ended)
	}()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		c.log.Warn("a part of the member stands still and is left")
	}
}

// closeTime bounds the end. Guards the process's own against a log that waits for its disk.
const closeTimeout = time.Second

// Drains tells the others that the dispatcher is about to end.
func (c *Cluster) SetDraining() { c.members.Update(func(m *members.Meta) { m.Draining = true }) }

// run is the actor.
func (c *Cluster) run(ctx context.Context) {
	var mail []func(*Cluster)
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
		mail = c.mailbox.Drain(mail[:0])
		for i, message := range mail {
			message(c)
			mail[i] = nil
		}
		c.deliver()
	}
}

// ask has the actor answer; false where it does not before the context ends.
func query[T any](ctx context.Context, c *Cluster, request func(*Cluster) T) (T, bool) {
	got := make(chan T, 1)
	c.mailbox.Put(func(c *Cluster) { got <- request(c) })
	select {
	case v := <-got:
		return v, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// answerWithin bounds an exchange with another member.
const exchangeTimeout = 2 * time.Second

// readAll reads a body up to a bound.
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
