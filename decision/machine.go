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

// The module's state, and how events reach the files that decide. Nothing here decides: those
// are list.go, cold.go, health.go, bucket.go, choice.go, gate.go, course.go, overload.go and
// settings.go.

// worker is what this dispatcher knows of a worker.
type worker struct {
	Member
	Health
	tokens
	allWarming      bool // it was cold when all were: it is used by its ration
	untried         bool // it has been put back and sent nothing since
	overdue         int  // its attempts whose start is overdue
	excludedUntil   time.Duration
	budgetedUntil   time.Duration
	sentWork        warmupbudget.LeakyBucket
	load            forecast.Worker
	outstandingWork float64 // seconds times slots that its attempts are taken for
	runningSlots    int     // slots that started attempts use; Most is the most that they did
	updateNumber    uint64  // the last list that met it
	listedWeight    float64 // what it adds to the sum of weights
}

// attempt is one send of a request. It holds tokens until it ends.
type attempt struct {
	AttemptRecord
	worker  *worker
	overdue bool
}

// request is a request that is not yet answered, or still has attempts out.
type request struct {
	id           RequestID
	classIndex   int
	class        *Class // its class as it was when it came
	slots        int
	hint         time.Duration
	job          forecast.Job
	missesTarget bool // no worker is likely to have done it in time
	deadline     time.Duration
	attempts     []attempt
	closed       bool
}

// timer says what to do when a timer fires.
type timer struct {
	fire    func(d *Dispatcher, t timer)
	request *request
	attempt int
	worker  *worker
}

// Dispatcher decides for one scheduler. It is not safe for concurrent use.
type Dispatcher struct {
	cfg      Config
	rules    warmupbudget.Rules
	rng      *rand.Rand
	now      time.Duration
	actions  []Action
	requests map[RequestID]*request
	timers   map[uint32]timer
	timerSeq uint32

	workers         map[WorkerID]*worker
	listed          []*worker // the same in the order in which they were first listed
	updates         uint64    // lists taken in
	callPlanned     bool      // a call for the list is planned
	failedCalls     int       // in a row
	totalWeight     float64   // of the listed workers, the sum
	meanWeight      float64
	maxRequestSlots int // most slots that a request took

	bucket *bucket.Bucket[*worker]

	zones       zones.Zones
	fleet       forecast.Fleet
	waits       waittime.Waits
	traffic     warmupbudget.Traffic
	probed      bool // a cold worker has been asked how many slots it has
	quotas      fairshare.Quotas
	meanRun     []float64 // mean seconds from start to answer, by class
	shedder     shedding.Shedder
	retryCredit float64 // credit for attempts after a failure
}

// New makes a dispatcher. Equal configs, seeds and events lead to equal actions.
func New(cfg Config, seed uint64) (*Dispatcher, error) {
	if len(cfg.Classes) == 0 {
		return nil, errors.New("decision: Config.Classes is empty")
	}
	d := &Dispatcher{rng: rand.New(rand.NewPCG(seed, 0)),
		requests: map[RequestID]*request{}, timers: map[uint32]timer{}, workers: map[WorkerID]*worker{},
		maxRequestSlots: 1, retryCredit: maxRetryCredit}
	for i, c := range cfg.Classes {
		if c.Effect > Unsafe || c.DedupScope > ScopeCell || c.DedupWindow < 0 || c.Objective < 0 {
			return nil, fmt.Errorf("decision: Config.Classes[%d] has a value out of range", i)
		}
	}
	d.configure(cfg)
	d.bucket = bucket.New[*worker]()
	return d, nil
}

// configure takes settings. What is known stays, and requests keep the class they came with.
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

// Step takes the events of one moment, in their order, appends the actions
// that answer them to actions and returns it. now never goes back.
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
		if w := d.workers[ev.Worker]; w != nil && ev.Outcome == Served {
			if free := d.parseReport(ev).Free; free > 0 { // false for NaN
				w.Most = max(w.Most, int(min(free, maxTokens)))
			}
		}
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

// openAttempt returns the attempt that an event speaks of, if it is still out: stale,
// repeated and unknown events find none and change nothing.
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

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Dispatcher) setTimer(at time.Duration, t timer) {
	d.timerSeq++
	d.timers[d.timerSeq] = t
	d.emit(Action{Type: SetTimer, At: at, Token: d.timerSeq})
}

// jitter returns a random time below span.
func (d *Dispatcher) jitter(span time.Duration) time.Duration {
	return time.Duration(d.rng.Float64() * float64(span))
}

// effectiveWeight returns a usable weight: 1 where the list gives none.
func (m *Member) effectiveWeight() float64 {
	if m.Weight > 0 && !math.IsInf(m.Weight, 0) {
		return m.Weight
	}
	return 1
}

// ownLoad tells what this dispatcher has out at a worker.
func (w *worker) ownLoad() forecast.Own {
	return forecast.Own{InUse: float64(w.InUse), Running: float64(w.runningSlots), Work: w.outstandingWork}
}

// neverRan tells whether it is proved that the attempt did not run.
func (a *attempt) neverRan() bool { return a.Ended && a.Outcome.NeverRan() }
