package decision

import (
	"testing"
	"time"
)

// TestHedgedRequest has a request that lags behind its like sent a second time where every rule lets it,
// and only then: the rules on copies, on effects and on attempts, and the credit for retries, hold
// for copies too.
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
		zone  int // of the other worker
		twice bool
		want  int // sends in all
	}{
		{"a copy", class, func(*Config) {}, 0, false, 2},
		{"the first gives way to a third", class, func(*Config) {}, 0, true, 3},
		{"no third past the attempts", class, func(c *Config) { c.Limits.MaxAttempts = 2 }, 0, true, 2},
		{"no third without a recall", class, func(c *Config) { c.Limits.CancelAllowed = false }, 0, true, 2},
		{"copies are not allowed", class, func(c *Config) { c.Limits.HedgingAllowed = false }, 0, false, 1},
		{"it has had its attempts", class, func(c *Config) { c.Limits.MaxAttempts = 1 }, 0, false, 1},
		{"it must not run twice", unsafe, func(*Config) {}, 0, false, 1},
		{"keyed, inside its group", keyed, func(*Config) {}, 0, false, 2},
		{"keyed, outside of it", keyed, func(*Config) {}, 1, false, 1},
	} {
		cfg := Config{Instances: 1, Zones: 2, Classes: []Class{tc.class}, StartEvents: true, Limits: Limits{HedgingAllowed: true, CancelAllowed: true, MaxAttempts: 3}}
		tc.edit(&cfg)
		d, err := New(cfg, 1)
		if err != nil {
			t.Fatal(err)
		}
		sends, to, at := 0, map[WorkerID]int{}, map[int]WorkerID{}
		step := func(now time.Duration, ev Event) {
			for events := []Event{ev}; len(events) > 0; {
				acts := d.Step(now, events, nil)
				events = nil
				for _, a := range acts {
					switch a.Type {
					case Send:
						sends++
						at[a.Attempt] = a.Worker
						to[a.Worker]++
					case Cancel:
						events = append(events, Event{Type: AttemptEnded, Request: 1, Attempt: a.Attempt, Worker: at[a.Attempt], Outcome: Canceled})
					}
				}
			}
		}
		step(time.Hour, Event{Type: MembersReplaced, Members: []Member{{Worker: 1}, {Worker: 2, Zone: tc.zone}, {Worker: 3, Zone: tc.zone}}})
		step(time.Hour, Event{Type: RequestArrived, Request: 1, Deadline: time.Hour + time.Minute, Slots: 1})
		step(time.Hour, Event{Type: AttemptStarted, Request: 1, Worker: at[0]})
		step(time.Hour+5*time.Second, Event{Type: RequestStraggling, Request: 1})
		if tc.twice {
			step(time.Hour+6*time.Second, Event{Type: RequestStraggling, Request: 1})
		}
		if sends != tc.want || to[1] > 1 || to[2] > 1 || to[3] > 1 {
			t.Errorf("%s: %d sends, %v", tc.name, sends, to)
		}
	}
}
