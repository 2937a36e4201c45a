package stall

import (
	"testing"
	"time"
)

// TestObserve checks that stalls and steps of the wall clock are told apart from each other and
// from ordinary progress.
func TestObserve(t *testing.T) {
	s := time.Second
	for _, tc := range []struct {
		name               string
		bound              time.Duration
		monotonic, wall    time.Duration // since the previous observation
		stalled, clockStep time.Duration // wanted results
	}{
		{"running", s, s / 5, s / 5, 0, 0},
		{"just within the bound", s, s - 1, s - 1, 0, 0},
		{"stalled", s, 3 * s, 3 * s, 3 * s, 0},
		{"clock set forward", s, s / 5, 3600*s + s/5, 0, 3600 * s},
		{"clock set back", s, s / 5, s/5 - 60*s, 0, -60 * s},
		{"stalled, and clock set forward", s, 2 * s, 12 * s, 2 * s, 10 * s},
		{"clock slewed", s, s / 5, s/5 + s/100, 0, 0},
		{"detection is disabled", 0, 3 * s, 60 * s, 0, 0},
	} {
		w := Watch{Bound: tc.bound}
		if stalled, clockStep := w.Observe(5*s, 1000*s); stalled != 0 || clockStep != 0 {
			t.Errorf("%s: first observation: got stall %s and clock step %s, want 0 and 0", tc.name, stalled, clockStep)
		}
		if stalled, clockStep := w.Observe(5*s+tc.monotonic, 1000*s+tc.wall); stalled != tc.stalled || clockStep != tc.clockStep {
			t.Errorf("%s: got stall %s and clock step %s, want %s and %s", tc.name, stalled, clockStep, tc.stalled, tc.clockStep)
		}
	}
}
