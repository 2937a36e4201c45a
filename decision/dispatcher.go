// The interface of this module, its types, events and actions, is in api.go.

package decision

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"frosttide/internal/affinity"
	"frosttide/internal/fairshare"
	"frosttide/internal/forecast"
	"frosttide/internal/ration"
	"frosttide/internal/shedding"
	"frosttide/internal/zones"
)

// Settings of the module, not of a deployment. docs/design.md says what each
// rests on.
const (
	defaultTokens = MostSlots        // tokens of a worker of mean weight
	maxTokens     = 64               // bound on the tokens of one worker, whatever its weight
	restBase      = time.Second      // rest of a worker after a failure, doubled for each in a row
	restMost      = 16 * time.Second // up to this
	retryCredit   = 0.2              // attempts after a failure, per request taken
	creditMost    = 10               // credit for them that is kept
	startShare    = 10               // a start may take 1/startShare of the objective past the usual
	farCost       = 1.3              // a worker of another zone counts as that much slower
	paceFor       = 20 * time.Second // a worker's pace is forgotten this long after its last job
	paceMost      = 4.0              // slowest that a worker is taken for
	farPrices     = 3                // a forecast in another zone is dearer by that many times its price
	coldFit       = 1.0              // full workers that FallMultiple times a cold one covers when it is used
	coldFree      = 2.0              // and when it is used without a ration
	hopeShare     = 1.5              // mean run times that must be left before the process ends
	meanGain      = 1.0 / 16         // weight of a new sample in a mean
	callers       = 16               // dispatchers that discovery answers without their spreading out further
	refusalWait   = 200 * time.Millisecond
)

// worker is what this dispatcher knows of a worker.
type worker struct {
	Member
	Health
	oldest, newest *token // its free tokens, in release order
	free, held     int    // counts of its tokens
	limit          int    // most tokens it has now
	untried        bool   // it has been put back and sent nothing since
	overdue        int    // its attempts whose start is overdue
	coldUntil      time.Duration
	rationUntil    time.Duration
	bill           ration.Bill
	load           forecast.Worker
	work           float64 // seconds times slots that its attempts are taken for
	turn           int64   // the last turn in which its tokens got new places
	running        int     // slots that started attempts use; Most is the most that they did
	list, scan     uint64  // the last list and the last scan that met it
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
	rules    ration.Rules
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
	meanWeight  float64
	halfWarm    time.Duration // until when there may be half warm workers
	widest      int           // most slots that a request took

	bucket bucket
	scans  uint64

	zones   zones.Zones
	fleet   forecast.Fleet
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
	d.bucket.head.prev, d.bucket.head.next = &d.bucket.head, &d.bucket.head
	return d, nil
}

// configure takes settings. What is known stays, and requests keep the class they came with.
func (d *Dispatcher) configure(cfg Config) {
	d.cfg = cfg
	d.cfg.Classes = slices.Clone(cfg.Classes)
	d.rules = ration.Rules{ColdShare: cfg.Rules.ColdShare, WarmUp: cfg.Rules.WarmUp,
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
	case AttemptStarted, AttemptProgressed, AttemptAccepted:
		if r, a := d.find(ev); a != nil && !a.Started {
			d.started(r, a)
		}
	case AttemptEnded:
		if r, a := d.find(ev); a != nil {
			d.ended(r, a, ev)
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

// ---- The worker list ----

// askForList subscribes to the worker list after a random wait that grows with
// each failed call and, past a number of them, with that of dispatchers: all of them
// asking at once would swamp discovery, where a call that waits too long fails.
func (d *Dispatcher) askForList() {
	if !d.cfg.PullList || d.asking {
		return
	}
	d.asking = true
	spread := d.cfg.Rules.AskWithin / 16 << min(d.failedCalls, 4)
	wider := float64(spread) * float64(max(d.cfg.Instances, callers)) / callers
	spread = time.Duration(min(wider, float64(max(spread, d.cfg.Rules.AskWithin))))
	d.wake(d.now+d.jitter(spread), timer{do: func(d *Dispatcher, _ timer) {
		d.asking = false
		d.act(Action{Type: Subscribe})
	}})
}

func (d *Dispatcher) updateMembers(ev *Event) {
	d.failedCalls = 0
	d.lists++
	var ready []*worker
	for i := range ev.Members {
		m := &ev.Members[i]
		w := d.workers[m.Worker]
		if w == nil {
			w = &worker{Member: Member{Worker: m.Worker, State: Removed}, Health: Health{Pace: 1}}
			d.workers[m.Worker] = w
			d.listed = append(d.listed, w)
		}
		w.list = d.lists
		if d.update(w, m) {
			ready = append(ready, w)
		}
	}
	var sum float64
	d.listed = slices.DeleteFunc(d.listed, func(w *worker) bool {
		if ev.Type == MembersReplaced && w.list != d.lists {
			d.withdraw(w, Removed)
		}
		if w.State == Removed {
			delete(d.workers, w.Worker)
		}
		sum += w.weight()
		return w.State == Removed
	})
	d.meanWeight = sum / float64(max(len(d.listed), 1))
	if d.bucket.head.next == &d.bucket.head {
		d.fill(ready)
		return
	}
	for _, w := range ready {
		d.join(w)
	}
}

// update takes over a list entry and tells whether the worker became ready for
// work. A worker that is still cold gets its tokens when that time is over.
func (d *Dispatcher) update(w *worker, m *Member) bool {
	begins := m.State == Ready && (w.State != Ready || m.StartedAt > w.StartedAt)
	if m.State != Ready || begins {
		d.withdraw(w, m.State)
	}
	w.Member = *m
	if !begins {
		return false
	}
	w.Failures, w.Failed, w.RestUntil, w.untried = 0, false, 0, w.Returned
	w.coldUntil, w.rationUntil = d.rules.Grown(m.StartedAt, coldFit), d.rules.Grown(m.StartedAt, coldFree)
	if d.sharer(w).ByTurns() {
		d.halfWarm = max(d.halfWarm, w.rationUntil)
	}
	for _, at := range []time.Duration{w.coldUntil, w.rationUntil} {
		if d.now < at {
			d.wake(at+d.jitter(d.cfg.Rules.FallWindow), timer{do: (*Dispatcher).warmed, worker: w})
		}
	}
	return d.now >= w.coldUntil || w.Returned || d.early(w)
}

// trickles tells whether a cold worker that an operator put back may have a request:
// a light one, while it has no other. Guards a machine that is wanted again from lying
// idle, and rule 4 from one of the few jobs that take many times their class's mean.
func (d *Dispatcher) trickles(w *worker, r *request) bool {
	return w.Returned && w.held == 0 && r.slots == 1 && r.hint.Seconds() <= d.run[r.class]
}

// bears tells whether a worker can take a request on top of what it was sent. As
// long as an ordinary share of the traffic, whoever sends it, could push a cold one
// over, each dispatcher keeps to its part of what that one bears, in slots as its like
// have shown them in use. Guards rule 4 against bursts and heavy work without a word on
// what the others send.
func (d *Dispatcher) bears(w *worker, r *request) bool {
	who := d.sharer(w)
	if d.now >= w.rationUntil && !(who.ByTurns() && d.warming(w)) {
		return true
	}
	var slots, seen, most float64
	for _, other := range d.listed {
		if other.Most > 0 {
			slots, seen, most = slots+float64(other.Most), seen+1, max(most, float64(other.Most))
		}
	}
	if slots /= max(seen, 1); who.ByTurns() { // each sees little of what a worker holds
		slots = most
	}
	slots = max(slots, 1)
	if !who.ByTurns() || d.now < w.coldUntil {
		return d.rules.Bears(&w.bill, who, slots, w.StartedAt, d.now, d.workOf(w, r))
	}
	return (d.now >= w.rationUntil || d.rules.Joins(who, w.StartedAt, d.now)) &&
		d.rules.Light(slots, w.StartedAt, d.now, r.hint.Seconds()*float64(r.slots))
}

// shuffle gives half warm workers that many share new places in the bucket at each turn.
// Guards rule 4: while it is others' turn their tokens come to the front, and would then
// draw all the work of those whose turn it is.
func (d *Dispatcher) shuffle() {
	if d.now >= d.halfWarm {
		return
	}
	for _, w := range d.listed {
		half := d.now >= w.coldUntil && d.now < w.rationUntil && d.sharer(w).ByTurns()
		if !half || w.State != Ready || w.Failed {
			continue
		}
		if turn := d.rules.Turn(w.StartedAt, d.now); turn != w.turn {
			w.turn = turn
			d.join(w)
		}
	}
}

// sharer tells which part of a cold worker is this dispatcher's.
func (d *Dispatcher) sharer(w *worker) ration.Sharer {
	return ration.Sharer{Number: d.cfg.Instance, Count: max(cmp.Or(w.Sharers, d.cfg.Instances), 1)}
}

// early tells whether a worker is so cold that it gets work by turns alone.
func (d *Dispatcher) early(w *worker) bool { return d.now < w.coldUntil && d.sharer(w).ByTurns() }

// workOf returns the seconds of work that a request is likely to be at a worker. Its hint
// counts where few share the worker's ration, or one at a time: there is nobody whose
// unused part makes up for one that is heavier than its class.
func (d *Dispatcher) workOf(w *worker, r *request) float64 {
	work := d.run[r.class]
	if w.Sharers > 0 || d.sharer(w).ByTurns() {
		work = max(work, r.hint.Seconds())
	}
	return work * float64(r.slots)
}

// warmed gives a worker its tokens once its cold time is over, and new places in
// the bucket once its ration is: they have come to the front meanwhile, and would
// draw many jobs in a row.
func (d *Dispatcher) warmed(t timer) {
	if w := t.worker; w.State == Ready && d.now >= w.coldUntil && !w.Failed {
		d.join(w)
	}
}

// Health returns what has been found of a worker's health. It changes nothing.
func (d *Dispatcher) Health(id WorkerID) Health {
	w := cmp.Or(d.workers[id], &worker{})
	h := w.Health
	h.Load = w.load.Learned()
	return h
}

// restore takes over what an earlier process has found of a worker's health.
func (d *Dispatcher) restore(w *worker, h Health) {
	w.Health = h
	w.RestUntil, w.PaceAt = min(h.RestUntil, d.now+restMost), min(h.PaceAt, d.now)
	w.Failures, w.Pace = max(h.Failures, 0), min(max(h.Pace, 1/paceMost), paceMost)
	w.Most = min(max(h.Most, 0), maxTokens)
	w.load.Learn(h.Load, d.now)
	if w.Failed {
		w.limit = min(w.limit, d.widest)
		d.trim(w)
	}
}

// Unavailable returns how many listed workers get no new work now. It changes nothing.
func (d *Dispatcher) Unavailable(now time.Duration) (n int) {
	for _, w := range d.listed {
		if w.State != Ready || w.overdue > 0 || now < w.RestUntil || now < w.coldUntil && !w.Returned {
			n++
		}
	}
	return n
}

// withdraw takes a worker's free tokens out of the bucket; those that it holds
// are dropped as they come back.
func (d *Dispatcher) withdraw(w *worker, state MemberState) {
	w.State, w.limit = state, 0
	d.trim(w)
}

// weight returns a usable weight: 1 where the list gives none.
func (w *worker) weight() float64 {
	if w.Weight > 0 && !math.IsInf(w.Weight, 0) {
		return w.Weight
	}
	return 1
}

// ---- The bucket ----

// tokensFor returns how many tokens a worker has when it is well: by weight,
// and enough for the widest request.
func (d *Dispatcher) tokensFor(w *worker) int {
	if w.Tokens > 0 {
		return min(w.Tokens, maxTokens)
	}
	n := defaultTokens
	if d.cfg.WeightKnown && d.meanWeight > 0 {
		n = int(math.Round(defaultTokens * min(w.weight()/d.meanWeight, maxTokens/defaultTokens)))
	}
	return max(n, d.widest)
}

// trim drops free tokens beyond the worker's limit.
func (d *Dispatcher) trim(w *worker) {
	for w.free > 0 && w.free+w.held > w.limit {
		d.bucket.take(w)
	}
}

// release is the one owner of returning tokens: those of an ended attempt go
// together to the back of the bucket, those beyond the limit are dropped.
func (d *Dispatcher) release(w *worker, slots int) {
	w.held -= slots
	for w.free+w.held < w.limit {
		d.bucket.put(w, &token{}, &d.bucket.head)
	}
}

// pick returns the compatible worker with the least cost; of equal ones that whose
// token has been free longest. With unwell set it takes workers that rest or are
// slow to start as well, and those that rest only where no other fits: where all
// zones seem lost, one that has just failed would otherwise draw every request in a
// row. Guards against queues: of several dispatchers each sees little of a worker's
// load, and the longest-free token alone would go to one that holds jobs of ours while
// others hold none.
func (d *Dispatcher) pick(r *request, unwell bool) (best *worker) {
	if !d.mayTry(r) {
		return nil
	}
	d.scans++
	least, resting := 0.0, false
	for t := d.bucket.head.next; t != &d.bucket.head; t = t.next {
		w := t.worker
		if w.scan == d.scans {
			continue
		}
		w.scan = d.scans
		cost, rests := d.cost(w, r), d.now < w.RestUntil
		if (best == nil || rests == resting && cost < least || resting && !rests) && d.fits(w, r, unwell) {
			best, least, resting = w, cost, rests
		}
	}
	return best
}

// own tells what this dispatcher has out at a worker.
func (w *worker) own() forecast.Own {
	return forecast.Own{Held: float64(w.held), Running: float64(w.running), Work: w.work}
}

// reported takes in a load report.
func (d *Dispatcher) reported(w *worker, ev *Event) {
	r := forecast.Report{Free: math.NaN(), Queued: math.NaN()}
	for i, m := range d.cfg.Metrics[:min(len(d.cfg.Metrics), int(ev.Loads))] {
		switch m {
		case MetricFreeSlots:
			r.Free = float64(ev.Load[i])
		case MetricQueued:
			r.Queued = float64(ev.Load[i])
		}
	}
	d.fleet.Reported(&w.load, w.Kind, r, w.own(), d.now)
}

// inside tells whether a request is inside its tenant's share, by this dispatcher's part of
// the work that the fleet is known to hold.
func (d *Dispatcher) inside(tenant int) bool {
	if d.fleet.Known() && d.shares.Due(d.now) {
		var own, all float64
		for _, w := range d.listed {
			own, all = own+float64(w.held), all+float64(w.held)+d.fleet.Others(&w.load, w.Kind, d.now)
		}
		d.shares.Look(own, all, d.now)
	}
	return d.shares.Inside(tenant, d.now)
}

// cost returns, where workers tell of their load, the time that a request is likely to take
// and the way to another zone by its price; else the part of its tokens that the worker would
// hold with it, dearer by its pace, as far as that is not forgotten, and by the way to another
// zone; and both by the preference of one dispatcher of many. A worker that was put back is
// tried before all others, and so is a cold one in a turn, which comes seldom.
func (d *Dispatcher) cost(w *worker, r *request) float64 {
	if w.untried || d.early(w) {
		return 0
	}
	if d.fleet.Known() {
		cost := d.fleet.Needs(&w.load, w.Kind, w.own(), &r.job, d.now)
		if w.Zone != d.cfg.Zone {
			cost += farPrices * d.cfg.ZonePrice * r.job.Aim
		}
		return cost * affinity.Factor(d.cfg.Instance, d.cfg.Instances, uint32(w.Worker))
	}
	known := max(1-float64(d.now-w.PaceAt)/float64(paceFor), 0)
	cost := float64(w.held+r.slots) / float64(d.tokensFor(w)) * (1 + known*(w.Pace-1))
	if w.Zone != d.cfg.Zone {
		cost *= farCost
	}
	return cost * affinity.Factor(d.cfg.Instance, d.cfg.Instances, uint32(w.Worker))
}

// noteRun takes in how long a job of a class ran at a worker.
func (d *Dispatcher) noteRun(w *worker, r *request, took time.Duration) {
	d.fleet.Ran(&w.load, w.Kind, r.class, r.hint, r.job.Work, took.Seconds(), d.now)
	pace := min(took.Seconds()/d.run[r.class], paceMost)
	w.Pace, w.PaceAt = w.Pace+(pace-w.Pace)*meanGain, d.now
	d.run[r.class] += (took.Seconds() - d.run[r.class]) * meanGain
}

// fits tells whether a worker is compatible with a request.
func (d *Dispatcher) fits(w *worker, r *request, unwell bool) bool {
	away := d.sharer(w).ByTurns() && d.zones.Away(w.Zone, w.StartedAt, d.now)
	well := w.overdue == 0 && d.now >= w.RestUntil && !away
	return w.free >= r.slots && (well || unwell) && d.allowed(r, w)
}

// ---- The send gate ----

// mayTry tells whether the request may have another attempt, wherever it goes.
func (d *Dispatcher) mayTry(r *request) bool {
	lim := &d.cfg.Limits
	if r.over || d.now >= r.deadline || (lim.MaxAttempts > 0 && len(r.attempts) >= lim.MaxAttempts) {
		return false
	}
	unsafe := r.rules.Effect == Unsafe
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return !a.Ended && !lim.HedgingAllowed || unsafe && !a.neverRan()
	})
}

// neverRan tells whether it is proved that the attempt did not run.
func (a *attempt) neverRan() bool { return a.Ended && a.Outcome.NeverRan() }

// allowed tells whether rules 1 to 4 let the request go to the worker now.
func (d *Dispatcher) allowed(r *request, w *worker) bool {
	c := r.rules
	wrongKind := c.WorkerKind >= 0 && w.Kind != c.WorkerKind || w.Only != 0 && w.Only>>r.class&1 == 0
	cold := d.now < w.coldUntil && !d.early(w) && !d.trickles(w, r)
	if w.State != Ready || cold || wrongKind || !d.mayTry(r) || !d.bears(w, r) {
		return false
	}
	if len(r.attempts) > 0 && d.warming(w) {
		return false // further attempts come on top of the traffic that rule 4 was reckoned with
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.worker == w {
			return false
		}
		if c.Effect == Keyed && !a.neverRan() {
			inTime := d.now <= a.SentAt+c.Window-d.cfg.Limits.ConnectTimeout
			if !inTime || !sameGroup(c.Group, a.worker, w) {
				return false
			}
		}
	}
	return true
}

// warming tells whether a worker has started so lately that it may not have all
// its capacity yet: it gets its share of first attempts and nothing beyond.
func (d *Dispatcher) warming(w *worker) bool {
	return w.StartedAt > 0 && d.now < w.StartedAt+d.cfg.Rules.WarmUp
}

// sameGroup tells whether two workers drop each other's repeats.
func sameGroup(g Scope, a, b *worker) bool {
	return g == ScopeAll || a.Zone == b.Zone && (g == ScopeZone || a.Cell == b.Cell)
}

// send is the one gate through which every attempt goes.
func (d *Dispatcher) send(r *request, w *worker) {
	if !d.allowed(r, w) || w.free < r.slots {
		return
	}
	for range r.slots {
		d.bucket.take(w)
	}
	d.fleet.Sent(&w.load, w.Kind, w.own(), &r.job, d.now)
	w.held += r.slots
	w.untried = false
	w.bill.Add(d.workOf(w, r))
	w.work += r.job.Slots * r.job.Work
	n := len(r.attempts)
	r.attempts = append(r.attempts, attempt{Past: Past{Worker: w.Worker, SentAt: d.now}, worker: w})
	d.act(Action{Type: Send, Request: r.id, Worker: w.Worker, Attempt: n})
	if d.cfg.StartNotes && d.fleet.Known() && d.cfg.Limits.CancelAllowed && r.rules.LateWorth == 0 {
		until := d.fleet.Hope(&w.load, w.Kind, &r.job, d.now)
		d.wake(until, timer{do: (*Dispatcher).hopeless, request: r, attempt: n})
	}
	if d.cfg.StartNotes {
		wait := 2*d.zones.Usual(w.Zone) + r.rules.Objective/startShare
		d.wake(d.now+wait, timer{do: (*Dispatcher).startDue, request: r, attempt: n})
	}
}

// dispatch sends the request to the first worker that fits; where only unwell ones are
// left it fails open. Where even the best of those that tell of their load would be late
// it is not sent. It reports whether it sent.
func (d *Dispatcher) dispatch(r *request) bool {
	w := d.pick(r, false)
	if w == nil {
		w = d.pick(r, true)
	}
	if w == nil {
		return false
	}
	r.late = d.fleet.Known() && d.fleet.Late(&w.load, w.Kind, w.own(), &r.job, d.cfg.Instances, d.now)
	if !r.late {
		d.send(r, w)
	}
	return !r.late
}

// ---- The course of a request ----

func (d *Dispatcher) arrived(ev *Event) {
	if d.requests[ev.Request] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(d.cfg.Classes) {
		d.act(Action{Type: Refuse, Request: ev.Request, Why: NoClass})
		return
	}
	r := &request{id: ev.Request, class: ev.Class, rules: &d.cfg.Classes[ev.Class],
		deadline: ev.Deadline, hint: ev.Hint, slots: 1}
	if ev.Slots > 1 { // false for NaN
		r.slots = int(math.Ceil(min(ev.Slots, maxTokens)))
	}
	d.requests[r.id] = r
	r.job = d.fleet.Arrived(r.class, float64(r.slots), r.hint, d.run[r.class])
	aim := r.rules.InTime(cmp.Or(r.hint, time.Duration(r.job.Work*float64(time.Second))))
	r.job.Until, r.job.Past = min(d.now+aim, r.deadline), !d.inside(ev.Tenant)
	r.job.Aim = (r.job.Until - d.now).Seconds()
	if len(ev.Past) > 0 {
		d.adopt(r, ev.Past)
		return
	}
	d.retries = min(d.retries+retryCredit, creditMost)
	d.shuffle()
	// Guards a client that could be served elsewhere: most work of its class would be
	// cut off.
	hopeless := ev.Ending && (r.deadline-d.now).Seconds() < hopeShare*d.run[r.class]
	switch {
	case hopeless:
		d.finish(r, Ending)
	case !d.fleet.Known() && d.sheds(r, ev.Retry):
		d.finish(r, Overload)
	case !d.dispatch(r):
		d.finish(r, d.blocked(r))
	default:
		d.shares.Use(ev.Tenant)
		d.wake(d.now+d.slack(r), timer{do: (*Dispatcher).sample, request: r})
	}
}

// Past returns what is known of a request's attempts. It changes nothing.
func (d *Dispatcher) Past(id RequestID) (past []Past) {
	if r := d.requests[id]; r != nil {
		for _, a := range r.attempts {
			past = append(past, a.Past)
		}
	}
	return past
}

// adopt takes over a request's attempts; those that are out hold tokens from now on.
func (d *Dispatcher) adopt(r *request, past []Past) {
	out := false
	for _, p := range past {
		w := d.workers[p.Worker]
		if w == nil {
			w = &worker{Member: Member{Worker: p.Worker, State: Removed}} // it has left the list
		}
		r.attempts = append(r.attempts, attempt{Past: p, worker: w})
		if p.Ended {
			continue
		}
		out = true
		for range min(r.slots, w.free) {
			d.bucket.take(w)
		}
		w.held += r.slots
		w.work += r.job.Slots * r.job.Work
		if p.Started {
			w.running += r.slots
		}
	}
	if !out && !d.dispatch(r) {
		d.finish(r, d.blocked(r))
	}
}

// widen makes room for requests of more slots than any before. Only what a worker
// took counts: a client may ask for anything.
func (d *Dispatcher) widen(slots int) {
	if slots <= d.widest {
		return
	}
	d.widest = slots
	for _, w := range d.listed {
		if w.limit > 0 && w.limit < slots {
			d.join(w)
		}
	}
}

// startDue acts on an attempt that has not started in the usual time: its worker
// is left alone until it starts or ends. The request has no attempt beside it: a
// worker may run what was called off, so copies do the work twice.
func (d *Dispatcher) startDue(t timer) {
	if a := &t.request.attempts[t.attempt]; !a.Ended && !a.Started {
		a.overdue = true
		a.worker.overdue++
	}
}

// hopeless gives up an attempt that waits and could not be in time any more where late
// answers are worth nothing: what it waits for serves others. What must not run twice fails.
func (d *Dispatcher) hopeless(t timer) {
	r := t.request
	switch a := &r.attempts[t.attempt]; {
	case a.Ended || a.Started || r.over:
	case r.rules.Effect == Unsafe:
		d.act(Action{Type: Fail, Request: r.id, Why: Overload})
		d.close(r)
	default:
		d.cancel(r, t.attempt)
	}
}

// started takes in that a worker runs an attempt.
func (d *Dispatcher) started(r *request, a *attempt) {
	a.Started, a.StartedAt = true, d.now
	a.worker.running += r.slots
	a.worker.Most = max(a.worker.Most, a.worker.running)
	if !a.worker.Failed {
		a.worker.Failures = 0
	}
	if a.overdue {
		a.worker.overdue--
	}
	d.zones.Started(a.worker.Zone, d.now-a.SentAt)
	d.fleet.Started(&a.worker.load, a.worker.Kind, &r.job, a.overdue, a.worker.own(), d.now)
}

func (d *Dispatcher) ended(r *request, a *attempt, ev *Event) {
	a.Ended, a.Outcome = true, ev.Outcome
	if a.Started {
		a.worker.running -= r.slots
	}
	if a.overdue && !a.Started {
		a.worker.overdue--
	}
	if ev.Outcome == Served && a.Started {
		d.noteRun(a.worker, r, d.now-a.StartedAt)
	}
	d.reported(a.worker, ev)
	a.worker.work -= r.job.Slots * r.job.Work
	d.judge(r, a)
	d.release(a.worker, r.slots)
	if ev.Outcome == Rejected { // a full queue says so sooner than the late starts in it
		d.shedder.Note(true)
	}
	switch {
	case ev.Closed || ev.Outcome == Served:
		d.close(r)
	case r.over:
		d.forget(r)
	case ev.Outcome == Unusable: // guards the retries that others need
		d.retries = max(d.retries-retryCredit, 0)
		d.act(Action{Type: Fail, Request: r.id, Why: NoUse})
		d.close(r)
	case d.retries >= 1 && d.dispatch(r): // the budget keeps trouble from feeding itself
		d.retries--
	default:
		d.finish(r, d.blocked(r))
	}
}

// judge draws the worker's health from how an attempt ended. A failure leaves it
// tokens for one job and a rest that doubles with each in a row; a success
// brings the others back. Guards against a worker that fails at once: its tokens
// would be free, and draw jobs, all the time.
func (d *Dispatcher) judge(r *request, a *attempt) {
	w := a.worker
	if a.Outcome == Canceled || a.Outcome == NotSent || a.Outcome == Unusable {
		return // says nothing of it
	}
	d.widen(r.slots)
	if a.Outcome == ConnectFailed {
		d.zones.Unreached(w.Zone, w.Failures > 0, d.now)
	}
	switch a.Outcome {
	case Served:
		d.zones.Served(w.Zone, a.SentAt, d.now)
		w.Failures, w.RestUntil = 0, 0
		if w.Failed && w.State == Ready {
			w.Failed = false
			d.join(w)
		}
	default:
		w.Failures++
		if a.Outcome == ConnReset && w.Failures == 1 {
			return // guards a worker that a connection breaks on now and then
		}
		rest := min(restBase<<min(w.Failures-1, 8), restMost)
		w.RestUntil = d.now + rest/2 + d.jitter(rest)
		w.Failed = true
		w.limit = min(w.limit, d.widest)
		d.trim(w)
	}
}

// finish is the one place where a request that nobody serves is ended: it waits
// while an attempt is out, refuses where that is harmless, else fails.
func (d *Dispatcher) finish(r *request, why Reason) {
	c := r.rules
	answer := Action{Type: Refuse, Request: r.id, Why: why}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.Ended {
			return
		}
		inTime := d.now+d.cfg.Limits.MaxRetryAfter < a.SentAt+c.Window
		dropped := c.Effect == Keyed && c.Group == ScopeAll && inTime
		if c.Effect != Safe && !a.neverRan() && !dropped {
			answer.Type = Fail
		}
	}
	if answer.Type == Refuse && d.cfg.Limits.RetryAfter {
		answer.After = min(refusalWait/2+d.jitter(refusalWait), d.cfg.Limits.MaxRetryAfter)
	}
	d.act(answer)
	d.close(r)
}

// close marks a request as over and calls off what is still out for it.
func (d *Dispatcher) close(r *request) {
	r.over = true
	for i := range r.attempts {
		d.cancel(r, i)
	}
	d.forget(r)
}

// forget drops a request that is over once none of its attempts is out.
func (d *Dispatcher) forget(r *request) {
	if !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.Ended }) {
		delete(d.requests, r.id)
	}
}

func (d *Dispatcher) cancel(r *request, attempt int) {
	if d.cfg.Limits.CancelAllowed && !r.attempts[attempt].Ended {
		d.act(Action{Type: Cancel, Request: r.id, Attempt: attempt})
	}
}

// ---- Overload ----

// sheds tells whether an arrival is refused because requests start late; a client's
// repeat counts at the worth of a late answer.
func (d *Dispatcher) sheds(r *request, repeat bool) bool {
	worth := r.rules.Worth
	if repeat {
		worth *= r.rules.LateWorth
	}
	return d.rng.Float64() < d.shedder.Share(worth, d.run[r.class])
}

// slack returns how long a typical request can wait and still be in time: run
// times are skewed, so half of them are far below the mean.
func (d *Dispatcher) slack(r *request) time.Duration {
	c := r.rules
	return c.Objective + time.Duration(max(c.Stretch-1, 0)*d.run[r.class]/2*float64(time.Second))
}

// sample sees whether a request has started within its slack. One that ended
// without a start says nothing, nor does a late start where many dispatchers share the
// workers: it tells of the one queue that it met by chance, not of all, and a full
// queue's refusal still counts. Guards against refusals while other workers are free.
func (d *Dispatcher) sample(t timer) {
	started := slices.ContainsFunc(t.request.attempts, func(a attempt) bool { return a.Started })
	if started || !t.request.over && !(ration.Sharer{Count: d.cfg.Instances}).ByTurns() {
		d.shedder.Note(!started)
	}
}
