package decision

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// deadlineSlack is how long past a deadline a final answer still counts here.
const deadlineSlack = 16 * time.Millisecond

// sentAttempt is a send as seen from outside.
type sentAttempt struct {
	worker  Member
	at      time.Duration
	ended   bool
	outcome Outcome
}

func (a *sentAttempt) mayHaveRun() bool { return !a.ended || !a.outcome.NeverRan() }

// observedRequest is a request as seen from outside.
type observedRequest struct {
	class    int
	deadline time.Duration
	attempts []sentAttempt
	closed   bool
	closedAt time.Duration // when the dispatcher was told of the end, if it was
}

// recordEnd notes that the dispatcher hears of the request's end.
func (r *observedRequest) recordEnd(now time.Duration) {
	if !r.closed {
		r.closed, r.closedAt = true, now
	}
}

// checker verifies the four rules from the events that a dispatcher was given
// and the actions that it returned, with no view of its inside.
type checker struct {
	cfg              Config
	requests         map[RequestID]*observedRequest
	listed           map[WorkerID]Member
	unavailableSince map[WorkerID]time.Duration // since when a worker drains or is gone
	timers           map[uint32]time.Duration
	violations       []string
	sends            int
	responses        int
}

func newChecker(cfg Config) *checker {
	return &checker{cfg: cfg, requests: map[RequestID]*observedRequest{}, listed: map[WorkerID]Member{},
		unavailableSince: map[WorkerID]time.Duration{}, timers: map[uint32]time.Duration{}}
}

func (c *checker) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// observeEvents takes in the events of a moment.
func (c *checker) observeEvents(now time.Duration, events []Event) {
	for _, ev := range events {
		r := c.requests[ev.Request]
		switch ev.Type {
		case RequestArrived:
			if r == nil {
				c.requests[ev.Request] = &observedRequest{class: ev.Class, deadline: ev.Deadline}
			}
		case RequestCanceled:
			if r != nil {
				r.recordEnd(now)
			}
		case AttemptEnded:
			if r != nil && ev.Attempt >= 0 && ev.Attempt < len(r.attempts) && !r.attempts[ev.Attempt].ended &&
				r.attempts[ev.Attempt].worker.Worker == ev.Worker {
				r.attempts[ev.Attempt].ended, r.attempts[ev.Attempt].outcome = true, ev.Outcome
				if ev.RequestClosed {
					r.recordEnd(now)
				}
			}
		case MembersReplaced, MembersChanged:
			c.observeMembers(now, ev)
		}
	}
}

func (c *checker) observeMembers(now time.Duration, ev Event) {
	named := map[WorkerID]bool{}
	for _, m := range ev.Members {
		named[m.Worker] = true
		_, told := c.unavailableSince[m.Worker]
		if m.State == Ready {
			delete(c.unavailableSince, m.Worker)
		} else if !told {
			c.unavailableSince[m.Worker] = now
		}
		c.listed[m.Worker] = m
	}
	if ev.Type == MembersReplaced {
		for id := range c.listed {
			if _, told := c.unavailableSince[id]; !told && !named[id] {
				c.unavailableSince[id] = now
			}
		}
	}
}

// observeActions takes in the actions that answer a moment's events.
func (c *checker) observeActions(now time.Duration, actions []Action) {
	for _, a := range actions {
		r := c.requests[a.Request]
		switch a.Type {
		case SetTimer:
			c.timers[a.Token] = a.At
		case Send:
			c.sends++
			if r == nil {
				c.violate("send for request %d, which was never taken", a.Request)
				continue
			}
			c.checkSend(now, r, a)
			r.attempts = append(r.attempts, sentAttempt{worker: c.listed[a.Worker], at: now})
		case Reject, Fail:
			c.responses++
			if r == nil || (r.closed && r.closedAt != now) {
				c.violate("rule 1: a second answer for request %d", a.Request)
				continue
			}
			r.closed, r.closedAt = true, 0
			if now > r.deadline+deadlineSlack {
				c.violate("rule 1: request %d answered %v late", a.Request, now-r.deadline)
			}
			if a.Type == Reject {
				c.checkRefusal(r, a)
			}
		}
	}
}

func (c *checker) checkSend(now time.Duration, r *observedRequest, a Action) {
	w, known := c.listed[a.Worker]
	if !known {
		c.violate("send to worker %d, which was never listed", a.Worker)
	}
	if r.closed && r.closedAt != now { // an end that this batch tells of may come after the send in it
		c.violate("rule 1: send for request %d, which is over", a.Request)
	}
	class := c.cfg.Classes[r.class]
	for i := range r.attempts {
		prior := &r.attempts[i]
		if !prior.ended && !c.cfg.Limits.HedgingAllowed {
			c.violate("two attempts of request %d are out at once", a.Request)
		}
		if !prior.mayHaveRun() || class.Effect == Safe {
			continue
		}
		same := class.DedupScope == ScopeAll || (prior.worker.Zone == w.Zone &&
			(class.DedupScope == ScopeZone || prior.worker.Cell == w.Cell))
		if class.Effect == Unsafe || !same || now > prior.at+class.DedupWindow {
			c.violate("rule 2: request %d sent again to worker %d though it may have run", a.Request, a.Worker)
		}
	}
	if told, ok := c.unavailableSince[a.Worker]; ok && now > told+c.cfg.Rules.DrainGrace {
		c.violate("rule 3: send to worker %d, told %v ago", a.Worker, now-told)
	}
	if w.StartedAt > 0 {
		age := float64(now-w.StartedAt) / float64(c.cfg.Rules.WarmUp)
		capacity := c.cfg.Rules.InitialCapacity + (1-c.cfg.Rules.InitialCapacity)*min(age, 1)
		if capacity*c.cfg.Rules.OverloadMultiple < 1 {
			c.violate("rule 4: send to worker %d at %.2f of its capacity", a.Worker, capacity)
		}
	}
}

func (c *checker) checkRefusal(r *observedRequest, a Action) {
	class := c.cfg.Classes[r.class]
	for i := range r.attempts {
		harmless := class.Effect == Safe || (class.Effect == Keyed && class.DedupScope == ScopeAll)
		if r.attempts[i].mayHaveRun() && !harmless {
			c.violate("rule 2: request %d refused though it may have run", a.Request)
		}
	}
}

// checkUnanswered reports requests that were never answered.
func (c *checker) checkUnanswered(now time.Duration) {
	for id, r := range c.requests {
		if !r.closed && now > r.deadline+deadlineSlack {
			c.violate("rule 1: request %d was never answered", id)
		}
	}
}

// testConfig is a deployment with every class effect and group.
func testConfig() Config {
	class := func(e Effect, g DedupScope) Class {
		return Class{Effect: e, DedupScope: g, DedupWindow: 3 * time.Second, Objective: 200 * time.Millisecond, Stretch: 2,
			ClientTimeout: 4 * time.Second, Value: 1, LateValue: 0.3, WorkerKind: -1}
	}
	return Config{
		Instance: 3, Instances: 10, Zones: 2, PullMembers: true, StartEvents: true, Quantum: time.Millisecond,
		Classes: []Class{class(Safe, ScopeAll), class(Keyed, ScopeAll), class(Keyed, ScopeZone),
			class(Keyed, ScopeCell), class(Unsafe, ScopeAll)},
		Limits: Limits{MaxAttempts: 4, HedgingAllowed: true, CancelAllowed: true, RetryAfter: true,
			MaxRetryAfter: 2 * time.Second, ConnectTimeout: 200 * time.Millisecond},
		Rules: Rules{DrainGrace: 0, InitialCapacity: 0.2, WarmUp: 10 * time.Second, OverloadMultiple: 3,
			OverloadWindow: time.Second, MaxRefreshInterval: 10 * time.Second},
	}
}

// members returns n ready workers, in two zones and cells of three.
func members(n int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{Worker: WorkerID(100 + i), Zone: i % 2, Cell: i / 6, Weight: 1}
	}
	return out
}

// sequence draws random events, legal ones and odd ones, for one dispatcher.
type sequence struct {
	rng     *rand.Rand
	checker *checker
	now     time.Duration
	nextID  RequestID
	members []Member
}

// outstanding returns the attempts that are out, in order.
func (s *sequence) outstanding() (out []Event) {
	for id := RequestID(1); id <= s.nextID; id++ {
		r := s.checker.requests[id]
		if r == nil {
			continue
		}
		for i := range r.attempts {
			if !r.attempts[i].ended {
				out = append(out, Event{Request: id, Attempt: i, Worker: r.attempts[i].worker.Worker})
			}
		}
	}
	return out
}

func (s *sequence) arrival() Event {
	s.nextID++
	ev := Event{Type: RequestArrived, Request: s.nextID, Class: s.rng.IntN(len(s.checker.cfg.Classes)),
		Deadline: s.now + time.Duration(s.rng.IntN(4000))*time.Millisecond, Slots: float64(1 + s.rng.IntN(3))}
	if s.rng.IntN(20) == 0 {
		ev.Slots = []float64{math.NaN(), math.Inf(1), -1, 1e30}[s.rng.IntN(4)]
	}
	if n := len(s.checker.cfg.Tenants); n > 0 {
		ev.Tenant, ev.Hint = s.rng.IntN(n+2)-1, time.Duration(s.rng.IntN(300))*time.Millisecond
	}
	return ev
}

// addLoadReport puts a load report on an event, where the settings have any: mostly one that can
// be, sometimes one that no worker means.
func (s *sequence) addLoadReport(ev *Event) {
	for _, m := range s.checker.cfg.Metrics {
		v := float32(s.rng.IntN(5))
		if m == MetricQueued {
			v = max(v-3, 0)
		} else {
			v *= 16
		}
		if s.rng.IntN(10) == 0 {
			v = []float32{float32(math.NaN()), float32(math.Inf(1)), -3, 1e30}[s.rng.IntN(4)]
		}
		ev.Load[ev.LoadCount] = v
		ev.LoadCount++
	}
}

// unknownEvent returns an event that names what the dispatcher doesn't know or is stale.
func (s *sequence) unknownEvent() Event {
	return Event{Type: EventType(s.rng.IntN(int(TimerFired) + 3)), Request: RequestID(s.rng.IntN(int(s.nextID) + 50)),
		Attempt: s.rng.IntN(9) - 2, Worker: WorkerID(s.rng.IntN(150)), Outcome: Outcome(s.rng.IntN(12)),
		Class: s.rng.IntN(3) + 90, Tenant: 1 << 20, Token: s.rng.Uint32(), Progress: math.NaN(), LoadCount: 4}
}

// memberChange alters the list: workers drain, go, come back cold or stay.
func (s *sequence) memberChange() Event {
	m := &s.members[s.rng.IntN(len(s.members))]
	switch s.rng.IntN(4) {
	case 0:
		m.State = Draining
	case 1:
		m.State = Removed
	case 2:
		m.State, m.StartedAt = Ready, s.now-time.Duration(s.rng.IntN(2000))*time.Millisecond
	default:
		m.State = Ready
	}
	if s.rng.IntN(3) > 0 {
		return Event{Type: MembersChanged, Members: []Member{*m}}
	}
	whole := slices.DeleteFunc(slices.Clone(s.members), func(m Member) bool { return m.State == Removed })
	return Event{Type: MembersReplaced, Members: whole}
}

// next returns the events of the next moment.
func (s *sequence) next() (events []Event) {
	s.now += time.Duration(1+s.rng.IntN(14)) * time.Millisecond
	if s.rng.IntN(15) == 0 {
		events = append(events, s.memberChange())
	}
	var due []Event
	for token, at := range s.checker.timers {
		if at <= s.now {
			due = append(due, Event{Type: TimerFired, Token: token})
			delete(s.checker.timers, token)
		}
	}
	slices.SortFunc(due, func(a, b Event) int { return int(a.Token) - int(b.Token) })
	events = append(events, due...)
	for _, ev := range s.outstanding() {
		r := s.checker.requests[ev.Request]
		switch n := s.rng.IntN(30); {
		case s.now >= r.deadline:
			ev.Type, ev.Outcome, ev.RequestClosed = AttemptEnded, TimedOut, r.closed
		case n < 2:
			ev.Type, ev.Outcome = AttemptEnded, Outcome(1+s.rng.IntN(7))
			ev.RequestClosed = r.closed
		case n < 4:
			ev.Type, ev.Outcome, ev.RequestClosed = AttemptEnded, Served, true
			s.addLoadReport(&ev)
		case n < 7:
			ev.Type = AttemptStarted
		default:
			continue
		}
		events = append(events, ev)
	}
	for range s.rng.IntN(4) {
		events = append(events, s.arrival())
	}
	if s.rng.IntN(40) == 0 {
		events = append(events, Event{Type: MembersFailed})
	}
	for range s.rng.IntN(3) {
		if ev := s.unknownEvent(); ev.Type != RequestArrived && ev.Type != MembersReplaced && s.changesNothing(ev) {
			events = append(events, ev)
		}
	}
	if len(events) > 0 && s.rng.IntN(10) == 0 {
		if last := events[len(events)-1]; last.Type == AttemptEnded {
			events = append(events, last) // told twice
		}
	}
	return events
}

// changesNothing tells whether an odd event is one that must change nothing.
func (s *sequence) changesNothing(ev Event) bool {
	r := s.checker.requests[ev.Request]
	switch ev.Type {
	case RequestCanceled, AttemptEnded, AttemptStarted, AttemptProgressed, AttemptAccepted:
		return r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) && ev.Type != RequestCanceled
	}
	return true
}

// runSequence plays a random sequence against a step function and returns the checker.
func runSequence(cfg Config, seed uint64, moments int, step func(time.Duration, []Event) []Action) *checker {
	s := &sequence{rng: rand.New(rand.NewPCG(seed, 1)), checker: newChecker(cfg), now: time.Hour, members: members(20)}
	first := []Event{{Type: MembersReplaced, Members: slices.Clone(s.members)}}
	s.checker.observeEvents(s.now, first)
	s.checker.observeActions(s.now, step(s.now, first))
	for range moments {
		events := s.next()
		s.checker.observeEvents(s.now, events)
		s.checker.observeActions(s.now, step(s.now, events))
	}
	s.checker.checkUnanswered(s.now)
	return s.checker
}

// TestRulesHoldOnRandomSequences checks all four rules from outside, under
// several deployments' settings.
func TestRulesHoldOnRandomSequences(t *testing.T) {
	variants := map[string]func(*Config){
		"as given":       func(*Config) {},
		"no hedging":     func(c *Config) { c.Limits.HedgingAllowed = false },
		"no start notes": func(c *Config) { c.StartEvents = false },
		"no cancel":      func(c *Config) { c.Limits.CancelAllowed = false },
		"pushed list":    func(c *Config) { c.PullMembers = false },
		"one attempt":    func(c *Config) { c.Limits.MaxAttempts = 1 },
		"no limits":      func(c *Config) { c.Limits.MaxAttempts = 0; c.WeightKnown = true },
		"load reports": func(c *Config) {
			c.Metrics, c.Tenants = []Metric{MetricQueued, MetricFreeSlots}, []Tenant{{RatePerSecond: 5}, {}}
			for i := range c.Classes {
				c.Classes[i].LateValue, c.Classes[i].Objective = 0, 2*time.Second
			}
		},
	}
	for name, change := range variants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				cfg := testConfig()
				change(&cfg)
				d, err := New(cfg, seed)
				if err != nil {
					t.Fatal(err)
				}
				c := runSequence(cfg, seed, 1500, func(now time.Duration, events []Event) []Action {
					return d.Step(now, events, nil)
				})
				for _, b := range c.violations {
					t.Errorf("seed %d: %s", seed, b)
				}
				if c.sends < 500 || c.responses < 50 {
					t.Errorf("seed %d: only %d sends and %d answers: the sequence shows little", seed, c.sends, c.responses)
				}
			}
		})
	}
}

// TestCheckerCatchesBrokenRules shows that the checker is able to fail: each
// saboteur spoils the actions of a sound dispatcher in one way.
func TestCheckerCatchesBrokenRules(t *testing.T) {
	saboteurs := map[string]func(time.Duration, []Event, []Action) []Action{
		"answers twice": func(_ time.Duration, _ []Event, out []Action) []Action {
			for _, a := range out {
				if a.Type == Reject {
					return append(out, a)
				}
			}
			return out
		},
		"drops answers": func(_ time.Duration, _ []Event, out []Action) []Action {
			return slices.DeleteFunc(out, func(a Action) bool { return a.Type == Fail })
		},
		"refuses for fails": func(_ time.Duration, _ []Event, out []Action) []Action {
			for i := range out {
				if out[i].Type == Fail {
					out[i].Type = Reject
				}
			}
			return out
		},
		"sends anywhere": func(now time.Duration, _ []Event, out []Action) []Action {
			for i := range out {
				if out[i].Type == Send {
					out[i].Worker = WorkerID(100 + now/time.Millisecond%20)
				}
			}
			return out
		},
		"sends again": func(_ time.Duration, events []Event, out []Action) []Action {
			for _, ev := range events {
				if ev.Type == AttemptEnded && ev.Outcome == TimedOut {
					out = append(out, Action{Type: Send, Request: ev.Request, Worker: ev.Worker})
				}
			}
			return out
		},
	}
	for name, spoil := range saboteurs {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			d, err := New(cfg, 1)
			if err != nil {
				t.Fatal(err)
			}
			c := runSequence(cfg, 1, 1500, func(now time.Duration, events []Event) []Action {
				return spoil(now, events, d.Step(now, events, nil))
			})
			if len(c.violations) == 0 {
				t.Error("the checker saw nothing wrong")
			}
		})
	}
}

// TestSameEventsSameActions guards determinism: nothing may hang on map order.
func TestSameEventsSameActions(t *testing.T) {
	record := func() (out []Action) {
		d, err := New(testConfig(), 7)
		if err != nil {
			t.Fatal(err)
		}
		runSequence(testConfig(), 7, 1500, func(now time.Duration, events []Event) []Action {
			actions := d.Step(now, events, nil)
			out = append(out, actions...)
			return actions
		})
		return out
	}
	first := record()
	for range 3 {
		if !slices.Equal(first, record()) {
			t.Fatal("the same events led to other actions")
		}
	}
}
