package wire

import (
	"strings"
	"testing"
	"time"

	"frosttide/decision"
)

const sampleSettings = `{"balancers": 4, "me": 2, "zone": 1, "zones": ["a", "b"], "quantum": 4000, "discovery": "on_request",
	"weights": "rough", "something-new": {"x": [1]}, "deductions": {"cross-zone": 0.02},
	"family-info": {"class-kind": [-1, 2], "class-priority": [0, 1], "class-stretch": [1.75, 2.5],
		"tells-start": true, "report-x0": "free slots", "report-x1": "free memory"},
	"policy-limits": {"send-cap": 3, "second-copies": true, "may-cancel": true, "probing": true, "retry-after": true,
		"max-retry-after": 2000000, "connect-timeout": 200000},
	"report": {"columns": ["eps", "inflight", "x0", "x1"], "source": "probe"},
	"rules": {"cold-from": 0.36, "warm-within": 8600000, "fall-multiple": 3.0, "fall": 2000000, "drain-grace": 500000,
		"ask-within": 10000000},
	"request-classes": [
		{"aim": 200000, "effect": "safe", "give-up": 5000000, "group": "all", "worth": 1.0, "late-worth": 0.25},
		{"aim": 500000, "effect": "keyed", "give-up": 20000000, "group": "cell", "window": 30000000, "worth": 5.0}]}`

// TestParseSettings checks what the keys of the settings are converted to.
func TestParseSettings(t *testing.T) {
	cfg, err := ParseSettings([]byte(sampleSettings))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Instance != 2 || cfg.Instances != 4 || cfg.Zone != 1 || !cfg.PullMembers || !cfg.WeightKnown || !cfg.StartEvents {
		t.Errorf("got general settings %+v", cfg)
	}
	want := decision.Class{Effect: decision.Keyed, DedupScope: decision.ScopeCell, DedupWindow: 30 * time.Second,
		Objective: 500 * time.Millisecond, Stretch: 2.5, ClientTimeout: 20 * time.Second, Value: 5, WorkerKind: 2, Priority: 1}
	if len(cfg.Classes) != 2 || cfg.Classes[1] != want {
		t.Errorf("got classes %+v, want the second to be %+v", cfg.Classes, want)
	}
	metrics := []decision.Metric{decision.MetricErrorRate, decision.MetricInFlight,
		decision.MetricFreeSlots, decision.MetricFreeMemory}
	for i, m := range metrics {
		if i >= len(cfg.Metrics) || cfg.Metrics[i] != m {
			t.Fatalf("got metrics %v, want %v", cfg.Metrics, metrics)
		}
	}
	if cfg.Rules.InitialCapacity != 0.36 || cfg.Rules.WarmUp != 8600*time.Millisecond || cfg.Limits.MaxAttempts != 3 {
		t.Errorf("got rules %+v and limits %+v", cfg.Rules, cfg.Limits)
	}
}

// TestParseSettingsDefaults checks the defaults of absent keys.
func TestParseSettingsDefaults(t *testing.T) {
	cfg, err := ParseSettings([]byte(`{"request-classes": [{}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Instances != 1 || cfg.Limits.MaxAttempts != 2 || cfg.Rules.InitialCapacity != 1 || cfg.PullMembers {
		t.Errorf("got defaults %+v", cfg)
	}
	if c := cfg.Classes[0]; c.Effect != decision.Safe || c.Value != 1 || c.WorkerKind != -1 {
		t.Errorf("got class defaults %+v", c)
	}
}

// TestParseSettingsErrors checks that the error for an invalid setting names its key.
func TestParseSettingsErrors(t *testing.T) {
	tests := map[string]string{
		`{`:                       "settings",
		`{"request-classes": []}`: "request-classes",
		`{"balancers": "many", "request-classes": [{}]}`:                       "balancers",
		`{"balancers": 0, "request-classes": [{}]}`:                            "balancers: 0",
		`{"balancers": -3, "request-classes": [{}]}`:                           "balancers: -3",
		`{"balancers": 99999999, "request-classes": [{}]}`:                     "balancers: 99999999",
		`{"balancers": 80, "me": 80, "request-classes": [{}]}`:                 "me: 80",
		`{"me": 1, "request-classes": [{}]}`:                                   "me: 1",
		`{"balancers": 80, "me": -1, "request-classes": [{}]}`:                 "me: -1",
		`{"rules": {"cold-from": 1e999}, "request-classes": [{}]}`:             "rules.cold-from",
		`{"rules": {"cold-from": 1.5}, "request-classes": [{}]}`:               "rules.cold-from",
		`{"rules": {"drain-grace": -1}, "request-classes": [{}]}`:              "rules.drain-grace",
		`{"policy-limits": {"connect-timeout": -5}, "request-classes": [{}]}`:  "policy-limits.connect-timeout",
		`{"request-classes": [{}, {"aim": -1}]}`:                               "request-classes[1].aim",
		`{"request-classes": [{"effect": "maybe"}]}`:                           "request-classes[0].effect",
		`{"request-classes": [{"group": "street"}]}`:                           "request-classes[0].group",
		`{"request-classes": [{"worth": -2}]}`:                                 "request-classes[0].worth",
		`{"tenants": [{"quota-per-s": -1}], "request-classes": [{}]}`:          "tenants[0].quota-per-s",
		`{"family-info": {"class-stretch": [-1]}, "request-classes": [{}]}`:    "family-info.class-stretch[0]",
		`{"family-info": {"tells-start": "perhaps"}, "request-classes": [{}]}`: "family-info.tells-start",
		`{"request-classes": [{"give-up": 9000000000000000000}]}`:              "request-classes[0].give-up",
		`{"discovery": "shouted", "request-classes": [{}]}`:                    "discovery",
		`{"report": {"source": "rumour"}, "request-classes": [{}]}`:            "report.source",
		`{"rules": {"fall-multiple": -3}, "request-classes": [{}]}`:            "rules.fall-multiple",
	}
	for text, key := range tests {
		t.Run(text, func(t *testing.T) {
			_, err := ParseSettings([]byte(text))
			if err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("got error %v, want one that names %s", err, key)
			}
		})
	}
}

// FuzzSettings looks for settings that cause a panic, or that ParseSettings accepts but
// decision.New or ParseNames rejects.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"balancers": 2, "me": 1, "discovery": "pushed", "request-classes": [{"effect": "keyed", "aim": 5}], "tenants": [{"name": 3, "quota-per-s": 2}],
		"report": {"source": "answers", "columns": ["queue", "x0"]}, "family-info": {"report-x0": "free slots", "class-stretch": [1.5]}}`))
	f.Add([]byte(`{"request-classes": [{}], "tenants": [{}], "zones": [1, "b", null]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := ParseSettings(text)
		if err != nil {
			return
		}
		if _, err := decision.New(cfg, 1); err != nil {
			t.Errorf("decision.New rejects accepted settings %s: %v", text, err)
		}
		if _, err := ParseNames(text); err != nil {
			t.Errorf("ParseNames rejects accepted settings: %v", err)
		}
	})
}
