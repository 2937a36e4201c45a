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
const Sockets = clusterport.Sockets + diskFiles + mostKnocks

// diskFiles are the log's, a snapshot's and what is held while one is written.
const diskFiles = 6

const (
	// compareEvery is how often a member compares its copies with another's, and soon how
	// soon again while the last time did not bring everything.
	compareEvery = time.Second
	soon         = 100 * time.Millisecond
	// expireEvery is how often what has ended is dropped.
	expireEvery = time.Second
)

// Config says who the member is and what it shares.
type Config struct {
	Name      string
	Site      string
	Build     string
	Listen    string
	Advertise string   // empty for the same
	Join      []string // addresses of others
	Voters    []string // names
	Dir       string   // of the log; empty for none
	Keep      string   // a folder apart from it that keeps how far it had gone; empty for none
	Source    string   // names whose versions the dispatcher's list counts by, until it tells
	Out       []string // runners that the dispatcher leaves out at its start, by what it kept
}

// Dispatcher is who the member works for. None of it may block.
type Dispatcher interface {
	// Exclude carries out what operators have said, at whichever member.
	Exclude(uid string, out bool, at time.Time)
	// Hear takes entries of the list that another's discovery told, in its form.
	Hear(source string, rev uint64, entries [][]byte)
	// Hint brings what another has found of a runner, in the dispatcher's own form.
	Hint(uid string, found []byte)
	// HearGang brings what another tells of a part of a gang, in the dispatcher's own form.
	HearGang(told []byte)
}

// Cluster is a dispatcher's membership. Open makes it.
type Cluster struct {
	cfg      Config
	log      *logrus.Entry
	to       Dispatcher
	port     *clusterport.Port
	list     *members.Members
	quorum   *quorum.Quorum
	calls    *http.Server
	http     *http.Client
	box      *mailbox.Box[func(*Cluster)]
	ctx      context.Context // ends with the membership
	end      context.CancelFunc
	done     sync.WaitGroup
	peers    map[string]*peer // by address
	second   atomic.Bool      // another member had this one's name first
	words    atomic.Int64     // that wait for the actor
	lost     atomic.Uint64    // that were dropped
	back     atomic.Pointer[func() rejoin.Status]
	times    *times
	around   around
	informed atomic.Bool   // copies were compared with who was there before, or with anybody where nobody was
	hurry    chan struct{} // has them compared at once

	store   *replica.Store
	source  string         // names whose versions the list counts by now
	gen     uint64         // how often the source's versions have begun anew, as seen here
	latest  uint64         // and as anybody has seen it
	mine    map[string]own // the list as told here, by uid
	outs    map[string]bool
	seen    uint64            // the last entry on a runner that came by the log
	ahead   map[string]uint64 // entries that are agreed on and had not come by the log, by runner
	knew    *mark.Mark        // what was kept apart from the log at the start; nil for nothing
	fresh   []replica.Fact    // taken in since the dispatcher was told
	found   map[string]told   // what this member has said of runners' health last
	reaches uint64            // how far the leader's log went when it was asked; 0 for unknown
	settled bool              // what was left out at the start has been held against the log
	told    counts
	behind  int // buckets that differed at the last comparison
	synced  time.Time
	started time.Time
}

// own is an entry of the list as this dispatcher's discovery told it.
type own struct {
	Entry
	rev uint64
}

// counts are of what the member has done.
type counts struct {
	Heard, Took, Refused, Conflicts, Compared, Unreached uint64
}

// Open opens the member's address and folder and begins to take part. The context's end is
// not the member's: Close is.
func Open(cfg Config, to Dispatcher, log *logrus.Entry) (*Cluster, error) {
	port, err := clusterport.Open(cfg.Listen, cfg.Advertise, log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{cfg: cfg, log: log, to: to, port: port, box: mailbox.New[func(*Cluster)](), ctx: ctx, end: cancel, source: cfg.Source, peers: map[string]*peer{},
		store: replica.New(replica.DefaultBounds()), mine: map[string]own{}, found: map[string]told{}, outs: map[string]bool{}, ahead: map[string]uint64{}, started: time.Now(), times: newTimes(),
		around: around{refused: map[string]bool{}}, hurry: make(chan struct{}, 1)}
	meta := members.Meta{Site: cfg.Site, Build: cfg.Build, Epoch: uint64(c.started.UnixMilli())}
	restate, err := c.remember()
	if err != nil {
		cancel()
		port.Close()
		return nil, err
	}
	if c.knew != nil {
		meta.Knew = c.knew.Index
	}
	if c.list, err = members.New(members.Config{Name: cfg.Name, Seeds: cfg.Join, Meta: meta}, port, (*gossip)(c), log); err != nil {
		cancel()
		port.Close()
		return nil, err
	}
	if c.quorum, err = quorum.Open(quorum.Config{Name: cfg.Name, Dir: cfg.Dir, Voters: cfg.Voters, Ask: c.lastOf, Kept: meta.Knew, Restate: restate, Restated: c.restated}, port, c.list.Alive, (*agreement)(c), log); err != nil {
		cancel()
		c.list.Close()
		port.Close()
		return nil, err
	}
	c.serveCalls()
	for _, run := range []func(context.Context){c.run, c.compare, c.knock, c.list.Run, c.quorum.Run} {
		c.done.Add(1)
		go func() {
			defer c.done.Done()
			run(ctx)
		}()
	}
	log.WithFields(logrus.Fields{"member": cfg.Name, "addr": port.Advertised(), "voters": cfg.Voters}).Info("cluster member begins")
	return c, nil
}

// Close ends the membership. With farewell the others are told that the member goes;
// without, its successor comes in its place at once.
func (c *Cluster) Close(farewell bool) {
	c.end()
	c.quorum.Close()
	if farewell {
		c.list.Leave()
	} else {
		c.list.Close()
	}
	_ = c.calls.Close()
	c.http.CloseIdleConnections()
	c.port.Close()
	ended := make(chan struct{})
	go func() {
		c.done.Wait()
		close(ended)
	}()
	late := time.NewTimer(closeTime)
	defer late.Stop()
	select {
	case <-ended:
	case <-late.C:
		c.log.Warn("a part of the member stands still and is left")
	}
}

// closeTime bounds the end. Guards the process's own against a log that waits for its disk.
const closeTime = time.Second

// Drains tells the others that the dispatcher is about to end.
func (c *Cluster) Drains() { c.list.Update(func(m *members.Meta) { m.Drain = true }) }

// run is the actor.
func (c *Cluster) run(ctx context.Context) {
	var mail []func(*Cluster)
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.box.Ready():
		case <-expire.C:
			c.store.Expire(c.now())
			c.settle()
		}
		mail = c.box.Drain(mail[:0])
		for i, message := range mail {
			message(c)
			mail[i] = nil
		}
		c.tell()
	}
}

// ask has the actor answer; false where it does not before the context ends.
func ask[T any](ctx context.Context, c *Cluster, question func(*Cluster) T) (T, bool) {
	got := make(chan T, 1)
	c.box.Put(func(c *Cluster) { got <- question(c) })
	select {
	case v := <-got:
		return v, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// answerWithin bounds an exchange with another member.
const answerWithin = 2 * time.Second

// readAll reads a body up to a bound.
func readAll(r io.Reader, most int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, most+1))
	if err != nil {
		return nil, fmt.Errorf("reading: %w", err)
	}
	if int64(len(b)) > most {
		return nil, fmt.Errorf("more than %d bytes", most)
	}
	return b, nil
}
