package spread

import (
	"testing"
	"time"

	"frosttide/decision/warmupbudget"
)

// TestColdFleet guards against 300 dispatchers with uneven traffic that together exceed rule 4's
// limit of a cold or half-warm runner. Each sends all the work that its budget allows: of 2,000
// starts hardly one may exceed the limit, and the runner may not be left idle. Without the budget,
// 1,761 starts of the first case and 1,897 of the second exceed it.
func TestColdFleet(t *testing.T) {
	cdmx := warmupbudget.Rules{InitialCapacity: 0.13, WarmUp: 23 * time.Second, OverloadMultiple: 2.5, OverloadWindow: time.Second}
	perth := warmupbudget.Rules{InitialCapacity: 0.31, WarmUp: 8800 * time.Millisecond, OverloadMultiple: 4, OverloadWindow: 3 * time.Second}
	for _, tc := range []struct {
		name          string
		rules         warmupbudget.Rules
		rate, minLoad float64
		from, over    time.Duration
		maxFalls      int
	}{
		{"fast", cdmx, 7.5, 0.5, 0, 8 * time.Second, 8},
		{"slow", cdmx, 2.8, 0.5, 0, 8 * time.Second, 4},
		{"fast, half warm", cdmx, 7.5, 0.5, 8 * time.Second, 9 * time.Second, 20},
		{"slow, half warm", cdmx, 2.8, 0.5, 8 * time.Second, 9 * time.Second, 20},
		{"long windows", perth, 4, 0.5, 0, 8 * time.Second, 0},
	} {
		d := ColdDraws{Dispatchers: 300, Rules: tc.rules, PerSecond: 1, Rate: tc.rate, From: tc.from, Over: tc.over}
		f := d.Run(2_000, 7)
		t.Logf("%s: %+v", tc.name, f)
		if f.Falls > tc.maxFalls {
			t.Errorf("%s: got %d of 2,000 starts above the limit (fullest window: %.2f of it), more than the case allows", tc.name, f.Falls, f.Worst)
		}
		if f.Load < tc.minLoad {
			t.Errorf("%s: got %.2f of the work that the runner can do, less than the case requires", tc.name, f.Load)
		}
	}
}
