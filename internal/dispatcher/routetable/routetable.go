// Package routetable keeps the list of runners up to date with discovery. Its Table is an actor that holds the one
// watch on discovery and passes each update to a Sink, the core or a stored roster, at once. It owns the list's
// clock (package freshness): it detects a watch that has timed out, calls again before changes bind that such a
// watch or a failed call may have missed, and reports while the list may lack changes that bind.
//
// Where discovery is shared by dispatchers, the decision module says when to watch first; where lists are pushed to
// an agent on this machine, the table reads that agent from the start.
//
// Invariants: there is at most one watch; an update of a cancelled call or of an address that has changed has no
// effect; a runner that is drained or removed is not listed as serving again by an older version.
//
// New, Load, Resume, RequestFull, Rules and Parse are for the goroutine that sets the table up, before Run; all
// other methods may be called from any goroutine and do not block.
package routetable

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision/freshness"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/mailbox"
)

const (
	membersPath = "/catalog/members"
	// dialTimeout bounds the time for connecting to discovery.
	dialTimeout = time.Second
	// responseTimeout bounds the time until the first byte of a response. Discovery itself drops calls that have
	// been in its queue for 3 s.
	responseTimeout = 3500 * time.Millisecond
	// minRetryInterval is the time from the end of a call to an agent to the next call. It doubles with each call
	// that brings nothing, up to the drain grace divided by graceParts, and to maxRetryInterval where the settings
	// name a long grace.
	minRetryInterval = 10 * time.Millisecond
	maxRetryInterval = time.Second
	graceParts       = 8
)

// Sink takes what the table learns, on the table's goroutine. Its methods must not block.
type Sink interface {
	// RoutesReplaced takes the full list.
	RoutesReplaced([]core.Route)
	// RoutesChanged takes the routes that have changed, removed ones among them.
	RoutesChanged([]core.Route)
	// DiscoveryFailed takes that a call has failed or a watch has ended.
	DiscoveryFailed()
}

// Config says where discovery is and by which rules its lists count.
type Config struct {
	Addr               string        // discovery's or the agent's, as host:port; empty for a fixed list
	Zones, Kinds       []string      // the names of the decision module's numbers
	AlwaysFull         bool          // the full list is requested after a failed call, whatever version is held
	Pushed             bool          // lists are pushed to an agent at the address, which is read all the time
	Number             int           // of this dispatcher, from 0
	Count              int           // of the dispatchers that call the same discovery
	MaxRefreshInterval time.Duration // how long the list counts without a watch
	DrainGrace         time.Duration // how long after a drain was notified work may still be sent
	OnUpdate           func(Update)  // takes each update of discovery's on the table's goroutine and must not block; nil for none
}

// Table is the actor. Make it with New, name the sink with Load or Resume, and start it with Run. All fields but
// box, log and client belong to its goroutine.
type Table struct {
	addr       string
	zones      numbering
	kinds      numbering
	alwaysFull bool
	sink       Sink
	log        *logrus.Entry
	client     *http.Transport
	box        *mailbox.Box[func(*Table)]
	startedAt  time.Time // the zero of the table's clock

	entries        map[string]json.RawMessage // the list in compact form, by uid
	version        uint64
	versionKnown   bool // version is this discovery's own, so that a watch may start from it
	watchRequested bool // the decision module has asked for a watch
	watching       bool // there is a watch, a call that leads to one, or a time at which it starts
	watchComplete  bool // there is a watch that has sent every change up to now
	callsContext   context.Context
	cancelCalls    context.CancelFunc // ends all calls to the address
	pushed         bool               // the address is an agent's
	clock          freshness.Clock
	stale          bool // it was logged that the list may lack changes that bind
	failures       int  // calls in a row that have brought nothing
	onUpdate       func(Update)

	relocated bool                     // the address is new and has sent nothing yet
	drained   drainedRunners           // by what the address has sent
	previous  *previousDiscovery       // nil once the address's own entries have effect
	gossiped  map[string]gossipedEntry // by uid
	older     *olderList               // nil unless discovery has to confirm the removals of an older list

	firstResult       chan struct{} // see FirstResult
	signalFirstResult func()        // closes it
	refreshCallbacks  []func()      // called once discovery has sent everything, or has failed
}

// New makes a table that holds no runner.
func New(cfg Config, log *logrus.Entry) *Table {
	t := &Table{
		addr:         cfg.Addr,
		zones:        numbering{names: cfg.Zones},
		kinds:        numbering{names: cfg.Kinds},
		alwaysFull:   cfg.AlwaysFull,
		log:          log,
		client:       newTransport(),
		box:          mailbox.New[func(*Table)](),
		startedAt:    time.Now(),
		entries:      map[string]json.RawMessage{},
		versionKnown: true,
		pushed:       cfg.Pushed && cfg.Addr != "",
		onUpdate:     cfg.OnUpdate,
		drained:      drainedRunners{},
		firstResult:  make(chan struct{}),
	}
	t.clock.Rules = freshness.Rules{MaxRefreshInterval: cfg.MaxRefreshInterval, DrainGrace: cfg.DrainGrace, Number: cfg.Number,
		Count: cfg.Count, Pushed: t.pushed}
	t.signalFirstResult = sync.OnceFunc(func() { close(t.firstResult) })
	t.callsContext, t.cancelCalls = context.WithCancel(context.Background())
	return t
}

func newTransport() *http.Transport {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		d := net.Dialer{Deadline: time.Now().Add(dialTimeout)}
		return d.DialContext(ctx, network, addr)
	}
	return &http.Transport{DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: freshness.WatchTimeout}
}

// now returns the time of the table's clock, which is steady and starts at 0.
func (t *Table) now() time.Duration { return time.Since(t.startedAt) }

// Load names the sink and applies the list that the dispatcher held last, in discovery's form; empty for none.
func (t *Table) Load(known []byte, sink Sink) {
	t.sink = sink
	if len(known) > 0 && string(known) != "null" && t.applyText(known) {
		return
	}
	sink.RoutesReplaced(nil)
}

// Resume does what Load does and then applies the list that an earlier process of the dispatcher held. Where that
// process had it from another discovery, its version says nothing here.
func (t *Table) Resume(discovery string, stored, known []byte, sink Sink) {
	t.Load(known, sink)
	t.versionKnown = t.versionKnown && !t.alwaysFull
	if len(stored) > 0 && t.applyText(stored) && discovery != t.addr {
		t.versionKnown = false
	}
}

// RequestFull has the first call request the full list where few dispatchers call, as the list that was given may
// be old. It may be called before Run only.
func (t *Table) RequestFull() { t.versionKnown = t.versionKnown && !t.clock.FewCallers() }

// Rules returns the rules of the list's clock at the start. It may be called before Run only.
func (t *Table) Rules() freshness.Rules { return t.clock.Rules }

// Run runs the table until the context ends.
func (t *Table) Run(ctx context.Context) {
	defer t.client.CloseIdleConnections()
	if t.pushed { // what the agent holds counts as notified, whether it is read or not
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

// Snapshot calls a function, on the table's goroutine, with discovery's address and the list in discovery's form.
func (t *Table) Snapshot(to func(discovery string, list []byte)) {
	t.box.Put(func(t *Table) {
		full := membershipUpdate{Version: &t.version, Full: true, Entries: slices.Collect(maps.Values(t.entries))}
		text, err := json.Marshal(full)
		if err != nil { // impossible: the entries have been read as JSON
			t.log.WithError(err).Error("the list could not be written down")
		}
		to(t.addr, text)
	})
}

// Position returns discovery's address and the version of the list. It is for the sink, within its methods.
func (t *Table) Position() (discovery string, version uint64) { return t.addr, t.version }

// Watch has the table watch discovery from now on.
func (t *Table) Watch() {
	t.box.Put(func(t *Table) {
		t.watchRequested = true
		t.startWatch()
	})
}

// Fetch requests the full list once.
func (t *Table) Fetch() {
	t.box.Put(func(t *Table) { t.startCall("", false, func(_ *Table, err error) error { return err }) })
}

// SetAddress changes discovery's address. The list that is held stays until the new address sends its own; calls
// to the old address are cancelled.
func (t *Table) SetAddress(addr string) {
	t.box.Put(func(t *Table) {
		if addr == t.addr {
			return
		}
		t.log.WithField("addr", addr).Info("discovery has moved")
		t.resetCalls()
		// All dispatchers of a shared discovery move now, so its queue is long, and a full list takes many times
		// the place of a watch in it. Hence the versions are taken to go on, as all discoveries serve one
		// catalogue, unless the first update shows otherwise.
		t.keepPreviousDiscovery()
		t.versionKnown = t.versionKnown && !t.alwaysFull && !t.pushed
		t.addr, t.watching, t.failures, t.relocated = addr, false, 0, true
		clear(t.gossiped) // ordered by the versions of the old address
		if t.watchRequested {
			t.watchAt(t.clock.DiscoveryMoved(t.now()))
		}
	})
}

// Renew requests everything from discovery anew, whatever watch there is; it is called after the process has been
// stopped for a time. Done is called once, on the table's goroutine, when discovery has sent everything or has
// failed; in the latter case it has sent nothing that the list lacks.
func (t *Table) Renew(done func()) {
	t.box.Put(func(t *Table) {
		if t.addr == "" || !t.watchRequested {
			done()
			return
		}
		t.resetCalls()
		t.watching, t.failures = false, 0
		t.refreshCallbacks = append(t.refreshCallbacks, done)
		t.watchAt(t.clock.WatchTimedOut(t.now()))
	})
}

// resetCalls cancels all calls and makes the context of those to come.
func (t *Table) resetCalls() {
	t.cancelCalls()
	t.watchComplete = false
	t.client.CloseIdleConnections()
	t.callsContext, t.cancelCalls = context.WithCancel(context.Background())
}

// finishRefresh calls those that wait in Renew.
func (t *Table) finishRefresh() {
	for _, done := range t.refreshCallbacks {
		done()
	}
	t.refreshCallbacks = nil
}

// SetRules changes the rules of the list's clock: how long the list counts without a watch, how long after a drain
// work may be sent, and how many dispatchers call the same discovery.
func (t *Table) SetRules(maxRefreshInterval, drainGrace time.Duration, count int) {
	t.box.Put(func(t *Table) {
		t.clock.MaxRefreshInterval, t.clock.DrainGrace, t.clock.Count = maxRefreshInterval, drainGrace, count
	})
}

// FirstResult returns a channel that is closed once a call has brought something or has shown that discovery is
// down. Where lists are pushed no work may be sent before: what the agent holds counts from the first moment.
func (t *Table) FirstResult() <-chan struct{} { return t.firstResult }

// LoadFixed applies a full list where the list is fixed and there is no discovery.
func (t *Table) LoadFixed(known []byte) { t.box.Put(func(t *Table) { t.applyText(known) }) }
