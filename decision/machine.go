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
	alone        bool // it was cold when all were: it is used by its ration
	untried      bool // it has been put back and sent nothing since
	overdue      int  // its attempts whose start is overdue
	coldUntil    time.Duration
	rationUntil  time.Duration
	bill         warmupbudget.Bill
	load         forecast.Worker
	work         float64 // seconds times slots that its attempts are taken for
	running      int     // slots that started attempts use; Most is the most that they did
	list         uint64  // the last list that met it
	listedWeight float64 // what it adds to the sum of weights
}

// attempt is one send of a request. It holds tokens until it ends.
type attempt struct {
	Past
	worker  *worker
	overdue bool
}

// request is a request that is not yet answered, or still has attempts out.
type request struct {
	id       RequestID
	class    int
	rules    *Class // its class as it was when it came
	slots    int
	hint     time.Duration
	job      forecast.Job
	late     bool // no worker is likely to have done it in time
	deadline time.Duration
	attempts []attempt
	over     bool
}

// timer says what to do when a timer fires.
type timer struct {
	do      func(d *Dispatcher, t timer)
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
	out      []Action
	requests map[RequestID]*request
	timers   map[uint32]timer
	timerSeq uint32

	workers     map[WorkerID]*worker
	listed      []*worker // the same in the order in which they were first listed
	lists       uint64    // lists taken in
	asking      bool      // a call for the list is planned
	failedCalls int       // in a row
	weights     float64   // of the listed workers, the sum
	meanWeight  float64
	widest      int // most slots that a request took

	bucket *bucket.Bucket[*worker]

	zones   zones.Zones
	fleet   forecast.Fleet
	waits   waittime.Waits
	mix     warmupbudget.Mix
	probed  bool // a cold worker has been asked how many slots it has
	shares  fairshare.Shares
	run     []float64 // mean seconds from start to answer, by class
	shedder shedding.Shedder
	retries float64 // credit for attempts after a failure
}

// New makes a dispatcher. Equal configs, seeds and events lead to equal actions.
func New(cfg Config, seed uint64) (*Dispatcher, error) {
	if len(cfg.Classes) == 0 {
		return nil, errors.New("decision: Config.Classes is empty")
	}
	d := &Dispatcher{rng: rand.New(rand.NewPCG(seed, 0)),
		requests: map[RequestID]*request{}, timers: map[uint32]timer{}, workers: map[WorkerID]*worker{},
		widest: 1, retries: creditMost}
	for i, c := range cfg.Classes {
		if c.Effect > Unsafe || c.Group > ScopeCell || c.Window < 0 || c.Objective < 0 {
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
	d.rules = warmupbudget.Rules{ColdShare: cfg.Rules.ColdShare, WarmUp: cfg.Rules.WarmUp,
		FallMultiple: cfg.Rules.FallMultiple, FallWindow: cfg.Rules.FallWindow}
	var rates []float64
	for _, t := range cfg.Tenants {
		rates = append(rates, t.RatePerSecond)
	}
	d.shares.Set(rates, cfg.Instances)
	for _, c := range cfg.Classes[min(len(d.run), len(cfg.Classes)):] {
		d.run = append(d.run, max(cmp.Or(c.Run, c.Objective).Seconds(), 0.001))
	}
}

// Step takes the events of one moment, in their order, appends the actions
// that answer them to actions and returns it. now never goes back.
func (d *Dispatcher) Step(now time.Duration, events []Event, actions []Action) []Action {
	d.now, d.out = max(now, d.now), actions
	if d.timerSeq == 0 {
		d.askForList()
	}
	for i := range events {
		d.handle(&events[i])
	}
	actions, d.out = d.out, nil
	return actions
}

func (d *Dispatcher) handle(ev *Event) {
	switch ev.Type {
	case MembersReplaced, MembersChanged:
		d.updateMembers(ev)
	case MembersFailed:
		d.failedCalls++
		d.askForList()
	case RequestArrived:
		d.arrived(ev)
	case RequestGone:
		if r := d.requests[ev.Request]; r != nil {
			d.close(r)
		}
	case RequestLags:
		if r := d.requests[ev.Request]; r != nil {
			d.lags(r)
		}
	case AttemptStarted, AttemptProgressed, AttemptAccepted:
		if r, a := d.find(ev); a != nil && !a.Started {
			d.started(r, a)
		}
	case AttemptEnded:
		if r, a := d.find(ev); a != nil {
			d.ended(r, a, ev)
		}
	case ProbeEnded:
		if w := d.workers[ev.Worker]; w != nil && ev.Outcome == Served {
			if free := d.reportOf(ev).Free; free > 0 { // false for NaN
				w.Most = max(w.Most, int(min(free, maxTokens)))
			}
		}
	case HealthKnown:
		if w := d.workers[ev.Worker]; w != nil {
			d.restore(w, ev.Health)
		}
	case SettingsChanged:
		if ev.Settings != nil && len(ev.Settings.Classes) >= len(d.run) {
			d.configure(*ev.Settings)
		}
	case TimerFired:
		if t, ok := d.timers[ev.Token]; ok {
			delete(d.timers, ev.Token)
			t.do(d, t)
		}
	}
}

// find returns the attempt that an event speaks of, if it is still out: stale,
// repeated and unknown events find none and change nothing.
func (d *Dispatcher) find(ev *Event) (*request, *attempt) {
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

func (d *Dispatcher) act(a Action) { d.out = append(d.out, a) }

func (d *Dispatcher) wake(at time.Duration, t timer) {
	d.timerSeq++
	d.timers[d.timerSeq] = t
	d.act(Action{Type: SetTimer, At: at, Token: d.timerSeq})
}

// jitter returns a random time below span.
func (d *Dispatcher) jitter(span time.Duration) time.Duration {
	return time.Duration(d.rng.Float64() * float64(span))
}

// weight returns a usable weight: 1 where the list gives none.
func (m *Member) weight() float64 {
	if m.Weight > 0 && !math.IsInf(m.Weight, 0) {
		return m.Weight
	}
	return 1
}

// own tells what this dispatcher has out at a worker.
func (w *worker) own() forecast.Own {
	return forecast.Own{Held: float64(w.InUse), Running: float64(w.running), Work: w.work}
}

// neverRan tells whether it is proved that the attempt did not run.
func (a *attempt) neverRan() bool { return a.Ended && a.Outcome.NeverRan() }
