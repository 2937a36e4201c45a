// Package routetable keeps up with discovery's list of runners. Its actor holds the one
// watch and hands what it learns to the core at once. It owns the list's clock (package
// freshness): it notices a watch that falls silent, asks again in time for what that missed or
// what a call that failed may have missed, and tells while the list may lack what binds. When
// to ask first is the module's decision where discovery is shared and has to be asked; where
// lists are pushed to an agent on this machine, the table reads that agent on its own.
package routetable

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/decision/freshness"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/mailbox"
)

const (
	membersPath = "/catalog/members"
	// dialTimeout is how long a connection to discovery may take to come up.
	dialTimeout = time.Second
	// responseTimeout is how long a call may wait in discovery's line, which gives up
	// calls itself after 3 s.
	responseTimeout = 3500 * time.Millisecond
	// minRetryInterval is how long after a call to an agent has ended the next one begins;
	// it doubles with each that brings nothing, up to a part of the drains' grace.
	minRetryInterval = 10 * time.Millisecond
	graceParts       = 8
	// maxRetryInterval bounds that wait where the settings name a long grace.
	maxRetryInterval = time.Second
)

// Sink takes what the table learns; the core does. It must not block.
type Sink interface {
	RoutesReplaced([]core.Route)
	RoutesChanged([]core.Route)
	DiscoveryFailed()
}

// Table is the actor. Make it with New, name the sink, start it with Run.
type Table struct {
	addr       string
	zones      numbering
	kinds      numbering
	alwaysFull bool
	sink       Sink
	log        *logrus.Entry
	client     *http.Transport
	box        *mailbox.Box[func(*Table)]
	startedAt  time.Time // the clock's zero

	entries           map[string]json.RawMessage // the list in compact form, by uid
	version           uint64
	versionKnown      bool // rev is this discovery's own, so that a watch may begin there
	watchRequested    bool // the module has asked for a watch
	watching          bool // there is one, or the call that leads to one
	callsContext      context.Context
	cancelCalls       context.CancelFunc // ends all calls to the address
	pushed            bool               // the address is an agent's, read without being asked to
	clock             freshness.Clock
	stale             bool                     // the list may lack what binds, and that was said
	failures          int                      // calls in a row that have brought nothing
	onUpdate          func(Update)             // nil for nobody
	relocated         bool                     // the address has told nothing yet
	drained           drainedRunners           // who gets no new work by what the address has told
	previous          *previousDiscovery       // what the address before had told; nil once this one is believed
	gossiped          map[string]gossipedEntry // what others' discoveries told that ours has yet to tell, by uid
	firstResult       chan struct{}            // see Answered
	signalFirstResult func()                   // closes it
	refreshCallbacks  []func()                 // are told once discovery has told all there is, or has failed
}

// Config says where discovery is and what its names stand for.
type Config struct {
	Addr               string
	Zones, Kinds       []string      // the names of the module's numbers
	AlwaysFull         bool          // after a failed call the whole list is asked for, whatever its version was
	Pushed             bool          // lists are pushed to an agent at the address: it is read all the time
	Number             int           // of this dispatcher, from 0
	Count              int           // of dispatchers that ask the same discovery
	MaxRefreshInterval time.Duration // how long the list counts without a watch
	DrainGrace         time.Duration // how long after being told of a drain work may still be sent
	OnUpdate           func(Update)  // is told what discovery says, nil for nobody; it must not block
}

// New makes a table.
func New(cfg Config, log *logrus.Entry) *Table {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		d := net.Dialer{Deadline: time.Now().Add(dialTimeout)}
		return d.DialContext(ctx, network, addr)
	}
	t := &Table{addr: cfg.Addr, entries: map[string]json.RawMessage{}, drained: drainedRunners{}, zones: numbering{names: cfg.Zones}, kinds: numbering{names: cfg.Kinds}, log: log,
		versionKnown: true, alwaysFull: cfg.AlwaysFull, pushed: cfg.Pushed && cfg.Addr != "", onUpdate: cfg.OnUpdate, client: &http.Transport{DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 1,
			IdleConnTimeout: freshness.WatchTimeout}, box: mailbox.New[func(*Table)](), startedAt: time.Now(), firstResult: make(chan struct{})}
	t.clock.Rules = freshness.Rules{MaxRefreshInterval: cfg.MaxRefreshInterval, DrainGrace: cfg.DrainGrace, Number: cfg.Number, Count: cfg.Count, Pushed: t.pushed}
	t.signalFirstResult = sync.OnceFunc(func() { close(t.firstResult) })
	t.callsContext, t.cancelCalls = context.WithCancel(context.Background())
	return t
}

// now is the clock's time.
func (t *Table) now() time.Duration { return time.Since(t.startedAt) }

// Load takes in the list that the dispatcher held last and tells it to the sink,
// who from now on gets what is learned.
func (t *Table) Load(known []byte, sink Sink) {
	t.sink = sink
	if len(known) > 0 && string(known) != "null" && t.applyText(known) {
		return
	}
	sink.RoutesReplaced(nil)
}

// Resume takes in the list that an earlier process of the dispatcher held, as Load
// does. Where that had it from another discovery its version says nothing here.
func (t *Table) Resume(discovery string, stored, known []byte, sink Sink) {
	t.Load(known, sink)
	t.versionKnown = t.versionKnown && !t.alwaysFull
	if len(stored) > 0 && t.applyText(stored) && discovery != t.addr {
		t.versionKnown = false
	}
}

// RequestFull has the first call ask for the whole list where few dispatchers ask: the list that was
// given may be old. It may be called before Run only.
func (t *Table) RequestFull() { t.versionKnown = t.versionKnown && !t.clock.FewCallers() }

// Snapshot tells where the list comes from and what it is, in discovery's form.
func (t *Table) Snapshot(to func(discovery string, list []byte)) {
	t.box.Put(func(t *Table) {
		l := membershipUpdate{Version: &t.version, Full: true, Entries: slices.Collect(maps.Values(t.entries))}
		text, err := json.Marshal(l)
		if err != nil { // can't be: it has been read
			t.log.WithError(err).Error("the list could not be written down")
		}
		to(t.addr, text)
	})
}

// Watch asks for the changes from now on.
func (t *Table) Watch() {
	t.box.Put(func(t *Table) {
		t.watchRequested = true
		t.startWatch()
	})
}

// Fetch asks for the whole list once.
func (t *Table) Fetch() {
	t.box.Put(func(t *Table) { t.startCall("", false, func(_ *Table, err error) error { return err }) })
}

// SetAddress tells that discovery has another address. The list that is held stays
// until the new address tells its own; what the old one still says is dropped.
func (t *Table) SetAddress(addr string) {
	t.box.Put(func(t *Table) {
		if addr == t.addr {
			return
		}
		t.log.WithField("addr", addr).Info("discovery has moved")
		t.cancelCalls()
		t.client.CloseIdleConnections()
		t.callsContext, t.cancelCalls = context.WithCancel(context.Background())
		// Where discovery is shared its line is long just now, as everybody moves, and a whole
		// list takes many times a watch's place in it: the versions are the catalogue's,
		// unless the first answer shows otherwise.
		t.keepPreviousDiscovery(t.callsContext)
		t.versionKnown = t.versionKnown && !t.alwaysFull && !t.pushed
		t.addr, t.watching, t.failures, t.relocated = addr, false, 0, true
		clear(t.gossiped) // its versions may count otherwise
		if t.watchRequested {
			t.watchAt(t.clock.DiscoveryMoved(t.now()))
		}
	})
}

// Renew asks discovery anew for all there is, whatever watch there is: the process stood still.
// Heard is called once, from the table's goroutine, when discovery has told it, or has failed
// to; then it has told nothing that the list lacks.
func (t *Table) Renew(done func()) {
	t.box.Put(func(t *Table) {
		if t.addr == "" || !t.watchRequested {
			done()
			return
		}
		t.cancelCalls()
		t.client.CloseIdleConnections()
		t.callsContext, t.cancelCalls = context.WithCancel(context.Background())
		t.watching, t.failures = false, 0
		t.refreshCallbacks = append(t.refreshCallbacks, done)
		t.watchAt(t.clock.WatchTimedOut(t.now()))
	})
}

// finishRefresh tells those who wait for it.
func (t *Table) finishRefresh() {
	for _, done := range t.refreshCallbacks {
		done()
	}
	t.refreshCallbacks = nil
}

// SetRules takes the rules in force on how long a list counts.
func (t *Table) SetRules(maxRefreshInterval, drainGrace time.Duration, count int) {
	t.box.Put(func(t *Table) {
		t.clock.MaxRefreshInterval, t.clock.DrainGrace, t.clock.Count = maxRefreshInterval, drainGrace, count
	})
}

// FirstResult is closed once a call has brought something, or has shown that discovery is down. Where
// lists are pushed nothing may be sent before: what the agent has counts from the first moment.
func (t *Table) FirstResult() <-chan struct{} { return t.firstResult }

// Rules are the clock's at the start. It may be called before Run only.
func (t *Table) Rules() freshness.Rules { return t.clock.Rules }

// LoadFixed tells the whole list where it is fixed and there is no discovery.
func (t *Table) LoadFixed(known []byte) { t.box.Put(func(t *Table) { t.applyText(known) }) }

// Run works until the context ends.
func (t *Table) Run(ctx context.Context) {
	defer t.client.CloseIdleConnections()
	if t.pushed { // what the agent has counts as told, asked for or not
		t.watchRequested = true
		t.startWatch()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.box.Ready():
		}
		for _, message := range t.box.Drain(nil) {
			message(t)
		}
	}
}

// Parse reads an entry of the list. It may be called before Run only.
func (t *Table) Parse(text []byte) (core.Route, error) { return t.parseEntry(text) }

func (t *Table) parseEntry(text []byte) (core.Route, error) {
	var e entry
	if err := json.Unmarshal(text, &e); err != nil {
		return core.Route{}, errors.Join(errInvalidEntry, err)
	}
	return e.route(&t.zones, &t.kinds)
}

// numbering gives names the numbers of the settings, and new names new ones.
type numbering struct{ names []string }

// maxNames bounds the names that discovery can add; those past it share a number.
const maxNames = 256

func (n *numbering) number(name string) int {
	i := slices.Index(n.names, name)
	if i < 0 && len(n.names) < maxNames {
		i = len(n.names)
		n.names = append(slices.Clone(n.names), name)
	}
	if i < 0 {
		return maxNames
	}
	return i
}

// isRemoved tells whether a route is one that has left the list.
func isRemoved(r core.Route) bool { return r.State == decision.Removed }
