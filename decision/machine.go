package decision

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"frosttide/decision/fairshare"
	"frosttide/decision/forecast"
	"frosttide/decision/shedding"
	"frosttide/decision/waittime"
	"frosttide/decision/warmupbudget"
	"frosttide/decision/zones"
	"frosttide/internal/bucket"
)

// worker is this dispatcher's state of a worker.
type worker struct {
	Member
	Health
	tokens
	allWarming      bool                     // used within its budget, as all workers were warming up
	untried         bool                     // reinstated and not sent any request since
	overdue         int                      // number of its open attempts whose start is overdue
	excludedUntil   time.Duration            // its warm-up excludes it until then, see Dispatcher.allowed
	budgetedUntil   time.Duration            // end of the time in which its warm-up budget applies
	sentWork        warmupbudget.LeakyBucket // work charged to the warm-up budget
	load            forecast.Worker
	outstandingWork float64 // estimated slot-seconds of its open attempts
	runningSlots    int     // slots of its started attempts; Health.Most is their maximum so far
	updateNumber    uint64  // last update of the list that contained it
	listedWeight    float64 // its part of Dispatcher.totalWeight
}

// attempt is one Send of a request to a worker. It holds tokens until it ends.
type attempt struct {
	AttemptRecord
	worker  *worker
	overdue bool // it had not started within the usual time
}

// request is the state of a request that has no final answer yet or still has open attempts.
type request struct {
	id           RequestID
	classIndex   int
	class        *Class // the class as it was when the request arrived
	slots        int
	hint         time.Duration
	job          forecast.Job
	missesTarget bool // at the last dispatch no worker was likely to meet its target
	deadline     time.Duration
	attempts     []attempt
	closed       bool
}

// timer holds the function that runs when a timer fires and the request, attempt or worker that it concerns.
type timer struct {
	fire    func(d *Dispatcher, t timer)
	request *request
	attempt int
	worker  *worker
}

// Dispatcher is the state machine of one dispatcher; create it with New. It is not safe for concurrent use.
type Dispatcher struct {
	cfg      Config
	rules    warmupbudget.Rules
	rng      *rand.Rand
	now      time.Duration
	actions  []Action // of the current Step
	requests map[RequestID]*request
	timers   map[uint32]timer
	timerSeq uint32

	workers         map[WorkerID]*worker
	listed          []*worker // the same workers, in the order of their first listing
	updates         uint64    // number of updates of the list so far
	callPlanned     bool      // a Subscribe timer is pending
	failedCalls     int       // consecutive failed calls for the list
	totalWeight     float64   // of the listed workers
	meanWeight      float64
	maxRequestSlots int // largest number of slots of a request accepted by a worker

	bucket *bucket.Bucket[*worker]

	zones       zones.Zones
	fleet       forecast.Fleet
	waits       waittime.Waits
	traffic     warmupbudget.Traffic
	probed      bool // a warming worker has been asked for its free slots
	quotas      fairshare.Quotas
	meanRun     []float64 // mean seconds from start to answer, by class
	shedder     shedding.Shedder
	retryCredit float64 // attempts after a failure that the budget allows now
}

// ErrNoClasses is returned by New for a Config without classes.
var ErrNoClasses = errors.New("decision: Config.Classes is empty")

// InvalidClassError is returned by New for a class with a negative time or an unknown enumeration value.
type InvalidClassError struct {
	Index int // into Config.Classes
}

// Error returns a message with the index of the class.
func (e *InvalidClassError) Error() string {
	return fmt.Sprintf("decision: Config.Classes[%d] has a value out of range", e.Index)
}

// New returns a dispatcher without workers. Equal configs, seeds and events lead to equal actions. The
// error is ErrNoClasses or an *InvalidClassError if the Config is invalid.
func New(cfg Config, seed uint64) (*Dispatcher, error) {
	if len(cfg.Classes) == 0 {
		return nil, ErrNoClasses
	}
	for i, c := range cfg.Classes {
		if c.Effect > Unsafe || c.DedupScope > ScopeCell || c.DedupWindow < 0 || c.Objective < 0 {
			return nil, &InvalidClassError{Index: i}
		}
	}
	d := &Dispatcher{
		rng:             rand.New(rand.NewPCG(seed, 0)),
		requests:        map[RequestID]*request{},
		timers:          map[uint32]timer{},
		workers:         map[WorkerID]*worker{},
		maxRequestSlots: 1,
		retryCredit:     maxRetryCredit,
		bucket:          bucket.New[*worker](),
	}
	d.configure(cfg)
	return d, nil
}

// configure applies settings. Learned state is kept, and open requests keep the class they arrived with.
func (d *Dispatcher) configure(cfg Config) {
	d.cfg = cfg
	d.cfg.Classes = slices.Clone(cfg.Classes)
	d.rules = warmupbudget.Rules{InitialCapacity: cfg.Rules.InitialCapacity, WarmUp: cfg.Rules.WarmUp,
		OverloadMultiple: cfg.Rules.OverloadMultiple, OverloadWindow: cfg.Rules.OverloadWindow}
	var rates []float64
	for _, t := range cfg.Tenants {
		rates = append(rates, t.RatePerSecond)
	}
	d.quotas.SetRates(rates, cfg.Instances)
	for _, c := range cfg.Classes[min(len(d.meanRun), len(cfg.Classes)):] {
		d.meanRun = append(d.meanRun, max(cmp.Or(c.MeanRunTime, c.Objective).Seconds(), 0.001))
	}
}

// Step handles the events of one moment in order, appends the resulting actions to the slice actions and
// returns it. The time now comes from the clock shared by the dispatchers of a fleet, as a duration since its
// epoch. A time before that of the previous Step is replaced by it.
func (d *Dispatcher) Step(now time.Duration, events []Event, actions []Action) []Action {
	d.now, d.actions = max(now, d.now), actions
	if d.timerSeq == 0 {
		d.planSubscribe()
	}
	for i := range events {
		d.handle(&events[i])
	}
	actions, d.actions = d.actions, nil
	return actions
}

// handle passes an event to the function for its type. Events about unknown requests, workers, attempts and
// timers are ignored.
func (d *Dispatcher) handle(ev *Event) {
	switch ev.Type {
	case MembersReplaced, MembersChanged:
		d.updateMembers(ev)
	case MembersFailed:
		d.failedCalls++
		d.planSubscribe()
	case RequestArrived:
		d.handleArrival(ev)
	case RequestCanceled:
		if r := d.requests[ev.Request]; r != nil {
			d.close(r)
		}
	case RequestStraggling:
		if r := d.requests[ev.Request]; r != nil {
			d.hedge(r)
		}
	case AttemptStarted, AttemptProgressed, AttemptAccepted:
		if r, a := d.openAttempt(ev); a != nil && !a.Started {
			d.handleStart(r, a)
		}
	case AttemptEnded:
		if r, a := d.openAttempt(ev); a != nil {
			d.handleEnd(r, a, ev)
		}
	case ProbeEnded:
		d.handleProbe(ev)
	case HealthRestored:
		if w := d.workers[ev.Worker]; w != nil {
			d.restoreHealth(w, ev.Health)
		}
	case SettingsChanged:
		if ev.Settings != nil && len(ev.Settings.Classes) >= len(d.meanRun) {
			d.configure(*ev.Settings)
		}
	case TimerFired:
		if t, ok := d.timers[ev.Token]; ok {
			delete(d.timers, ev.Token)
			t.fire(d, t)
		}
	}
}

// openAttempt returns the open attempt that an event refers to, and its request; nil for stale, duplicate and
// unknown events, which are ignored.
func (d *Dispatcher) openAttempt(ev *Event) (*request, *attempt) {
	r := d.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) {
		return nil, nil
	}
	a := &r.attempts[ev.Attempt]
	if a.Ended || a.worker.Worker != ev.Worker {
		return nil, nil
	}
	return r, a
}

// emit appends an action to those of the current Step.
func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// setTimer schedules a timer for the given time.
func (d *Dispatcher) setTimer(at time.Duration, t timer) {
	d.timerSeq++
	d.timers[d.timerSeq] = t
	d.emit(Action{Type: SetTimer, At: at, Token: d.timerSeq})
}

// jitter returns a uniformly random duration from 0 to span.
func (d *Dispatcher) jitter(span time.Duration) time.Duration {
	return time.Duration(d.rng.Float64() * float64(span))
}

// effectiveWeight returns the worker's weight, or 1 if the listed weight is invalid.
func (m *Member) effectiveWeight() float64 {
	if m.Weight > 0 && !math.IsInf(m.Weight, 0) {
		return m.Weight
	}
	return 1
}

// ownLoad returns the load that this dispatcher's own open attempts put on the worker.
func (w *worker) ownLoad() forecast.Own {
	return forecast.Own{InUse: float64(w.InUse), Running: float64(w.runningSlots), Work: w.outstandingWork}
}

// neverRan reports whether the attempt has ended with an outcome that proves that it did not run.
func (a *attempt) neverRan() bool { return a.Ended && a.Outcome.NeverRan() }
