// Package cluster lets dispatchers that know each other share what matters: what operators
// have said, by a log that a majority keeps, and what is seen of runners, by gossip and by
// comparing copies. Its actor owns the soft copies; it knows the dispatcher only by the
// interfaces declared here, and none of what it is told blocks.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/clusterport"
	"frosttide/internal/ledger"
	"frosttide/internal/mailbox"
	"frosttide/internal/members"
	"frosttide/internal/quorum"
	"frosttide/internal/replica"
)

// Sockets is how many descriptors a cluster's member uses at most.
const Sockets = clusterport.Sockets + diskFiles

// diskFiles are the log's, a snapshot's and what is held while one is written.
const diskFiles = 6

const (
	// compareEvery is how often a member compares its copies with another's, and hurry how
	// soon again while the last time did not bring everything.
	compareEvery = time.Second
	hurry        = 100 * time.Millisecond
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
}

// Cluster is a dispatcher's membership. Open makes it.
type Cluster struct {
	cfg    Config
	log    *logrus.Entry
	to     Dispatcher
	port   *clusterport.Port
	list   *members.Members
	quorum *quorum.Quorum
	calls  *http.Server
	http   *http.Client
	box    *mailbox.Box[func(*Cluster)]
	ctx    context.Context // ends with the membership
	end    context.CancelFunc
	done   sync.WaitGroup
	peers  map[string]*peer // by address
	second atomic.Bool      // another member had this one's name first
	words  atomic.Int64     // that wait for the actor
	lost   atomic.Uint64    // that were dropped

	store   *replica.Store
	source  string         // names whose versions the list counts by now
	gen     uint64         // how often the source's versions have begun anew, as seen here
	latest  uint64         // and as anybody has seen it
	mine    map[string]own // the list as told here, by uid
	outs    map[string]bool
	fresh   []replica.Fact  // taken in since the dispatcher was told
	found   map[string]told // what this member has said of runners' health last
	settled bool            // what was left out at the start has been held against the log
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

// now is the time as facts have it.
func now() int64 { return time.Now().UnixMilli() }

// Open opens the member's address and folder and begins to take part. The context's end is
// not the member's: Close is.
func Open(cfg Config, to Dispatcher, log *logrus.Entry) (*Cluster, error) {
	port, err := clusterport.Open(cfg.Listen, cfg.Advertise, log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{cfg: cfg, log: log, to: to, port: port, box: mailbox.New[func(*Cluster)](), ctx: ctx, end: cancel, source: cfg.Source, peers: map[string]*peer{},
		store: replica.New(replica.DefaultBounds()), mine: map[string]own{}, found: map[string]told{}, outs: map[string]bool{}, started: time.Now()}
	meta := members.Meta{Site: cfg.Site, Build: cfg.Build, Epoch: uint64(c.started.UnixMilli())}
	c.remember()
	if c.list, err = members.New(members.Config{Name: cfg.Name, Seeds: cfg.Join, Meta: meta}, port, (*gossip)(c), log); err != nil {
		cancel()
		port.Close()
		return nil, err
	}
	if c.quorum, err = quorum.Open(quorum.Config{Name: cfg.Name, Dir: cfg.Dir, Voters: cfg.Voters, Ask: c.lastOf}, port, c.list.Alive, (*agreement)(c), log); err != nil {
		cancel()
		c.list.Close()
		port.Close()
		return nil, err
	}
	c.serveCalls()
	for _, run := range []func(context.Context){c.run, c.compare, c.list.Run, c.quorum.Run} {
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
			c.store.Expire(now())
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

// gossip is what the members' list tells; it comes from the list's goroutines.
type gossip Cluster

// Joined tells of a member that is new or back.
func (g *gossip) Joined(i members.Info) { g.line(i).Info("member joined") }

// Changed tells that one says something else of itself.
func (g *gossip) Changed(i members.Info) { g.line(i).Debug("member changed") }

// Gone tells of one that is gone.
func (g *gossip) Gone(i members.Info) {
	g.box.Put(func(c *Cluster) { c.drop(i.Addr) })
	l := g.line(i)
	if i.Life == members.Left {
		l.Info("member left")
		return
	}
	l.Warn("member lost")
}

func (g *gossip) line(i members.Info) *logrus.Entry {
	return g.log.WithFields(logrus.Fields{"member": i.Name, "addr": i.Addr, "site": i.Site, "build": i.Build})
}

// Clash tells of two members of one name.
func (g *gossip) Clash(mine, other members.Info) {
	g.log.WithFields(logrus.Fields{"member": mine.Name, "addr": mine.Addr, "other": other.Addr}).Error("two members have the same name; the first keeps it")
	if mine.Addr == g.port.Advertised() && mine.Epoch > other.Epoch {
		g.second.Store(true)
	}
}

// errSecond is why a member whose name another has had before does not write.
var errSecond = errors.New("another member had this name first; give this one a name of its own")

// Heard brings a word.
func (g *gossip) Heard(word []byte) {
	if g.words.Add(1) > mostWords { // it comes when copies are compared
		g.words.Add(-1)
		g.lost.Add(1)
		return
	}
	g.box.Put(func(c *Cluster) {
		c.words.Add(-1)
		c.word(word)
	})
}

// mostWords is how many words may wait for the actor; more are dropped and counted.
const mostWords = 4096

// agreement is what the log tells; it comes from the engine's goroutine.
type agreement Cluster

// Agreed tells of an entry that was applied.
func (a *agreement) Agreed(d ledger.Done) {
	if d.Refused != "" {
		a.log.WithFields(logrus.Fields{"index": d.Index, "op": d.Op, "why": d.Refused}).Warn("an entry of the log had no effect")
	}
	if !d.Changed {
		return
	}
	a.log.WithFields(logrus.Fields{"index": d.Index, "op": d.Op, "target": d.UID, "by": d.By, "why": d.Why}).Info("agreed")
	a.box.Put(func(c *Cluster) { c.out(d) })
}

// Restored tells that a snapshot took the state's place.
func (a *agreement) Restored(was, is ledger.State) {
	a.log.WithField("index", is.Index).Info("the log's state came by a snapshot")
	for _, d := range ledger.Differences(&was, &is) {
		a.box.Put(func(c *Cluster) { c.out(d) })
	}
}

// Led tells who leads.
func (a *agreement) Led(leader string, term uint64) {
	if leader == "" {
		a.log.WithField("term", term).Warn("the log has no leader")
		return
	}
	a.log.WithFields(logrus.Fields{"leader": leader, "term": term}).Info("the log has a leader")
}

// Formed tells what this member's part is.
func (a *agreement) Formed(disk string, begun bool) {
	a.list.Update(func(m *members.Meta) { m.Disk, m.Log = disk, begun })
}

// out carries out what was agreed on a runner.
func (c *Cluster) out(d ledger.Done) {
	out := d.Op == ledger.Exclude
	if c.outs[d.UID] == out {
		return
	}
	if out {
		c.outs[d.UID] = true
	} else {
		delete(c.outs, d.UID)
	}
	c.keepOuts()
	c.to.Exclude(d.UID, out, time.UnixMilli(d.At))
}

// settle puts back, once the log is known here as far as it goes, what was left out at the
// start and is not any more: that may have been agreed while the member was away.
func (c *Cluster) settle() {
	if c.settled {
		return
	}
	s := c.quorum.Status()
	if s.Leader == "" || s.Contact < 0 || s.Last == 0 || s.Applied < s.Last {
		return
	}
	c.settled = true
	state := c.quorum.State()
	for _, d := range ledger.Differences(&ledger.State{Out: c.left()}, &state) {
		c.out(d)
	}
}

// left is what is left out here, as the log would have it.
func (c *Cluster) left() map[string]ledger.Done {
	out := map[string]ledger.Done{}
	for uid := range c.outs {
		out[uid] = ledger.Done{}
	}
	return out
}

// Propose has an entry written, by whoever leads. Its error says why it was not, or that
// nobody knows; then the same entry can be proposed again.
func (c *Cluster) Propose(ctx context.Context, e ledger.Entry) (ledger.Done, error) {
	if e.ID == "" {
		e.ID = fmt.Sprintf("%s-%x-%x", c.cfg.Name, c.started.UnixMilli(), rand.Uint64())
	}
	if c.second.Load() {
		return ledger.Done{}, errSecond
	}
	e.By, e.At = c.cfg.Name, now()
	var err error
	for ctx.Err() == nil {
		var d ledger.Done
		if c.quorum.Leads() {
			d, err = c.quorum.Propose(ctx, e)
		} else {
			d, err = c.forward(ctx, e)
		}
		if err == nil || !errors.Is(err, quorum.ErrNoLeader) {
			return d, err
		}
		select { // a leader may be chosen in time
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
	return ledger.Done{}, err
}

// Exclude leaves a runner out at all members, or puts it back. Done is told before the
// deadline or a little after it.
func (c *Cluster) Exclude(uid string, out bool, why string, by time.Time, done func(error)) {
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), by)
		defer cancel()
		op := ledger.Include
		if out {
			op = ledger.Exclude
		}
		_, err := c.Propose(ctx, ledger.Entry{Op: op, UID: uid, Why: why})
		done(err)
	}()
}

// Out tells whether the log leaves a runner out.
func (c *Cluster) Out(uid string) bool {
	s := c.quorum.State()
	_, out := s.Out[uid]
	return out
}

// compare has copies compared with a random member's until the context ends.
func (c *Cluster) compare(ctx context.Context) {
	wait := hurry
	for {
		t := time.NewTimer(jitter(wait))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		others := slices.DeleteFunc(c.list.Alive(), func(i members.Info) bool { return i.Name == c.cfg.Name || i.Goes })
		wait = compareEvery
		if len(others) == 0 {
			continue
		}
		with := others[rand.IntN(len(others))]
		more, err := c.compareWith(ctx, with)
		if err != nil {
			c.box.Put(func(c *Cluster) { c.told.Unreached++ })
			c.log.WithError(err).WithField("member", with.Name).Debug("copies were not compared")
		}
		if more {
			wait = hurry
		}
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
