package stall

import (
	"testing"
	"time"
)

// TestObserve distinguishes stalls and set clocks from ordinary progress.
func TestObserve(t *testing.T) {
	s := time.Second
	for _, tc := range []struct {
		name         string
		bound        time.Duration
		steady, wall time.Duration // since the look before
		still, set   time.Duration
	}{
		{"it works", s, s / 5, s / 5, 0, 0},
		{"a moment late", s, s - 1, s - 1, 0, 0},
		{"it stood still", s, 3 * s, 3 * s, 3 * s, 0},
		{"the clock was set forward", s, s / 5, 3600*s + s/5, 0, 3600 * s},
		{"and back", s, s / 5, s/5 - 60*s, 0, -60 * s},
		{"both", s, 2 * s, 12 * s, 2 * s, 10 * s},
		{"the clock is trimmed", s, s / 5, s/5 + s/100, 0, 0},
		{"nobody watches", 0, 3 * s, 60 * s, 0, 0},
	} {
		w := Watch{Bound: tc.bound}
		if still, set := w.Observe(5*s, 1000*s); still != 0 || set != 0 {
			t.Errorf("%s: the first look noticed %s, %s", tc.name, still, set)
		}
		if still, set := w.Observe(5*s+tc.steady, 1000*s+tc.wall); still != tc.still || set != tc.set {
			t.Errorf("%s: %s, %s, want %s, %s", tc.name, still, set, tc.still, tc.set)
		}
	}
}
