package decision

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// sequence generates random valid and invalid events for one dispatcher.
type sequence struct {
	rng     *rand.Rand
	checker *checker
	now     time.Duration
	nextID  RequestID
	members []Member
}

// openAttempts returns an event without a type for each open attempt, in order.
func (s *sequence) openAttempts() (out []Event) {
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

// arrival returns the arrival of a request, sometimes with an invalid number of slots.
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

// addLoadReport adds a load report, mostly a valid one, to an event if the config has metrics.
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

// unknownEvent returns a stale event, or one about an unknown request, attempt, worker or timer.
func (s *sequence) unknownEvent() Event {
	return Event{Type: EventType(s.rng.IntN(int(TimerFired) + 3)), Request: RequestID(s.rng.IntN(int(s.nextID) + 50)),
		Attempt: s.rng.IntN(9) - 2, Worker: WorkerID(s.rng.IntN(150)), Outcome: Outcome(s.rng.IntN(12)),
		Class: s.rng.IntN(3) + 90, Tenant: 1 << 20, Token: s.rng.Uint32(), Progress: math.NaN(), LoadCount: 4}
}

// memberChange changes the list: a worker drains, is removed, restarts or is ready.
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
	complete := slices.DeleteFunc(slices.Clone(s.members), func(m Member) bool { return m.State == Removed })
	return Event{Type: MembersReplaced, Members: complete}
}

// next advances the time by 1 to 14 ms and returns the events of that moment.
func (s *sequence) next() (events []Event) {
	s.now += time.Duration(1+s.rng.IntN(14)) * time.Millisecond
	if s.rng.IntN(15) == 0 {
		events = append(events, s.memberChange())
	}
	events = append(events, s.firedTimers()...)
	events = append(events, s.attemptEvents()...)
	for range s.rng.IntN(4) {
		events = append(events, s.arrival())
	}
	if s.rng.IntN(40) == 0 {
		events = append(events, Event{Type: MembersFailed})
	}
	for range s.rng.IntN(3) {
		if ev := s.unknownEvent(); ev.Type != RequestArrived && ev.Type != MembersReplaced && s.mustBeIgnored(ev) {
			events = append(events, ev)
		}
	}
	if len(events) > 0 && s.rng.IntN(10) == 0 {
		if last := events[len(events)-1]; last.Type == AttemptEnded {
			events = append(events, last) // a duplicate event
		}
	}
	return events
}

// firedTimers returns the events of the timers that have expired, in the order of their tokens.
func (s *sequence) firedTimers() (fired []Event) {
	for token, at := range s.checker.timers {
		if at <= s.now {
			fired = append(fired, Event{Type: TimerFired, Token: token})
			delete(s.checker.timers, token)
		}
	}
	slices.SortFunc(fired, func(a, b Event) int { return int(a.Token) - int(b.Token) })
	return fired
}

// attemptEvents returns the ends of attempts past their deadline, and random starts and ends of other open
// attempts.
func (s *sequence) attemptEvents() (events []Event) {
	for _, ev := range s.openAttempts() {
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
	return events
}

// mustBeIgnored reports whether an invalid event must have no effect.
func (s *sequence) mustBeIgnored(ev Event) bool {
	r := s.checker.requests[ev.Request]
	switch ev.Type {
	case RequestCanceled, AttemptEnded, AttemptStarted, AttemptProgressed, AttemptAccepted:
		return r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) && ev.Type != RequestCanceled
	}
	return true
}

// runSequence runs a random sequence against a step function and returns the checker.
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
