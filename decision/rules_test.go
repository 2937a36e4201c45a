package decision

import (
	"slices"
	"testing"
	"time"
)

// TestRulesHoldOnRandomSequences checks all four rules on random events, with the settings of several
// deployments.
func TestRulesHoldOnRandomSequences(t *testing.T) {
	variants := map[string]func(*Config){
		"as given":        func(*Config) {},
		"no hedging":      func(c *Config) { c.Limits.HedgingAllowed = false },
		"no start events": func(c *Config) { c.StartEvents = false },
		"no cancel":       func(c *Config) { c.Limits.CancelAllowed = false },
		"pushed list":     func(c *Config) { c.PullMembers = false },
		"one attempt":     func(c *Config) { c.Limits.MaxAttempts = 1 },
		"no limits":       func(c *Config) { c.Limits.MaxAttempts = 0; c.WeightKnown = true },
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
				for _, v := range c.violations {
					t.Errorf("seed %d: %s", seed, v)
				}
				if c.sends < 500 || c.responses < 50 {
					t.Errorf("seed %d: %d sends and %d answers, want at least 500 and 50", seed, c.sends, c.responses)
				}
			}
		})
	}
}

// TestCheckerCatchesBrokenRules checks that the checker can fail: each mutation changes the actions of a
// correct dispatcher in one way.
func TestCheckerCatchesBrokenRules(t *testing.T) {
	mutations := map[string]func(time.Duration, []Event, []Action) []Action{
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
		"rejects instead of failing": func(_ time.Duration, _ []Event, out []Action) []Action {
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
	for name, mutate := range mutations {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			d, err := New(cfg, 1)
			if err != nil {
				t.Fatal(err)
			}
			c := runSequence(cfg, 1, 1500, func(now time.Duration, events []Event) []Action {
				return mutate(now, events, d.Step(now, events, nil))
			})
			if len(c.violations) == 0 {
				t.Error("the checker reported no violation, want at least one")
			}
		})
	}
}

// TestSameEventsSameActions checks that decisions are deterministic, for instance independent of map order.
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
			t.Fatal("the same events and seed led to different actions")
		}
	}
}
