// Package routetable keeps the dispatcher's list of runners in sync with discovery. A Table is an
// actor that holds the only watch on discovery and passes every update at once to a Sink: the core
// or a stored roster. It owns the list's clock (package freshness): it detects a watch that has
// timed out, calls again before changes that such a watch or a failed call may have missed become
// binding, and logs when the list may lack binding changes.
//
// When several dispatchers share one discovery, the decision module says when to start watching.
// When lists are pushed to an agent on this machine, the table reads from that agent from the
// start.
//
// Invariants: there is at most one watch; an update from a cancelled call or a previous address has
// no effect; a runner that was drained or removed is not listed as serving again by an older
// version.
//
// New, Load, Resume, RequestFull, Rules and Parse must be called before Run, by the goroutine that
// sets the table up. All other methods are safe for concurrent use and do not block.
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
	// dialTimeout bounds connecting to discovery.
	dialTimeout = time.Second
	// responseTimeout bounds the time until the first byte of a response. Discovery itself drops
	// calls that have been in its queue for 3 s.
	responseTimeout = 3500 * time.Millisecond
	// minRetryInterval is the time from the end of a call to an agent to the next call. The
	// interval doubles with each consecutive failure, up to the drain grace divided by
	// drainGraceDivisor, and to maxRetryInterval if the configured grace is long.
	minRetryInterval  = 10 * time.Millisecond
	maxRetryInterval  = time.Second
	drainGraceDivisor = 8
)

// Sink receives the table's updates, on the table's goroutine. Its methods must not block.
type Sink interface {
	// RoutesReplaced receives the full list.
	RoutesReplaced([]core.Route)
	// RoutesChanged receives the routes that have changed, including removed ones.
	RoutesChanged([]core.Route)
	// DiscoveryFailed reports that a call has failed or a watch has ended.
	DiscoveryFailed()
}

// Config says where discovery is and which rules apply to its lists.
type Config struct {
	Addr               string        // host:port of discovery or the agent; empty for a fixed list
	Zones, Kinds       []string      // names in the order of the decision module's numbers
	AlwaysFull         bool          // after a failed call, request the full list, not changes
	Pushed             bool          // an agent at Addr receives pushed lists; it is always read
	Number             int           // number of this dispatcher, from 0
	Count              int           // number of dispatchers that call the same discovery
	MaxRefreshInterval time.Duration // how long the list is valid without a watch
	DrainGrace         time.Duration // how long after the notice of a drain work may still be sent
	// OnUpdate receives each of discovery's updates on the table's goroutine and must not block;
	// nil for none.
	OnUpdate func(Update)
}

// Table is the actor that holds the list. Create it with New, set the sink with Load or Resume, and
// start it with Run. All fields except box, log and client belong to its goroutine.
type Table struct {
	addr       string
	zones      nameNumbers
	kinds      nameNumbers
	alwaysFull bool
	sink       Sink
	log        *logrus.Entry
	client     *http.Transport
	box        *mailbox.Box[func(*Table)]
	startedAt  time.Time // origin of the table's clock

	entries             map[string]json.RawMessage // the list in compact form, by uid
	version             uint64
	versionKnown        bool // version is this discovery's, so a watch may start from it
	watchRequested      bool // the decision module has asked for a watch
	watchActive         bool // a watch is open, being established or scheduled
	watchComplete       bool // there is a watch that has sent every change so far
	callsContext        context.Context
	cancelCalls         context.CancelFunc // cancels all calls to the address
	pushed              bool               // the address is an agent's
	clock               freshness.Clock
	staleLogged         bool // it was logged that the list may lack binding changes
	consecutiveFailures int  // failed calls since the last complete one
	onUpdate            func(Update)

	addressChanged bool                     // the address is new and has sent nothing yet
	drained        drainedRunners           // by what the address has sent
	previous       *previousDiscovery       // nil once the address's own entries take effect
	gossiped       map[string]gossipedEntry // by uid
	older          *olderList               // nil unless an older list awaits confirmation

	firstResult       chan struct{} // see FirstResult
	signalFirstResult func()        // closes it
	refreshCallbacks  []func()      // called once discovery has sent everything, or has failed
}

// New creates a table that holds no runner.
func New(cfg Config, log *logrus.Entry) *Table {
	t := &Table{
		addr:         cfg.Addr,
		zones:        nameNumbers{names: cfg.Zones},
		kinds:        nameNumbers{names: cfg.Kinds},
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

// now returns the time on the table's clock, which is monotonic and starts at 0.
func (t *Table) now() time.Duration { return time.Since(t.startedAt) }

// Load sets the sink and applies the list that the dispatcher held last, in discovery's format;
// empty for none.
func (t *Table) Load(known []byte, sink Sink) {
	t.sink = sink
	if len(known) > 0 && string(known) != "null" && t.applyJSON(known) {
		return
	}
	sink.RoutesReplaced(nil)
}

// Resume does what Load does and then applies stored, the list that an earlier process of the
// dispatcher held. If that process had received it from another discovery, its version is not
// comparable with this discovery's.
func (t *Table) Resume(discovery string, stored, known []byte, sink Sink) {
	t.Load(known, sink)
	t.versionKnown = t.versionKnown && !t.alwaysFull
	if len(stored) > 0 && t.applyJSON(stored) && discovery != t.addr {
		t.versionKnown = false
	}
}

// RequestFull makes the first call request the full list if few dispatchers call discovery, because
// the list that was loaded may be outdated. It must be called before Run.
func (t *Table) RequestFull() { t.versionKnown = t.versionKnown && !t.clock.FewCallers() }

// Rules returns the initial rules of the list's clock. It must be called before Run.
func (t *Table) Rules() freshness.Rules { return t.clock.Rules }

// Run runs the table until the context is cancelled.
func (t *Table) Run(ctx context.Context) {
	defer t.client.CloseIdleConnections()
	if t.pushed { // everything the agent holds counts as notified, whether it is read or not
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

// Snapshot calls a function, on the table's goroutine, with discovery's address and the list in
// discovery's format.
func (t *Table) Snapshot(callback func(discovery string, list []byte)) {
	t.box.Put(func(t *Table) {
		full := membershipUpdate{Version: &t.version, Full: true, Entries: slices.Collect(maps.Values(t.entries))}
		text, err := json.Marshal(full)
		if err != nil { // impossible: the entries were parsed as JSON
			t.log.WithError(err).Error("encoding the runner list failed")
		}
		callback(t.addr, text)
	})
}

// Position returns discovery's address and the version of the list. It may only be called by the
// sink, within its methods.
func (t *Table) Position() (discovery string, version uint64) { return t.addr, t.version }

// Watch starts watching discovery and keeps the watch up from now on.
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

// SetAddress changes discovery's address and cancels all calls to the old one. The current list
// stays in force until the new address sends its own.
func (t *Table) SetAddress(addr string) {
	t.box.Put(func(t *Table) {
		if addr == t.addr {
			return
		}
		t.log.WithField("addr", addr).Info("discovery has moved")
		t.resetCalls()
		// All dispatchers of a shared discovery change the address now, so its queue is long, and a
		// full list takes up many times the space of a watch in that queue. All discoveries serve
		// one catalogue, so the versions are assumed to continue unless the first update shows
		// otherwise.
		t.retainPreviousDiscovery()
		t.versionKnown = t.versionKnown && !t.alwaysFull && !t.pushed
		t.addr, t.watchActive, t.consecutiveFailures, t.addressChanged = addr, false, 0, true
		clear(t.gossiped) // ordered by versions of the old address
		if t.watchRequested {
			t.watchAt(t.clock.DiscoveryMoved(t.now()))
		}
	})
}

// Renew drops the current watch, if any, and requests everything from discovery again; it is called
// after the process has been suspended for a time. It calls done once, on the table's goroutine,
// when discovery has sent everything or the call has failed; a failed call has sent nothing that
// the list lacks.
func (t *Table) Renew(done func()) {
	t.box.Put(func(t *Table) {
		if t.addr == "" || !t.watchRequested {
			done()
			return
		}
		t.resetCalls()
		t.watchActive, t.consecutiveFailures = false, 0
		t.refreshCallbacks = append(t.refreshCallbacks, done)
		t.watchAt(t.clock.WatchTimedOut(t.now()))
	})
}

// resetCalls cancels all calls and creates the context of later ones.
func (t *Table) resetCalls() {
	t.cancelCalls()
	t.watchComplete = false
	t.client.CloseIdleConnections()
	t.callsContext, t.cancelCalls = context.WithCancel(context.Background())
}

// finishRefresh runs the callbacks passed to Renew.
func (t *Table) finishRefresh() {
	for _, done := range t.refreshCallbacks {
		done()
	}
	t.refreshCallbacks = nil
}

// SetRules changes the rules of the list's clock: how long the list is valid without a watch, how
// long after the notice of a drain work may still be sent, and how many dispatchers call the same
// discovery.
func (t *Table) SetRules(maxRefreshInterval, drainGrace time.Duration, count int) {
	t.box.Put(func(t *Table) {
		t.clock.MaxRefreshInterval, t.clock.DrainGrace, t.clock.Count = maxRefreshInterval, drainGrace, count
	})
}

// FirstResult returns a channel that is closed once a call has brought the list up to date or has
// shown that discovery is down. If lists are pushed, no work may be sent before that: everything
// the agent holds counts as notified from the first moment.
func (t *Table) FirstResult() <-chan struct{} { return t.firstResult }

// LoadFixed applies a full list if the list is fixed and there is no discovery.
func (t *Table) LoadFixed(known []byte) { t.box.Put(func(t *Table) { t.applyJSON(known) }) }
