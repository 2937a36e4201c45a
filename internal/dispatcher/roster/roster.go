// Package roster stands between discovery's list and the core where a dispatcher keeps its
// list on disk. It starts from what was kept while discovery is silent, lets package trust
// decide what of it is used, asks runners, reconciles what discovery says when it is back,
// and keeps the state on disk up to date. It decides nothing itself.
package roster

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/monotime"
	"frosttide/internal/dispatcher/rosterpolicy"
	"frosttide/internal/dispatcher/rosterstore"
	"frosttide/internal/mailbox"
)

// Core takes the list as it is to be used. None of its methods blocks.
type Core interface {
	ListReplaced([]core.Route)
	ListChanged([]core.Route)
	ListFailed()
	Snapshot(func(core.Snapshot))
	Restore(core.Snapshot)
}

// Table is discovery's list. None of its methods blocks.
type Table interface {
	Snapshot(func(discovery string, list []byte))
	Fetch()
}

// Prober asks a runner how it is, by a deadline, and tells what it found. It does not block.
type Prober interface {
	Ask(addr string, by time.Time, found func(rosterpolicy.Evidence))
}

// Config holds the figures.
type Config struct {
	Name   string
	Trust  rosterpolicy.Config
	Every  time.Duration // least time between two generations
	Answer time.Duration // a runner that is asked has so long to answer
	// Classes returns the classes' names by their numbers; any goroutine may call it.
	Classes func() []string
}

// Status is what operators are told.
type Status struct {
	Stored   bool          // the process serves from a stored list
	Age      time.Duration // since discovery last confirmed it
	Used     int           // runners of it that get work
	Withheld int           // that don't yet
}

// refreshed is how often what only ages or grows is written at least, in the least times
// between two generations.
const refreshed = 30

// secondLook is how long after a doubted list discovery is asked for another.
const secondLook = time.Second

// Roster is the actor. Make it with New, start it with Run.
type Roster struct {
	cfg    Config
	core   Core
	table  Table
	probe  Prober
	writer *rosterstore.Writer
	parse  func([]byte) (core.Route, error)
	log    *logrus.Entry
	box    *mailbox.Box[func(*Roster)]
	start  time.Time
	epoch  time.Duration // what the wall clock said then
	status atomic.Pointer[Status]

	now      time.Duration
	began    bool // Begin is over: what the table tells is discovery's word
	book     *rosterpolicy.Book
	lists    *rosterpolicy.Lists
	routes   map[string]core.Route      // as discovery, or the stored list, has them
	entries  map[string]json.RawMessage // of the stored list, for those that are in the book
	voiced   map[string]voice           // who last spoke for a runner
	cold     map[string]time.Duration   // runners that the core takes for cold since then, by the book's word
	answered time.Duration              // when discovery last spoke
	doubted  map[string]bool            // whom the doubted list has
	lookAt   time.Duration              // when a second list is asked for; 0 for never
	saveAt   time.Duration              // when the state is written next
	saving   bool                       // it is being gathered
	ended    bool                       // the dispatcher ends as planned
	dirty    bool
	asking   int // runners that are being asked
}

// voice is the last word for a runner.
type voice struct {
	at time.Duration
	by string
}

// New makes a roster. Parse reads an entry of the list; the writer may be nil where nothing
// is kept.
func New(cfg Config, c Core, t Table, p Prober, w *rosterstore.Writer, parse func([]byte) (core.Route, error), log *logrus.Entry) *Roster {
	r := &Roster{cfg: cfg, core: c, table: t, probe: p, writer: w, parse: parse, log: log, box: mailbox.New[func(*Roster)](),
		start: time.Now(), epoch: monotime.Wall(), routes: map[string]core.Route{}, entries: map[string]json.RawMessage{}, voiced: map[string]voice{},
		cold: map[string]time.Duration{}}
	r.lists = rosterpolicy.NewLists(cfg.Trust, false)
	r.status.Store(&Status{})
	return r
}

func (r *Roster) clock() time.Duration {
	return r.epoch + time.Since(r.start)
}

// Begin takes in the stored list; nil for none. It comes before Run and before the table
// loads the list that the platform has given, if any.
func (r *Roster) Begin(s *rosterstore.Snapshot, seed uint64) {
	r.now = r.clock()
	if s == nil || len(s.Nodes) == 0 {
		return
	}
	snapshot := core.Snapshot{Excluded: s.Excluded, PutBack: s.PutBack}
	if len(s.Health) > 0 && json.Unmarshal(s.Health, &snapshot.Health) != nil {
		snapshot.Health = nil // what was found of runners is found again
	}
	r.core.Restore(snapshot)
	out := map[string]bool{}
	for _, uid := range s.Excluded {
		out[uid] = true
	}
	var stored []rosterpolicy.Stored
	for _, n := range s.Nodes {
		route, err := r.parse(n.Entry)
		if err != nil || route.UID != n.UID || r.routes[n.UID].UID != "" {
			r.log.WithField("target", n.UID).Warn("stored entry skipped")
			continue
		}
		if route.State == decision.Removed {
			continue
		}
		r.routes[n.UID], r.entries[n.UID], r.voiced[n.UID] = route, n.Entry, voice{n.Confirmed, n.By}
		stored = append(stored, rosterpolicy.Stored{UID: n.UID, Addr: route.Addr, Zone: route.ZoneName, Confirmed: n.Confirmed,
			Barred: route.State == decision.Draining || out[n.UID], Failing: snapshot.Health[n.UID].Failed, ColdFrom: n.ColdFrom})
	}
	r.answered = s.Answered
	of := r.cfg.Trust
	if gap := r.now - s.Saved; s.Ended && gap > 0 { // false where the clock went back
		of.Planned = gap
	}
	r.book = rosterpolicy.New(of, r.now, stored, seed)
	r.lists = rosterpolicy.NewLists(r.cfg.Trust, true)
	r.lists.Failed(r.now)
	r.log.WithFields(logrus.Fields{"runners": len(stored), "age": (r.now - s.Answered).Round(time.Second).String()}).
		Warn("serving from a stored list until discovery answers")
}

// Run works until the context ends.
func (r *Roster) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var mail []func(*Roster)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.box.Ready():
		case <-timer.C:
		}
		r.now = r.clock()
		mail = r.box.Drain(mail[:0])
		for i, message := range mail {
			message(r)
			mail[i] = nil
		}
		next := r.look()
		r.tell()
		timer.Reset(max(next-r.clock(), time.Millisecond))
	}
}

// Status returns what operators are told. Any goroutine may call it.
func (r *Roster) Status() Status { return *r.status.Load() }

func (r *Roster) tell() {
	var s Status
	if r.book != nil {
		s = Status{Stored: true, Age: max(r.now-r.answered, 0)}
		_, s.Used, s.Withheld = r.book.Count()
	}
	r.status.Store(&s)
}

// look does what has come due and returns when to look again.
func (r *Roster) look() time.Duration {
	next := r.now + refreshed*r.cfg.Every
	if r.book != nil {
		uids, at := r.book.Ask(r.now, places-r.asking)
		for _, uid := range uids {
			r.ask(uid)
		}
		next = min(next, at)
		warm, at := r.book.Tick(r.now)
		for _, uid := range warm {
			r.judged(uid)
		}
		next = min(next, at)
	}
	if r.lookAt != 0 && r.now >= r.lookAt {
		r.lookAt = 0
		r.table.Fetch()
	}
	if r.lookAt != 0 {
		next = min(next, r.lookAt)
	}
	if until := r.lists.DoubtUntil(); until != 0 {
		if r.now >= until {
			r.log.Warn("the doubted list is believed: nothing else has come")
			r.confirmDoubted()
		} else {
			next = min(next, until)
		}
	}
	if r.writer != nil && !r.saving {
		due := r.saveAt
		if !r.dirty {
			due += (refreshed - 1) * r.cfg.Every
		}
		if r.now >= due {
			r.save()
		} else {
			next = min(next, due)
		}
	}
	return next
}

// ask asks a runner of the book; its answer comes to the mailbox.
func (r *Roster) ask(uid string) {
	r.asking++
	r.probe.Ask(r.routes[uid].Addr, time.Now().Add(r.cfg.Answer), func(e rosterpolicy.Evidence) {
		r.box.Put(func(r *Roster) {
			r.asking--
			r.hear(uid, e)
		})
	})
}

// hear takes in what was found of a runner.
func (r *Roster) hear(uid string, e rosterpolicy.Evidence) {
	if e.Good() && r.routes[uid].UID != "" && e == rosterpolicy.Started {
		r.voiced[uid] = voice{r.now, rosterstore.ByRunner}
	}
	if r.book == nil || !r.book.Hear(r.now, uid, e) {
		return
	}
	r.judged(uid)
}

// judged tells the core of a runner whose standing has changed.
func (r *Roster) judged(uid string) {
	standing, _, why := r.book.Standing(uid)
	r.log.WithFields(logrus.Fields{"target": uid, "standing": standing.String(), "why": why}).Info("a stored runner is judged")
	r.dirty = true
	r.core.ListChanged([]core.Route{r.shown(uid)})
}

// shown returns a runner as the core is to see it: as discovery lists it, or by the
// book's word. Guards rule 4 for a fleet that has lost its power: every runner of a stored
// list may have started just now.
func (r *Roster) shown(uid string) core.Route {
	route := r.routes[uid]
	if r.book == nil {
		return route
	}
	standing, from, _ := r.book.Standing(uid)
	delete(r.cold, uid)
	switch standing {
	case rosterpolicy.Used:
		route.StartedAt = max(route.StartedAt, from)
		if r.book.Owned(uid) {
			route.Returned, route.Sharers = true, r.book.Share()
		}
		r.cold[uid] = route.StartedAt
	case rosterpolicy.Barred, rosterpolicy.Withheld, rosterpolicy.Waiting:
		route.State, route.Withheld = decision.Draining, true
	default:
		route.State = decision.Removed
	}
	return route
}
