// Package routetable keeps up with discovery's list of runners. Its actor holds
// the one watch, notices when it falls silent, and hands what it learns to the
// core at once. Where discovery is shared and has to be asked, when to ask again is
// the module's decision; where lists are pushed to an agent on this machine, the table
// reads that agent on its own.
package routetable

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/core"
	"frosttide/internal/mailbox"
)

const (
	listPath = "/catalog/members"
	// dialTime is how long a connection to discovery may take to come up.
	dialTime = time.Second
	// answerTime is how long a call may wait in discovery's line, which gives up
	// calls itself after 3 s.
	answerTime = 3500 * time.Millisecond
	// silence is how long a watch may say nothing: a line comes every 2 s, so two
	// are missing. What is told counts as told after 6 s, so it has to be noticed before.
	silence = 4500 * time.Millisecond
	maxLine = 4 << 20 // a whole list of a large fleet
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

	entries  map[string]json.RawMessage // the list as discovery wrote it, by uid
	rev      uint64
	revGiven bool // rev is this discovery's own, so that a watch may begin there
	asked    bool // the module has asked for a watch
	watching bool // there is one, or the call that leads to one
	calls    context.Context
	drop     context.CancelFunc // ends all calls to the address
	pushed   bool               // the address is an agent's, read without being asked to
	grace    time.Duration      // what the agent has counts as told, and binds after this
	failed   int                // calls to the agent in a row that have brought nothing
	told     func(Telling)      // nil for nobody
	moved    bool               // the address has told nothing yet
	heard    map[string]hearsay // what others' discoveries told that ours has yet to tell, by uid
}

// Config says where discovery is and what its names stand for.
type Config struct {
	Addr         string
	Zones, Kinds []string      // the names of the module's numbers
	Whole        bool          // after a failed call the whole list is asked for, whatever its version was
	Pushed       bool          // lists are pushed to an agent at the address: it is read all the time
	Grace        time.Duration // where Pushed: how long after being told of a drain work may still be sent
	Told         func(Telling) // is told what discovery says, nil for nobody; it must not block
}

// New makes a table.
func New(cfg Config, log *logrus.Entry) *Table {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		d := net.Dialer{Deadline: time.Now().Add(dialTime)}
		return d.DialContext(ctx, network, addr)
	}
	t := &Table{addr: cfg.Addr, entries: map[string]json.RawMessage{}, zones: numbering{names: cfg.Zones}, kinds: numbering{names: cfg.Kinds}, log: log,
		revGiven: true, whole: cfg.Whole, pushed: cfg.Pushed && cfg.Addr != "", grace: cfg.Grace, told: cfg.Told, client: &http.Transport{DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 1,
			IdleConnTimeout: silence}, box: mailbox.New[func(*Table)]()}
	t.calls, t.drop = context.WithCancel(context.Background())
	return t
}

// Load takes in the list that the dispatcher held last and tells it to the sink,
// who from now on gets what is learned.
func (t *Table) Load(known []byte, sink Sink) {
	t.sink = sink
	if len(known) > 0 && string(known) != "null" && t.line(known) {
		return
	}
	sink.ListReplaced(nil)
}

// Resume takes in the list that an earlier process of the dispatcher held, as Load
// does. Where that had it from another discovery its version says nothing here.
func (t *Table) Resume(discovery string, held, known []byte, sink Sink) {
	t.Load(known, sink)
	t.revGiven = t.revGiven && !t.whole
	if len(held) > 0 && t.line(held) && discovery != t.addr {
		t.revGiven = false
	}
}

// Snapshot tells where the list comes from and what it is, in discovery's form.
func (t *Table) Snapshot(to func(discovery string, list []byte)) {
	t.box.Put(func(t *Table) {
		l := list{Rev: t.rev, All: true, Targets: slices.Collect(maps.Values(t.entries))}
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
	t.box.Put(func(t *Table) { t.call("", func(_ *Table, err error) error { return err }) })
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
		t.addr, t.revGiven, t.watching, t.failed, t.moved = addr, false, false, 0, true
		clear(t.heard) // its versions may count otherwise
		if t.asked {
			t.watch()
		}
	})
}

// Within tells how long after being told of a drain work may still be sent, by the
// settings in force.
func (t *Table) Within(grace time.Duration) { t.box.Put(func(t *Table) { t.grace = grace }) }

// again returns how long after a call to the agent has ended the next one begins. The
// agent answers at no cost and whatever it has counts as told, so the longest wait is a
// small part of the grace. Guards an agent that is absent from a call without end.
func (t *Table) again() time.Duration {
	most := max(min(t.grace/againParts, againMost), firstAgain)
	return min(firstAgain<<min(t.failed, 10), most)
}

// Fix tells the whole list where it is fixed and there is no discovery.
func (t *Table) Fix(known []byte) { t.box.Put(func(t *Table) { t.line(known) }) }

// watch begins the one watch. Guards against changes missed at a new address,
// whose versions may count otherwise: there the whole list is asked for first.
func (t *Table) watch() {
	if t.watching {
		return
	}
	t.watching = true
	if !t.revGiven {
		t.call("", func(t *Table, err error) error {
			t.watching = false
			if t.revGiven {
				t.watch()
			} else {
				err = cmp.Or(err, errNoList)
			}
			return err
		})
		return
	}
	t.call("?watch=1&from="+strconv.FormatUint(t.rev, 10), func(t *Table, err error) error {
		t.watching = false
		return cmp.Or(err, errEnded)
	})
}

var (
	errEnded  = errors.New("the watch was ended by discovery")
	errNoList = errors.New("the list could not be read")
)

// retry begins the watch of an agent anew a while after it has ended.
func (t *Table) retry(calls context.Context) {
	wait := t.again()
	t.failed++
	time.AfterFunc(wait, func() {
		t.box.Put(func(t *Table) {
			if calls.Err() == nil {
				t.watch()
			}
		})
	})
}

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

// call makes a call in the background; each line of its answer comes to the
// mailbox, and so does its end, of which over says whether it is a failure. Guards against a call to an address that is no
// longer discovery's: neither its late lines nor its end change anything.
func (t *Table) call(query string, over func(*Table, error) error) {
	calls, url := t.calls, "http://"+t.addr+listPath+query
	put := func(message func(*Table)) {
		t.box.Put(func(t *Table) {
			if calls.Err() == nil {
				message(t)
			}
		})
	}
	go func() {
		err := t.read(calls, url, func(text []byte) {
			put(func(t *Table) {
				if t.line(text) {
					t.failed = 0
				}
			})
		})
		put(func(t *Table) {
			if err := over(t, err); err != nil {
				t.ended(calls, err)
			}
		})
	}()
}

// ended takes in that a call has failed or a watch has ended.
func (t *Table) ended(calls context.Context, err error) {
	level := logrus.WarnLevel
	if t.pushed && t.failed > 0 { // guards the log from an agent that is absent for long
		level = logrus.DebugLevel
	}
	t.log.WithError(err).Log(level, "discovery call ended; the list is kept")
	if t.whole { // guards against one that has begun its versions anew
		t.revGiven = false
	}
	t.sink.ListFailed()
	if t.pushed && !t.watching {
		t.retry(calls)
	}
}

var errSilent = errors.New("discovery has fallen silent")

// read makes a call and reads its answer line by line. Guards against a watch
// whose machine has vanished: its connection stays open and says nothing.
func (t *Table) read(ctx context.Context, url string, line func([]byte)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(answerTime, func() { cancel(errSilent) })
	defer watchdog.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("asking discovery: %w", err)
	}
	resp, err := t.client.RoundTrip(req)
	if err != nil {
		return cause(ctx, fmt.Errorf("asking discovery: %w", err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.CopyN(io.Discard, resp.Body, 64<<10)
		return fmt.Errorf("asking discovery: status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(heard{resp.Body, func() { watchdog.Reset(silence) }})
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if text := bytes.Clone(bytes.TrimSpace(lines.Bytes())); len(text) > 0 {
			line(text)
		}
	}
	if err := lines.Err(); err != nil {
		return cause(ctx, fmt.Errorf("reading the list: %w", err))
	}
	return nil
}

// heard tells of all that comes, whole lines or not. Guards a list that comes in pieces
// from being broken off: the next call would bring it no faster.
type heard struct {
	io.Reader
	some func()
}

func (h heard) Read(p []byte) (int, error) {
	n, err := h.Reader.Read(p)
	if n > 0 {
		h.some()
	}
	return n, err
}

// cause names the watchdog where it was the reason of an error.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return c
	}
	return err
}

// list is one object of discovery's answers.
type list struct {
	Rev     uint64            `json:"rev"`
	All     bool              `json:"all"`
	Targets []json.RawMessage `json:"targets"`
}

// entry is one runner in a list.
type entry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// line takes in one object and reports whether it could be read. What can't be
// read is logged and skipped, and the list that was there is kept: a whole list
// with an entry that can't be read counts as changes, so that it takes away
// nobody who may only have been misspelled.
func (t *Table) line(text []byte) bool {
	var l list
	if err := json.Unmarshal(text, &l); err != nil {
		t.log.WithError(err).Warn("list line skipped")
		return false
	}
	back := l.All && !t.moved && l.Rev < t.rev
	t.moved = false
	if back { // what others heard counts by versions that are no more
		clear(t.heard)
	}
	routes := make([]core.Route, 0, len(l.Targets))
	whole := map[string]json.RawMessage{}
	var told []Told
	for _, text := range l.Targets {
		route, err := t.route(text)
		if err != nil {
			t.log.WithError(err).Warn("list entry skipped")
			l.All = false
			continue
		}
		if t.told != nil {
			told = append(told, Told{UID: route.UID, State: route.State, Boot: route.StartedAt, Text: text})
		}
		if h, ok := t.heard[route.UID]; ok && h.rev > l.Rev { // a later word was heard
			route, text = h.route, h.text
		}
		routes = append(routes, route)
		whole[route.UID] = text
		if route.State == decision.Removed {
			delete(whole, route.UID)
			delete(t.entries, route.UID)
		}
	}
	if l.All {
		clear(t.entries)
	}
	maps.Copy(t.entries, whole)
	t.rev, t.revGiven = l.Rev, true
	maps.DeleteFunc(t.heard, func(_ string, h hearsay) bool { return h.rev <= t.rev })
	if l.All {
		t.sink.ListReplaced(routes)
	} else {
		t.sink.ListChanged(routes)
	}
	if t.told != nil {
		t.told(Telling{From: t.addr, Rev: l.Rev, Whole: l.All, Back: back, Entries: told})
	}
	return true
}

// Parse reads an entry of the list. It may be called before Run only.
func (t *Table) Parse(text []byte) (core.Route, error) { return t.route(text) }

func (t *Table) route(text []byte) (core.Route, error) {
	var e entry
	if err := json.Unmarshal(text, &e); err != nil {
		return core.Route{}, fmt.Errorf("entry: %w", err)
	}
	if e.UID == "" {
		return core.Route{}, errors.New("entry without uid")
	}
	m := decision.Member{Cell: e.Cell, Weight: e.Weight, StartedAt: time.Duration(max(e.Boot, 0)) * time.Millisecond}
	switch e.State {
	case "SERVING":
		m.State = decision.Ready
	case "DRAINING":
		m.State = decision.Draining
	case "DELETED":
		m.State = decision.Removed
	default:
		return core.Route{}, fmt.Errorf("entry %q: unknown state %q", e.UID, e.State)
	}
	if _, _, err := net.SplitHostPort(e.Endpoint); err != nil && m.State != decision.Removed {
		return core.Route{}, fmt.Errorf("entry %q: endpoint: %w", e.UID, err)
	}
	m.Zone, m.Kind = t.zones.number(e.Zone), t.kinds.number(e.Kind)
	return core.Route{UID: e.UID, Addr: e.Endpoint, ZoneName: e.Zone, Member: m}, nil
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
