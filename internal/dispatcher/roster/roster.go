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
	RoutesReplaced([]core.Route)
	RoutesChanged([]core.Route)
	DiscoveryFailed()
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
	Probe(addr string, by time.Time, found func(rosterpolicy.Evidence))
}

// Config holds the figures.
type Config struct {
	Name          string
	Policy        rosterpolicy.Config
	WriteInterval time.Duration // least time between two generations
	ProbeTimeout  time.Duration // a runner that is asked has so long to answer
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

// idleWriteFactor is how often what only ages or grows is written at least, in the least times
// between two generations.
const idleWriteFactor = 30

// confirmDelay is how long after a doubted list discovery is asked for another.
const confirmDelay = time.Second

// Roster is the actor. Make it with New, start it with Run.
type Roster struct {
	cfg         Config
	core        Core
	table       Table
	prober      Prober
	writer      *rosterstore.Writer
	parse       func([]byte) (core.Route, error)
	log         *logrus.Entry
	box         *mailbox.Box[func(*Roster)]
	startedAt   time.Time
	wallAtStart time.Duration // what the wall clock said then
	status      atomic.Pointer[Status]

	now           time.Duration
	started       bool // Begin is over: what the table tells is discovery's word
	standings     *rosterpolicy.StateTable
	fullUpdates   *rosterpolicy.FullUpdatePolicy
	routes        map[string]core.Route      // as discovery, or the stored list, has them
	entries       map[string]json.RawMessage // of the stored list, for those that are in the book
	confirmations map[string]confirmation    // who last spoke for a runner
	coldSince     map[string]time.Duration   // runners that the core takes for cold since then, by the book's word
	lastContact   time.Duration              // when discovery last spoke
	doubtedUIDs   map[string]bool            // whom the doubted list has
	refetchAt     time.Duration              // when a second list is asked for; 0 for never
	writeAt       time.Duration              // when the state is written next
	gathering     bool                       // it is being gathered
	stopping      bool                       // the dispatcher ends as planned
	dirty         bool
	probing       int // runners that are being asked
}

// confirmation is the last word for a runner.
type confirmation struct {
	at time.Duration
	by string
}

// New makes a roster. Parse reads an entry of the list; the writer may be nil where nothing
// is kept.
func New(cfg Config, c Core, t Table, p Prober, w *rosterstore.Writer, parse func([]byte) (core.Route, error), log *logrus.Entry) *Roster {
	r := &Roster{cfg: cfg, core: c, table: t, prober: p, writer: w, parse: parse, log: log, box: mailbox.New[func(*Roster)](),
		startedAt: time.Now(), wallAtStart: monotime.Wall(), routes: map[string]core.Route{}, entries: map[string]json.RawMessage{}, confirmations: map[string]confirmation{},
		coldSince: map[string]time.Duration{}}
	r.fullUpdates = rosterpolicy.NewFullUpdatePolicy(cfg.Policy, false)
	r.status.Store(&Status{})
	return r
}

func (r *Roster) clock() time.Duration {
	return r.wallAtStart + time.Since(r.startedAt)
}

// LoadStored takes in the stored list; nil for none. It comes before Run and before the table
// loads the list that the platform has given, if any.
func (r *Roster) LoadStored(s *rosterstore.Snapshot, seed uint64) {
	r.now = r.clock()
	if s == nil || len(s.Nodes) == 0 {
		return
	}
	snapshot := core.Snapshot{Excluded: s.Excluded, Reinstated: s.PutBack}
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
		r.routes[n.UID], r.entries[n.UID], r.confirmations[n.UID] = route, n.Entry, confirmation{n.Confirmed, n.By}
		stored = append(stored, rosterpolicy.Stored{UID: n.UID, Addr: route.Addr, Zone: route.ZoneName, Confirmed: n.Confirmed,
			Barred: route.State == decision.Draining || out[n.UID], Failing: snapshot.Health[n.UID].Failed, ColdFrom: n.ColdFrom})
	}
	r.lastContact = s.Answered
	of := r.cfg.Policy
	if gap := r.now - s.Saved; s.Ended && gap > 0 { // false where the clock went back
		of.PlannedDowntime = gap
	}
	r.standings = rosterpolicy.New(of, r.now, stored, seed)
	r.fullUpdates = rosterpolicy.NewFullUpdatePolicy(r.cfg.Policy, true)
	r.fullUpdates.Failed(r.now)
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
		next := r.runScheduled()
		r.publishStatus()
		timer.Reset(max(next-r.clock(), time.Millisecond))
	}
}

// Status returns what operators are told. Any goroutine may call it.
func (r *Roster) Status() Status { return *r.status.Load() }

func (r *Roster) publishStatus() {
	var s Status
	if r.standings != nil {
		s = Status{Stored: true, Age: max(r.now-r.lastContact, 0)}
		_, s.Used, s.Withheld = r.standings.Count()
	}
	r.status.Store(&s)
}

// runScheduled does what has come due and returns when to look again.
func (r *Roster) runScheduled() time.Duration {
	next := r.now + idleWriteFactor*r.cfg.WriteInterval
	if r.standings != nil {
		uids, at := r.standings.NextProbes(r.now, maxProbes-r.probing)
		for _, uid := range uids {
			r.probe(uid)
		}
		next = min(next, at)
		warmed, at := r.standings.Tick(r.now)
		for _, uid := range warmed {
			r.standingChanged(uid)
		}
		next = min(next, at)
	}
	if r.refetchAt != 0 && r.now >= r.refetchAt {
		r.refetchAt = 0
		r.table.Fetch()
	}
	if r.refetchAt != 0 {
		next = min(next, r.refetchAt)
	}
	if until := r.fullUpdates.AcceptAt(); until != 0 {
		if r.now >= until {
			r.log.Warn("the doubted list is believed: nothing else has come")
			r.acceptDoubted()
		} else {
			next = min(next, until)
		}
	}
	if r.writer != nil && !r.gathering {
		writeAt := r.writeAt
		if !r.dirty {
			writeAt += (idleWriteFactor - 1) * r.cfg.WriteInterval
		}
		if r.now >= writeAt {
			r.gather()
		} else {
			next = min(next, writeAt)
		}
	}
	return next
}

// probe asks a runner of the book; its answer comes to the mailbox.
func (r *Roster) probe(uid string) {
	r.probing++
	r.prober.Probe(r.routes[uid].Addr, time.Now().Add(r.cfg.ProbeTimeout), func(e rosterpolicy.Evidence) {
		r.box.Put(func(r *Roster) {
			r.probing--
			r.observe(uid, e)
		})
	})
}

// observe takes in what was found of a runner.
func (r *Roster) observe(uid string, e rosterpolicy.Evidence) {
	if e.Good() && r.routes[uid].UID != "" && e == rosterpolicy.Started {
		r.confirmations[uid] = confirmation{r.now, rosterstore.ByRunner}
	}
	if r.standings == nil || !r.standings.Observe(r.now, uid, e) {
		return
	}
	r.standingChanged(uid)
}

// standingChanged tells the core of a runner whose standing has changed.
func (r *Roster) standingChanged(uid string) {
	standing, _, reason := r.standings.Standing(uid)
	r.log.WithFields(logrus.Fields{"target": uid, "standing": standing.String(), "why": reason}).Info("a stored runner is judged")
	r.dirty = true
	r.core.RoutesChanged([]core.Route{r.storedRoute(uid)})
}

// storedRoute returns a runner as the core is to see it: as discovery lists it, or by the
// book's word. Guards rule 4 for a fleet that has lost its power: every runner of a stored
// list may have started just now.
func (r *Roster) storedRoute(uid string) core.Route {
	route := r.routes[uid]
	if r.standings == nil {
		return route
	}
	standing, from, _ := r.standings.Standing(uid)
	delete(r.coldSince, uid)
	switch standing {
	case rosterpolicy.Used:
		route.StartedAt = max(route.StartedAt, from)
		if r.standings.Owned(uid) {
			route.Reinstated, route.WarmUpPeers = true, r.standings.RationDivisor()
		}
		r.coldSince[uid] = route.StartedAt
	case rosterpolicy.Barred, rosterpolicy.Withheld, rosterpolicy.Waiting:
		route.State, route.Withheld = decision.Draining, true
	default:
		route.State = decision.Removed
	}
	return route
}
