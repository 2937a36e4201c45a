package decision

import (
	"testing"
	"time"
)

// TestHedgedRequest checks that a straggling request gets a second attempt only where the limits, its
// effect, its attempts and the retry budget allow it.
func TestHedgedRequest(t *testing.T) {
	class := Class{ClientTimeout: time.Minute, Objective: 10 * time.Second, WorkerKind: -1}
	keyed := class
	keyed.Effect, keyed.DedupScope, keyed.DedupWindow = Keyed, ScopeZone, time.Minute
	unsafe := class
	unsafe.Effect = Unsafe
	for _, tc := range []struct {
		name  string
		class Class
		edit  func(*Config)
		zone  int  // of workers 2 and 3
		twice bool // the request straggles again
		want  int  // number of sends
	}{
		{"a second attempt", class, func(*Config) {}, 0, false, 2},
		{"the first is canceled for a third", class, func(*Config) {}, 0, true, 3},
		{"no third beyond the maximum", class, func(c *Config) { c.Limits.MaxAttempts = 2 }, 0, true, 2},
		{"no third without cancels", class, func(c *Config) { c.Limits.CancelAllowed = false }, 0, true, 2},
		{"hedging is not allowed", class, func(c *Config) { c.Limits.HedgingAllowed = false }, 0, false, 1},
		{"attempts exhausted", class, func(c *Config) { c.Limits.MaxAttempts = 1 }, 0, false, 1},
		{"unsafe", unsafe, func(*Config) {}, 0, false, 1},
		{"keyed, within its scope", keyed, func(*Config) {}, 0, false, 2},
		{"keyed, outside its scope", keyed, func(*Config) {}, 1, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := Config{Instances: 1, Zones: 2, Classes: []Class{tc.class}, StartEvents: true,
				Limits: Limits{HedgingAllowed: true, CancelAllowed: true, MaxAttempts: 3}}
			tc.edit(&cfg)
			d, err := New(cfg, 1)
			if err != nil {
				t.Fatal(err)
			}
			h := hedgeDriver{d: d, sendsTo: map[WorkerID]int{}, workerOf: map[int]WorkerID{}}
			h.step(time.Hour, Event{Type: MembersReplaced,
				Members: []Member{{Worker: 1}, {Worker: 2, Zone: tc.zone}, {Worker: 3, Zone: tc.zone}}})
			h.step(time.Hour, Event{Type: RequestArrived, Request: 1, Deadline: time.Hour + time.Minute, Slots: 1})
			h.step(time.Hour, Event{Type: AttemptStarted, Request: 1, Worker: h.workerOf[0]})
			h.step(time.Hour+5*time.Second, Event{Type: RequestStraggling, Request: 1})
			if tc.twice {
				h.step(time.Hour+6*time.Second, Event{Type: RequestStraggling, Request: 1})
			}
			if h.sends != tc.want || h.sendsTo[1] > 1 || h.sendsTo[2] > 1 || h.sendsTo[3] > 1 {
				t.Errorf("%d sends, by worker %v; want %d, at most one to each worker", h.sends, h.sendsTo, tc.want)
			}
		})
	}
}

// hedgeDriver drives a dispatcher with one request, ends canceled attempts at once, and counts the sends.
type hedgeDriver struct {
	d        *Dispatcher
	sends    int
	sendsTo  map[WorkerID]int
	workerOf map[int]WorkerID // by the number of the attempt
}

// step delivers an event and then the ends of the attempts that it cancels.
func (h *hedgeDriver) step(now time.Duration, ev Event) {
	for events := []Event{ev}; len(events) > 0; {
		actions := h.d.Step(now, events, nil)
		events = nil
		for _, a := range actions {
			switch a.Type {
			case Send:
				h.sends++
				h.workerOf[a.Attempt] = a.Worker
				h.sendsTo[a.Worker]++
			case Cancel:
				events = append(events, Event{Type: AttemptEnded, Request: 1, Attempt: a.Attempt,
					Worker: h.workerOf[a.Attempt], Outcome: Canceled})
			}
		}
	}
}
