package spread

import (
	"testing"
	"time"

	"frosttide/decision/warmupbudget"
)

// TestColdFleet guards rule 4 for the whole fleet at 300 dispatchers of uneven traffic: of 2,000
// starts hardly one falls with all that may go to a cold or half warm runner going there, and it
// is not left idle. With the bounds open 1,761 of the first and 1,897 of the second fall.
func TestColdFleet(t *testing.T) {
	cdmx := warmupbudget.Rules{InitialCapacity: 0.13, WarmUp: 23 * time.Second, OverloadMultiple: 2.5, OverloadWindow: time.Second}
	perth := warmupbudget.Rules{InitialCapacity: 0.31, WarmUp: 8800 * time.Millisecond, OverloadMultiple: 4, OverloadWindow: 3 * time.Second}
	for _, tc := range []struct {
		name        string
		rules       warmupbudget.Rules
		rate, least float64
		from, over  time.Duration
		falls       int
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
		if f.Falls > tc.falls {
			t.Errorf("%s: %d of 2,000 starts fell, the fullest window held %.2f of what it bears", tc.name, f.Falls, f.Worst)
		}
		if f.Load < tc.least {
			t.Errorf("%s: it got %.2f of what it can do", tc.name, f.Load)
		}
	}
}
