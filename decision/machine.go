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

// worker is what this dispatcher knows of a worker.
type worker struct {
	Member
	Health
	tokens
	allWarming      bool                     // all workers were warming up: it is used within its budget
	untried         bool                     // it has been reinstated and sent nothing since
	overdue         int                      // how many of its open attempts have an overdue start
	excludedUntil   time.Duration            // it gets no attempts until then, as it warms up
	budgetedUntil   time.Duration            // it gets no more than its warm-up budget until then
	sentWork        warmupbudget.LeakyBucket // what counts against that budget
	load            forecast.Worker
	outstandingWork float64 // slots times seconds that its open attempts are estimated at
	runningSlots    int     // slots of its started attempts; Health.Most is their maximum so far
	updateNumber    uint64  // the last update of the list that named it
	listedWeight    float64 // what it adds to Dispatcher.totalWeight
}

// attempt is one sending of a request. It holds tokens until it ends.
type attempt struct {
	AttemptRecord
	worker  *worker
	overdue bool // it had not started when it should have
}

// request is a request that has no final answer yet, or still has open attempts.
type request struct {
	id           RequestID
	classIndex   int
	class        *Class // the class as it was when the request arrived
	slots        int
	hint         time.Duration
	job          forecast.Job
	missesTarget bool // no worker was likely to do it in time when it was last tried
	deadline     time.Duration
	attempts     []attempt
	closed       bool
}

// timer is what happens when a timer fires, and to which request, attempt and worker.
type timer struct {
	fire    func(d *Dispatcher, t timer)
	request *request
	attempt int
	worker  *worker
}

// Dispatcher is the state machine of one dispatcher; make it with New. It is not safe for concurrent use.
type Dispatcher struct {
	cfg      Config
	rules    warmupbudget.Rules
	rng      *rand.Rand
	now      time.Duration
	actions  []Action // of the present Step
	requests map[RequestID]*request
	timers   map[uint32]timer
	timerSeq uint32

	workers         map[WorkerID]*worker
	listed          []*worker // the same in the order in which they were first listed
	updates         uint64    // how many updates of the list there were
	callPlanned     bool      // a timer for a Subscribe runs
	failedCalls     int       // calls for the list that failed, in a row
	totalWeight     float64   // of the listed workers
	meanWeight      float64
	maxRequestSlots int // the most slots of a request that a worker has taken

	bucket *bucket.Bucket[*worker]

	zones       zones.Zones
	fleet       forecast.Fleet
	waits       waittime.Waits
	traffic     warmupbudget.Traffic
	probed      bool // a warming worker has been asked for its free slots
	quotas      fairshare.Quotas
	meanRun     []float64 // mean seconds from start to answer, by class
	shedder     shedding.Shedder
	retryCredit float64 // how many attempts after a failure the budget allows now
}

// ErrNoClasses is returned by New for a Config without classes.
var ErrNoClasses = errors.New("decision: Config.Classes is empty")

// InvalidClassError is returned by New for a class with a negative time or an unknown enumeration value.
type InvalidClassError struct {
	Index int // into Config.Classes
}

// Error names the class.
func (e *InvalidClassError) Error() string {
	return fmt.Sprintf("decision: Config.Classes[%d] has a value out of range", e.Index)
}

// New makes a dispatcher that knows no workers. Equal configs, seeds and events lead to equal actions. It
// returns ErrNoClasses or an *InvalidClassError for a Config that cannot be used.
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

// configure takes over settings. What is known stays, and requests keep the class that they arrived with.
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

// Step handles the events of one moment, in their order, appends the actions that they lead to to actions and
// returns it. The time now is read from the clock that the dispatchers of a fleet share, as a duration since
// its epoch; one that is earlier than that of the last Step counts as equal to it.
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

// handle passes an event to the file that decides on it. Events on unknown requests, workers, attempts and
// timers change nothing.
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

// openAttempt returns the open attempt that an event is about, and its request; nil for stale, repeated and
// unknown events, which change nothing.
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

// emit appends an action to those of the present Step.
func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// setTimer has a timer fire at the given time.
func (d *Dispatcher) setTimer(at time.Duration, t timer) {
	d.timerSeq++
	d.timers[d.timerSeq] = t
	d.emit(Action{Type: SetTimer, At: at, Token: d.timerSeq})
}

// jitter returns a uniformly random duration from 0 to span.
func (d *Dispatcher) jitter(span time.Duration) time.Duration {
	return time.Duration(d.rng.Float64() * float64(span))
}

// effectiveWeight returns the worker's weight, 1 where the list gives none that can be used.
func (m *Member) effectiveWeight() float64 {
	if m.Weight > 0 && !math.IsInf(m.Weight, 0) {
		return m.Weight
	}
	return 1
}

// ownLoad returns what this dispatcher's own open attempts use at the worker.
func (w *worker) ownLoad() forecast.Own {
	return forecast.Own{InUse: float64(w.InUse), Running: float64(w.runningSlots), Work: w.outstandingWork}
}

// neverRan reports whether it is proved that the attempt did not run.
func (a *attempt) neverRan() bool { return a.Ended && a.Outcome.NeverRan() }
