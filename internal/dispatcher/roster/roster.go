// Package roster connects discovery's list to the core when a dispatcher keeps its list of runners
// on disk. It starts from the stored list while discovery is down, lets package rosterpolicy decide
// which stored runners get work, probes runners, reconciles the stored list with discovery's once
// discovery is back, and has package rosterstore write the state. It makes no policy decisions
// itself.
//
// Invariants: a route that discovery has sent replaces the stored entry of the runner; a full list
// that lacks most runners after an outage removes none until it is confirmed; a stored list is
// never replaced by an empty one.
//
// Roster is an actor: its fields belong to the goroutine of Run. New, LoadStored and Start are
// called before Run, in this order. All other methods are safe for concurrent use and, except for
// Close, do not block.
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

// Core receives the list of runners that is to be used. None of its methods blocks.
type Core interface {
	// RoutesReplaced replaces the list by a full one.
	RoutesReplaced([]core.Route)
	// RoutesChanged applies routes that have changed, including removed ones.
	RoutesChanged([]core.Route)
	// DiscoveryFailed reports that a call to discovery has failed.
	DiscoveryFailed()
	// Snapshot calls a function with the state to store.
	Snapshot(func(core.Snapshot))
	// Restore applies a stored state.
	Restore(core.Snapshot)
}

// Table provides discovery's list. None of its methods blocks.
type Table interface {
	// Snapshot calls a function with discovery's address and the list in discovery's format.
	Snapshot(func(discovery string, list []byte))
	// Fetch requests the full list once.
	Fetch()
	// Position returns discovery's address and the version of its list. It is called on the table's
	// goroutine only, by the methods that receive its lists.
	Position() (discovery string, version uint64)
}

// Prober probes a runner until a deadline and reports the resulting evidence. Probe does not block.
type Prober interface {
	Probe(addr string, deadline time.Time, report func(rosterpolicy.Evidence))
}

// Config holds the settings of a Roster.
type Config struct {
	Name          string // name of the dispatcher
	Policy        rosterpolicy.Config
	WriteInterval time.Duration // minimum time between two generations of the stored state
	ProbeTimeout  time.Duration // time limit of one probe
	// Classes returns the classes' names, indexed by their numbers. It must be safe for concurrent
	// use.
	Classes func() []string
}

// Status is the roster's state as shown to operators.
type Status struct {
	Stored   bool          // the process serves from a stored list
	Age      time.Duration // time since discovery last confirmed the list
	Used     int           // stored runners that get work
	Withheld int           // stored runners that get no work yet
}

// never is a time that is not reached.
const never = time.Duration(math.MaxInt64)

// idleWriteFactor is the number of write intervals after which the state is written if only ages
// and statistics have changed.
const idleWriteFactor = 30

// confirmDelay is the time after a doubted full list at which another is requested from discovery.
const confirmDelay = time.Second

// Roster is the actor. Create it with New and start it with Run.
type Roster struct {
	cfg              Config
	core             Core
	table            Table
	prober           Prober
	writer           *rosterstore.Writer // nil if nothing is stored
	parse            func([]byte) (core.Route, error)
	log              *logrus.Entry
	box              *mailbox.Box[func(*Roster)]
	startedAt        time.Time
	wallClockAtStart time.Duration // wall clock at startedAt, since the Unix epoch
	storedPosition   listPosition  // position of the stored list; set before Run
	status           atomic.Pointer[Status]

	now            time.Duration // since the Unix epoch, by the clock method
	started        bool          // Start has been called: updates of the table are from discovery
	standings      *rosterpolicy.StateTable
	fullUpdates    *rosterpolicy.FullUpdatePolicy
	routes         map[string]core.Route      // by uid, from discovery or the stored list
	entries        map[string]json.RawMessage // by uid, stored entries of the runners in standings
	confirmations  map[string]confirmation    // by uid, the last one of each runner
	warmingUpSince map[string]time.Duration   // by uid, start times assumed for stored runners
	lastContact    time.Duration              // when discovery last sent anything
	doubtedUIDs    map[string]bool            // runners in the doubted full list
	refetchAt      time.Duration              // when to request another full list; 0 for never
	writeAt        time.Duration              // earliest time of the next write
	lastSnapshot   *rosterstore.Snapshot      // the last one that has runners; nil for none
	gathering      bool                       // state is being gathered for a write
	shuttingDown   bool                       // a planned shutdown is in progress
	dirty          bool                       // unwritten changes besides ages and statistics
	probing        int                        // number of probes in flight
}

// listPosition is a version of one discovery's list; the zero value is no position.
type listPosition struct {
	discovery string
	version   uint64
}

// confirmation says when a runner was last confirmed, and by whom: rosterstore.ByDiscovery or
// ByRunner.
type confirmation struct {
	at time.Duration
	by string
}

// New creates a roster that holds no runner. Parse decodes an entry of the list; the writer is nil
// if nothing is stored.
func New(cfg Config, c Core, t Table, p Prober, w *rosterstore.Writer, parse func([]byte) (core.Route, error), log *logrus.Entry) *Roster {
	r := &Roster{
		cfg:              cfg,
		core:             c,
		table:            t,
		prober:           p,
		writer:           w,
		parse:            parse,
		log:              log,
		box:              mailbox.New[func(*Roster)](),
		startedAt:        time.Now(),
		wallClockAtStart: monotime.Wall(),
		routes:           map[string]core.Route{},
		entries:          map[string]json.RawMessage{},
		confirmations:    map[string]confirmation{},
		warmingUpSince:   map[string]time.Duration{},
		fullUpdates:      rosterpolicy.NewFullUpdatePolicy(cfg.Policy, false),
	}
	r.status.Store(&Status{})
	return r
}

// clock returns the time since the Unix epoch, monotonic within this process.
func (r *Roster) clock() time.Duration {
	return r.wallClockAtStart + time.Since(r.startedAt)
}

// Run runs the roster until the context is cancelled.
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

// Status returns the state to show to operators.
func (r *Roster) Status() Status { return *r.status.Load() }

func (r *Roster) publishStatus() {
	var s Status
	if r.standings != nil {
		s = Status{Stored: true, Age: max(r.now-r.lastContact, 0)}
		_, s.Used, s.Withheld = r.standings.Count()
	}
	r.status.Store(&s)
}

// runScheduled does what is due by now and returns when to call it again.
func (r *Roster) runScheduled() time.Duration {
	next := r.now + idleWriteFactor*r.cfg.WriteInterval
	if r.standings != nil {
		next = min(next, r.runProbesAndWarmUps())
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
			r.log.Warn("accepting the doubted full list: discovery has sent no other in time")
			r.acceptDoubted()
		} else {
			next = min(next, acceptAt)
		}
	}
	if r.writer != nil && !r.gathering {
		next = min(next, r.writeIfDue())
	}
	return next
}

// runProbesAndWarmUps starts the probes of stored runners that are due, puts runners that have
// warmed up into use, and returns when to call it again.
func (r *Roster) runProbesAndWarmUps() time.Duration {
	uids, probeAt := r.standings.NextProbes(r.now, maxProbes-r.probing)
	for _, uid := range uids {
		r.probe(uid)
	}
	warmed, warmAt := r.standings.Tick(r.now)
	for _, uid := range warmed {
		r.publishStanding(uid)
	}
	return min(probeAt, warmAt)
}

// writeIfDue starts a write of the state if one is due, and returns when to call it again.
func (r *Roster) writeIfDue() time.Duration {
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
