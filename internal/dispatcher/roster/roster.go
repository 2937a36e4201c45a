// Package roster stands between discovery's list and the core where a dispatcher keeps its list of runners on disk.
// It starts from the stored list while discovery is down, lets package rosterpolicy decide which of its runners get
// work, probes runners, reconciles the stored list with discovery's when that is back, and has package rosterstore
// write the state. It decides nothing itself.
//
// Invariants: a route that discovery has sent replaces what the stored list says of the runner; a full list that
// lacks most runners after an outage removes none until it is confirmed; a stored list is never replaced by an empty
// one.
//
// Roster is an actor: its fields belong to the goroutine of Run. New, LoadStored and Start are called before Run, in
// this order; all other methods may be called from any goroutine and, except for Close, do not block.
package roster

import (
	"context"
	"encoding/json"
	"math"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

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
	// Position returns discovery's address and the version of its list. It is called on the table's goroutine only, by
	// methods that take its lists.
	Position() (discovery string, version uint64)
}

// Prober probes a runner until a deadline and reports what it has found. Probe does not block.
type Prober interface {
	Probe(addr string, deadline time.Time, report func(rosterpolicy.Evidence))
}

// Config holds the settings of a Roster.
type Config struct {
	Name          string // the dispatcher's
	Policy        rosterpolicy.Config
	WriteInterval time.Duration // minimum time between two generations
	ProbeTimeout  time.Duration
	// Classes returns the classes' names by their numbers. It may be called from any goroutine.
	Classes func() []string
}

// Status is what operators are shown.
type Status struct {
	Stored   bool          // the process serves from a stored list
	Age      time.Duration // since discovery last confirmed it
	Used     int           // runners of it that get work
	Withheld int           // runners of it that get none yet
}

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// idleWriteFactor is after how many write intervals state is written in which only ages and figures have changed.
const idleWriteFactor = 30

// confirmDelay is how long after a doubted full list discovery is asked for another.
const confirmDelay = time.Second

// Roster is the actor. Make it with New, start it with Run.
type Roster struct {
	cfg         Config
	core        Core
	table       Table
	prober      Prober
	writer      *rosterstore.Writer // nil if nothing is stored
	parse       func([]byte) (core.Route, error)
	log         *logrus.Entry
	box         *mailbox.Box[func(*Roster)]
	startedAt   time.Time
	wallAtStart time.Duration // the wall clock's time at startedAt, since 1970
	stored      listPosition  // where the stored list comes from; set before Run
	status      atomic.Pointer[Status]

	now            time.Duration // since 1970, by the clock method
	started        bool          // Start has been called: the table sends what discovery says
	standings      *rosterpolicy.StateTable
	fullUpdates    *rosterpolicy.FullUpdatePolicy
	routes         map[string]core.Route      // by uid, of discovery or of the stored list
	entries        map[string]json.RawMessage // of the stored list, for runners in standings
	confirmations  map[string]confirmation    // the last one of each runner
	warmingUpSince map[string]time.Duration   // stored runners that the core takes for started then
	lastContact    time.Duration              // when discovery last sent anything
	doubtedUIDs    map[string]bool            // the runners of the doubted full list
	refetchAt      time.Duration              // when another full list is requested; 0 for never
	writeAt        time.Duration              // when the state may be written next
	lastSnapshot   *rosterstore.Snapshot      // the last one that has runners; nil for none
	gathering      bool                       // state is being gathered for a write
	stopping       bool                       // the dispatcher is shutting down as planned
	dirty          bool                       // more than ages and figures has changed since the last write
	probing        int                        // probes under way
}

// listPosition is a version of one discovery's list, zero for none.
type listPosition struct {
	discovery string
	version   uint64
}

// confirmation is when a runner was last confirmed, and by whom: rosterstore.ByDiscovery or ByRunner.
type confirmation struct {
	at time.Duration
	by string
}

// New makes a roster that holds no runner. Parse reads an entry of the list; the writer is nil if nothing is stored.
func New(cfg Config, c Core, t Table, p Prober, w *rosterstore.Writer, parse func([]byte) (core.Route, error), log *logrus.Entry) *Roster {
	r := &Roster{
		cfg:            cfg,
		core:           c,
		table:          t,
		prober:         p,
		writer:         w,
		parse:          parse,
		log:            log,
		box:            mailbox.New[func(*Roster)](),
		startedAt:      time.Now(),
		wallAtStart:    monotime.Wall(),
		routes:         map[string]core.Route{},
		entries:        map[string]json.RawMessage{},
		confirmations:  map[string]confirmation{},
		warmingUpSince: map[string]time.Duration{},
		fullUpdates:    rosterpolicy.NewFullUpdatePolicy(cfg.Policy, false),
	}
	r.status.Store(&Status{})
	return r
}

// clock returns the time since 1970, steady within this process.
func (r *Roster) clock() time.Duration {
	return r.wallAtStart + time.Since(r.startedAt)
}

// Run runs the roster until the context ends.
func (r *Roster) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var messages []func(*Roster)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.box.Ready():
		case <-timer.C:
		}
		r.now = r.clock()
		messages = r.box.Drain(messages[:0])
		for i, message := range messages {
			message(r)
			messages[i] = nil
		}
		next := r.runScheduled()
		r.publishStatus()
		timer.Reset(max(next-r.clock(), time.Millisecond))
	}
}

// Status returns what operators are shown.
func (r *Roster) Status() Status { return *r.status.Load() }

func (r *Roster) publishStatus() {
	var s Status
	if r.standings != nil {
		s = Status{Stored: true, Age: max(r.now-r.lastContact, 0)}
		_, s.Used, s.Withheld = r.standings.Count()
	}
	r.status.Store(&s)
}

// runScheduled does what is scheduled up to now and returns when to call it again.
func (r *Roster) runScheduled() time.Duration {
	next := r.now + idleWriteFactor*r.cfg.WriteInterval
	if r.standings != nil {
		next = min(next, r.runStandings())
	}
	if r.refetchAt != 0 && r.now >= r.refetchAt {
		r.refetchAt = 0
		r.table.Fetch()
	}
	if r.refetchAt != 0 {
		next = min(next, r.refetchAt)
	}
	if acceptAt := r.fullUpdates.AcceptAt(); acceptAt != 0 {
		if r.now >= acceptAt {
			r.log.Warn("the doubted list is believed: nothing else has come")
			r.acceptDoubted()
		} else {
			next = min(next, acceptAt)
		}
	}
	if r.writer != nil && !r.gathering {
		next = min(next, r.runWrite())
	}
	return next
}

// runStandings probes the stored runners whose time has come, takes those into use that have warmed up, and returns
// when to call it again.
func (r *Roster) runStandings() time.Duration {
	uids, probeAt := r.standings.NextProbes(r.now, maxProbes-r.probing)
	for _, uid := range uids {
		r.probe(uid)
	}
	warmed, warmAt := r.standings.Tick(r.now)
	for _, uid := range warmed {
		r.standingChanged(uid)
	}
	return min(probeAt, warmAt)
}

// runWrite starts a write if it is time for one, and returns when to call it again.
func (r *Roster) runWrite() time.Duration {
	writeAt := r.writeAt
	if !r.dirty {
		writeAt += (idleWriteFactor - 1) * r.cfg.WriteInterval
	}
	if r.now < writeAt {
		return writeAt
	}
	r.gather()
	return never
}
