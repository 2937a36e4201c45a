package decision

import (
	"testing"
	"time"
)

// driver feeds a dispatcher with events and keeps its timers and latest actions.
type driver struct {
	t           *testing.T
	d           *Dispatcher
	now         time.Duration
	lastRequest RequestID
	timers      map[uint32]time.Duration
	lastActions []Action
}

// newDriver returns a driver of a new dispatcher that has received the list of workers.
func newDriver(t *testing.T, cfg Config, workers []Member) *driver {
	t.Helper()
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &driver{t: t, d: d, now: time.Hour, timers: map[uint32]time.Duration{}}
	h.step(Event{Type: MembersReplaced, Members: workers})
	return h
}

// step delivers events and returns the actions other than timers.
func (h *driver) step(events ...Event) []Action {
	h.lastActions = h.lastActions[:0]
	for _, a := range h.d.Step(h.now, events, nil) {
		if a.Type == SetTimer {
			h.timers[a.Token] = a.At
		} else {
			h.lastActions = append(h.lastActions, a)
		}
	}
	return h.lastActions
}

// advance moves the time forward, fires the timers that expire on the way in order, and returns the actions.
func (h *driver) advance(span time.Duration) (out []Action) {
	end := h.now + span
	for {
		token, at := uint32(0), end+1
		for k, v := range h.timers {
			if v < at || (v == at && k < token) {
				token, at = k, v
			}
		}
		if at > end {
			break
		}
		delete(h.timers, token)
		h.now = max(h.now, at)
		out = append(out, h.step(Event{Type: TimerFired, Token: token})...)
	}
	h.now = end
	return out
}

// arrive delivers a request and returns the resulting action.
func (h *driver) arrive(class int, slots float64) Action {
	h.t.Helper()
	h.lastRequest++
	out := h.step(Event{Type: RequestArrived, Request: h.lastRequest, Class: class, Slots: slots,
		Deadline: h.now + 5*time.Second})
	if len(out) != 1 {
		h.t.Fatalf("an arrival led to %v, want one action", out)
	}
	return out[0]
}

// end reports the end of an attempt and returns the actions.
func (h *driver) end(a Action, o Outcome) []Action {
	return h.step(Event{Type: AttemptEnded, Request: a.Request, Worker: a.Worker, Attempt: a.Attempt, Outcome: o,
		RequestClosed: o == Served})
}

// serve reports the start of an attempt at once and its end as served 50 ms later.
func (h *driver) serve(a Action) {
	h.step(Event{Type: AttemptStarted, Request: a.Request, Worker: a.Worker, Attempt: a.Attempt})
	h.advance(50 * time.Millisecond)
	h.end(a, Served)
}

// bucketOnlyConfig returns a config with which only the bucket determines the worker.
func bucketOnlyConfig() Config {
	cfg := testConfig()
	cfg.StartEvents, cfg.PullMembers, cfg.Zones = false, false, 1
	return cfg
}

// maxWithin returns the maximum number of the sorted times that lie within one window.
func maxWithin(at []time.Duration, window time.Duration) (count int) {
	first := 0
	for i := range at {
		for at[i]-at[first] > window {
			first++
		}
		count = max(count, i-first+1)
	}
	return count
}

// membersInOneZone returns n ready workers in zone 0.
func membersInOneZone(n int) []Member {
	workers := members(n)
	for i := range workers {
		workers[i].Zone = 0
	}
	return workers
}

// testConfig returns a config with classes of every effect and scope.
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

// members returns n ready workers in two zones, and in cells of six.
func members(n int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{Worker: WorkerID(100 + i), Zone: i % 2, Cell: i / 6, Weight: 1}
	}
	return out
}
