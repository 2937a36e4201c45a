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
	listPath = "/catalog/members"
	// dialTime is how long a connection to discovery may take to come up.
	dialTime = time.Second
	// answerTime is how long a call may wait in discovery's line, which gives up
	// calls itself after 3 s.
	answerTime = 3500 * time.Millisecond
	// firstAgain is how long after a call to an agent has ended the next one begins;
	// it doubles with each that brings nothing, up to a part of the drains' grace.
	firstAgain = 10 * time.Millisecond
	againParts = 8
	// againMost bounds that wait where the settings name a long grace.
	againMost = time.Second
)

// Sink takes what the table learns; the core does. It must not block.
type Sink interface {
	ListReplaced([]core.Route)
	ListChanged([]core.Route)
	ListFailed()
}

// Table is the actor. Make it with New, name the sink, start it with Run.
type Table struct {
	addr   string
	zones  numbering
	kinds  numbering
	whole  bool
	sink   Sink
	log    *logrus.Entry
	client *http.Transport
	box    *mailbox.Box[func(*Table)]
	begun  time.Time // the clock's zero

	entries  map[string]json.RawMessage // the list in compact form, by uid
	rev      uint64
	revGiven bool // rev is this discovery's own, so that a watch may begin there
	asked    bool // the module has asked for a watch
	watching bool // there is one, or the call that leads to one
	calls    context.Context
	drop     context.CancelFunc // ends all calls to the address
	pushed   bool               // the address is an agent's, read without being asked to
	clock    freshness.Clock
	stale    bool               // the list may lack what binds, and that was said
	failed   int                // calls in a row that have brought nothing
	told     func(Telling)      // nil for nobody
	moved    bool               // the address has told nothing yet
	away     drained            // who gets no new work by what the address has told
	before   *older             // what the address before had told; nil once this one is believed
	heard    map[string]hearsay // what others' discoveries told that ours has yet to tell, by uid
	first    chan struct{}      // see Answered
	answered func()             // closes it
	waiting  []func()           // are told once discovery has told all there is, or has failed
}

// Config says where discovery is and what its names stand for.
type Config struct {
	Addr         string
	Zones, Kinds []string      // the names of the module's numbers
	Whole        bool          // after a failed call the whole list is asked for, whatever its version was
	Pushed       bool          // lists are pushed to an agent at the address: it is read all the time
	Number       int           // of this dispatcher, from 0
	Count        int           // of dispatchers that ask the same discovery
	AskWithin    time.Duration // how long the list counts without a watch
	Grace        time.Duration // how long after being told of a drain work may still be sent
	Told         func(Telling) // is told what discovery says, nil for nobody; it must not block
}

// New makes a table.
func New(cfg Config, log *logrus.Entry) *Table {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		d := net.Dialer{Deadline: time.Now().Add(dialTime)}
		return d.DialContext(ctx, network, addr)
	}
	t := &Table{addr: cfg.Addr, entries: map[string]json.RawMessage{}, away: drained{}, zones: numbering{names: cfg.Zones}, kinds: numbering{names: cfg.Kinds}, log: log,
		revGiven: true, whole: cfg.Whole, pushed: cfg.Pushed && cfg.Addr != "", told: cfg.Told, client: &http.Transport{DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 1,
			IdleConnTimeout: freshness.Quiet}, box: mailbox.New[func(*Table)](), begun: time.Now(), first: make(chan struct{})}
	t.clock.Rules = freshness.Rules{AskWithin: cfg.AskWithin, Grace: cfg.Grace, Number: cfg.Number, Count: cfg.Count, Pushed: t.pushed}
	t.answered = sync.OnceFunc(func() { close(t.first) })
	t.calls, t.drop = context.WithCancel(context.Background())
	return t
}

// now is the clock's time.
func (t *Table) now() time.Duration { return time.Since(t.begun) }

// Load takes in the list that the dispatcher held last and tells it to the sink,
// who from now on gets what is learned.
func (t *Table) Load(known []byte, sink Sink) {
	t.sink = sink
	if len(known) > 0 && string(known) != "null" && t.text(known) {
		return
	}
	sink.ListReplaced(nil)
}

// Resume takes in the list that an earlier process of the dispatcher held, as Load
// does. Where that had it from another discovery its version says nothing here.
func (t *Table) Resume(discovery string, held, known []byte, sink Sink) {
	t.Load(known, sink)
	t.revGiven = t.revGiven && !t.whole
	if len(held) > 0 && t.text(held) && discovery != t.addr {
		t.revGiven = false
	}
}

// AskWhole has the first call ask for the whole list where few dispatchers ask: the list that was
// given may be old. It may be called before Run only.
func (t *Table) AskWhole() { t.revGiven = t.revGiven && !t.clock.Few() }

// Snapshot tells where the list comes from and what it is, in discovery's form.
func (t *Table) Snapshot(to func(discovery string, list []byte)) {
	t.box.Put(func(t *Table) {
		l := list{Rev: &t.rev, All: true, Targets: slices.Collect(maps.Values(t.entries))}
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
		t.asked = true
		t.watch()
	})
}

// Fetch asks for the whole list once.
func (t *Table) Fetch() {
	t.box.Put(func(t *Table) { t.call("", false, func(_ *Table, err error) error { return err }) })
}

// Move tells that discovery has another address. The list that is held stays
// until the new address tells its own; what the old one still says is dropped.
func (t *Table) Move(addr string) {
	t.box.Put(func(t *Table) {
		if addr == t.addr {
			return
		}
		t.log.WithField("addr", addr).Info("discovery has moved")
		t.drop()
		t.client.CloseIdleConnections()
		t.calls, t.drop = context.WithCancel(context.Background())
		// Where discovery is shared its line is long just now, as everybody moves, and a whole
		// list takes many times a watch's place in it: the versions are the catalogue's,
		// unless the first answer shows otherwise.
		t.left(t.calls)
		t.revGiven = t.revGiven && !t.whole && !t.pushed
		t.addr, t.watching, t.failed, t.moved = addr, false, 0, true
		clear(t.heard) // its versions may count otherwise
		if t.asked {
			t.later(t.clock.Moved(t.now()))
		}
	})
}

// Renew asks discovery anew for all there is, whatever watch there is: the process stood still.
// Heard is called once, from the table's goroutine, when discovery has told it, or has failed
// to; then it has told nothing that the list lacks.
func (t *Table) Renew(heard func()) {
	t.box.Put(func(t *Table) {
		if t.addr == "" || !t.asked {
			heard()
			return
		}
		t.drop()
		t.client.CloseIdleConnections()
		t.calls, t.drop = context.WithCancel(context.Background())
		t.watching, t.failed = false, 0
		t.waiting = append(t.waiting, heard)
		t.later(t.clock.Silent(t.now()))
	})
}

// renewed tells those who wait for it.
func (t *Table) renewed() {
	for _, heard := range t.waiting {
		heard()
	}
	t.waiting = nil
}

// Within takes the rules in force on how long a list counts.
func (t *Table) Within(askWithin, grace time.Duration, count int) {
	t.box.Put(func(t *Table) { t.clock.AskWithin, t.clock.Grace, t.clock.Count = askWithin, grace, count })
}

// Answered is closed once a call has brought something, or has shown that discovery is down. Where
// lists are pushed nothing may be sent before: what the agent has counts from the first moment.
func (t *Table) Answered() <-chan struct{} { return t.first }

// Rules are the clock's at the start. It may be called before Run only.
func (t *Table) Rules() freshness.Rules { return t.clock.Rules }

// Fix tells the whole list where it is fixed and there is no discovery.
func (t *Table) Fix(known []byte) { t.box.Put(func(t *Table) { t.text(known) }) }

// Run works until the context ends.
func (t *Table) Run(ctx context.Context) {
	defer t.client.CloseIdleConnections()
	if t.pushed { // what the agent has counts as told, asked for or not
		t.asked = true
		t.watch()
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
func (t *Table) Parse(text []byte) (core.Route, error) { return t.route(text) }

func (t *Table) route(text []byte) (core.Route, error) {
	var e entry
	if err := json.Unmarshal(text, &e); err != nil {
		return core.Route{}, errors.Join(errEntry, err)
	}
	return e.route(&t.zones, &t.kinds)
}

// numbering gives names the numbers of the settings, and new names new ones.
type numbering struct{ names []string }

// mostNames bounds the names that discovery can add; those past it share a number.
const mostNames = 256

func (n *numbering) number(name string) int {
	i := slices.Index(n.names, name)
	if i < 0 && len(n.names) < mostNames {
		i = len(n.names)
		n.names = append(slices.Clone(n.names), name)
	}
	if i < 0 {
		return mostNames
	}
	return i
}

// removed tells whether a route is one that has left the list.
func removed(r core.Route) bool { return r.State == decision.Removed }
