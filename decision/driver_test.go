package decision

import (
	"testing"
	"time"
)

// driver drives a dispatcher by hand and keeps what it asked for.
type driver struct {
	t           *testing.T
	d           *Dispatcher
	now         time.Duration
	lastRequest RequestID
	timers      map[uint32]time.Duration
	lastActions []Action
}

func newDriver(t *testing.T, cfg Config, list []Member) *driver {
	t.Helper()
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &driver{t: t, d: d, now: time.Hour, timers: map[uint32]time.Duration{}}
	h.step(Event{Type: MembersReplaced, Members: list})
	return h
}

// step hands over events and returns the actions other than timers.
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

// advance lets time go by and fires the timers that come due, in order.
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

// arrive brings a request and returns what is done with it.
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

// end reports how an attempt ended.
func (h *driver) end(a Action, o Outcome) []Action {
	return h.step(Event{Type: AttemptEnded, Request: a.Request, Worker: a.Worker, Attempt: a.Attempt, Outcome: o,
		RequestClosed: o == Served})
}

// serve starts a job at once and has it served after a while.
func (h *driver) serve(a Action) {
	h.step(Event{Type: AttemptStarted, Request: a.Request, Worker: a.Worker, Attempt: a.Attempt})
	h.advance(50 * time.Millisecond)
	h.end(a, Served)
}

// bucketOnlyConfig is a config in which nothing but the bucket decides.
func bucketOnlyConfig() Config {
	cfg := testConfig()
	cfg.StartEvents, cfg.PullMembers, cfg.Zones = false, false, 1
	return cfg
}

// maxWithin returns how many of the times, in order, lie within a window at most.
func maxWithin(at []time.Duration, window time.Duration) (most int) {
	first := 0
	for i := range at {
		for at[i]-at[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func membersInOneZone(n int) []Member {
	list := members(n)
	for i := range list {
		list[i].Zone = 0
	}
	return list
}
