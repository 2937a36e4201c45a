package part

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

const s = time.Second

// TestSpeed checks the speed that reports, and their absence, lead to.
func TestSpeed(t *testing.T) {
	type report struct {
		attempt  int
		fraction float64
		at       time.Duration
	}
	for _, tc := range []struct {
		name     string
		work     float64
		interval time.Duration
		reports  []report
		now      time.Duration
		v        float64
		bound    bool
		rejected int
		overdue  bool
	}{
		{"as fast as its hint", 10, 2 * s, []report{{0, 0.2, 2 * s}, {0, 0.4, 4 * s}}, 4 * s, 1, false, 0, false},
		{"three times slower", 9, 2 * s, []report{{0, 2.0 / 27, 2 * s}, {0, 4.0 / 27, 4 * s}}, 4 * s, 1.0 / 3, false, 0, false},
		{"heavier than its hint looks slow", 10, 2 * s, []report{{0, 0.02, 2 * s}}, 2 * s, 0.1, false, 0, false},
		{"late for one report", 10, 2 * s, []report{{0, 0.2, 2 * s}}, 6 * s, 1, true, 0, false},
		{"it has hung", 10, 2 * s, []report{{0, 0.2, 2 * s}}, 22 * s, 10.0 / 22, true, 0, true},
		{"it stands at 0.99", 10, 2 * s, []report{{0, 0.99, 9 * s}, {0, 0.99, 11 * s}, {0, 0.99, 13 * s}, {0, 0.99, 15 * s}}, 15 * s, 0, false, 0, false},
		{"no reports are told", 10, 0, nil, 20 * s, 0.5, true, 0, false},
		{"it jumps back", 10, 2 * s, []report{{0, 0.2, 2 * s}, {0, 0.1, 4 * s}}, 4 * s, 1, false, 1, false},
		{"out of order", 10, 2 * s, []report{{0, 0.4, 4 * s}, {0, 0.2, 2 * s}}, 4 * s, 1, false, 1, false},
		{"of an earlier attempt", 10, 2 * s, []report{{7, 0.9, 2 * s}, {0, 0.2, 2 * s}}, 2 * s, 1, false, 1, false},
		{"no share at all", 10, 2 * s, []report{{0, math.NaN(), 1 * s}, {0, 1.5, 1 * s}, {0, -1, 1 * s}, {0, 0.2, 2 * s}}, 2 * s, 1, false, 3, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := Part{Work: tc.work}
			p.Send("w", 0, 0)
			p.Start(0, 0)
			for _, r := range tc.reports {
				p.Report(r.attempt, r.fraction, r.at)
			}
			v, bound, ok := p.Speed(tc.now, tc.interval)
			if !ok || math.Abs(v-tc.v) > 1e-9 || bound != tc.bound || p.RejectedReports != tc.rejected || p.ReportsOverdue(tc.now, tc.interval) != tc.overdue {
				t.Errorf("%g, bound %t, known %t, %d passed over, silent %t", v, bound, ok, p.RejectedReports, p.ReportsOverdue(tc.now, tc.interval))
			}
		})
	}
}

// TestAnyReports checks invariants under random events in random order: a speed is finite and not
// negative, the remaining time is not negative, a fraction never decreases within an attempt, and a
// new attempt begins at 0.
func TestAnyReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Part{Work: rapid.Float64Range(0.001, 1000).Draw(t, "work")}
		now, attempt, fraction := time.Duration(0), 0, 0.0
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			at := now - time.Duration(rapid.IntRange(0, 3000).Draw(t, "late"))*time.Millisecond
			of := attempt - rapid.IntRange(0, 1).Draw(t, "earlier")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				attempt++
				p.Send("w", attempt, now)
				fraction = 0
			case 1:
				p.Start(of, at)
			case 2:
				p.End(of, rapid.Bool().Draw(t, "served"), now)
			default:
				p.Report(of, rapid.Float64().Draw(t, "share"), at)
			}
			if p.Fraction() < fraction {
				t.Fatalf("from %g back to %g", fraction, p.Fraction())
			}
			fraction = p.Fraction()
			if v, _, ok := p.Speed(now, 2*s); ok && !(v >= 0 && !math.IsInf(v, 0)) {
				t.Fatalf("a speed of %g", v)
			}
			if p.Remaining(now, 1) < 0 {
				t.Fatal("less than nothing is left")
			}
		}
	})
}
