package part

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

const s = time.Second

// TestSpeed checks the speed that is estimated from progress reports and from their absence.
func TestSpeed(t *testing.T) {
	type report struct {
		attempt  int
		fraction float64
		at       time.Duration
	}
	for _, tc := range []struct {
		name           string
		work           float64
		interval       time.Duration
		reports        []report
		now            time.Duration
		wantSpeed      float64
		wantUpperBound bool
		wantRejected   int
		wantOverdue    bool
	}{
		{"as fast as the hint", 10, 2 * s, []report{{0, 0.2, 2 * s}, {0, 0.4, 4 * s}}, 4 * s, 1, false, 0, false},
		{"three times slower", 9, 2 * s, []report{{0, 2.0 / 27, 2 * s}, {0, 4.0 / 27, 4 * s}}, 4 * s, 1.0 / 3, false, 0, false},
		{"hint is too small, so it looks slow", 10, 2 * s, []report{{0, 0.02, 2 * s}}, 2 * s, 0.1, false, 0, false},
		{"one report is overdue", 10, 2 * s, []report{{0, 0.2, 2 * s}}, 6 * s, 1, true, 0, false},
		{"hung after one report", 10, 2 * s, []report{{0, 0.2, 2 * s}}, 22 * s, 10.0 / 22, true, 0, true},
		{"no progress after 0.99", 10, 2 * s, []report{{0, 0.99, 9 * s}, {0, 0.99, 11 * s}, {0, 0.99, 13 * s}, {0, 0.99, 15 * s}}, 15 * s, 0, false, 0, false},
		{"progress reports are disabled", 10, 0, nil, 20 * s, 0.5, true, 0, false},
		{"fraction decreases", 10, 2 * s, []report{{0, 0.2, 2 * s}, {0, 0.1, 4 * s}}, 4 * s, 1, false, 1, false},
		{"reports out of order", 10, 2 * s, []report{{0, 0.4, 4 * s}, {0, 0.2, 2 * s}}, 4 * s, 1, false, 1, false},
		{"report of another attempt", 10, 2 * s, []report{{7, 0.9, 2 * s}, {0, 0.2, 2 * s}}, 2 * s, 1, false, 1, false},
		{"invalid fractions", 10, 2 * s, []report{{0, math.NaN(), 1 * s}, {0, 1.5, 1 * s}, {0, -1, 1 * s}, {0, 0.2, 2 * s}}, 2 * s, 1, false, 3, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := Part{Work: tc.work}
			p.Send("w", 0, 0)
			p.Start(0, 0)
			for _, r := range tc.reports {
				p.Report(r.attempt, r.fraction, r.at)
			}
			v, upperBound, ok := p.Speed(tc.now, tc.interval)
			if !ok || math.Abs(v-tc.wantSpeed) > 1e-9 || upperBound != tc.wantUpperBound || p.RejectedReports != tc.wantRejected || p.ReportsOverdue(tc.now, tc.interval) != tc.wantOverdue {
				t.Errorf("got speed %g, upper bound %t, known %t, %d rejected reports, overdue %t; want the values of the test case", v, upperBound, ok, p.RejectedReports, p.ReportsOverdue(tc.now, tc.interval))
			}
		})
	}
}

// TestRandomEvents checks invariants under random events, some of them late or of an earlier
// attempt: a speed is finite and not negative, the remaining time is not negative, a fraction never
// decreases within an attempt, and a new attempt begins at 0.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Part{Work: rapid.Float64Range(0.001, 1000).Draw(t, "work")}
		now, attempt, fraction := time.Duration(0), 0, 0.0
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			at := now - time.Duration(rapid.IntRange(0, 3000).Draw(t, "late"))*time.Millisecond
			reported := attempt - rapid.IntRange(0, 1).Draw(t, "earlier")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				attempt++
				p.Send("w", attempt, now)
				fraction = 0
			case 1:
				p.Start(reported, at)
			case 2:
				p.End(reported, rapid.Bool().Draw(t, "served"), now)
			default:
				p.Report(reported, rapid.Float64().Draw(t, "share"), at)
			}
			if p.Fraction() < fraction {
				t.Fatalf("fraction decreased from %g to %g", fraction, p.Fraction())
			}
			fraction = p.Fraction()
			if v, _, ok := p.Speed(now, 2*s); ok && !(v >= 0 && !math.IsInf(v, 0)) {
				t.Fatalf("got speed %g, want a finite, non-negative one", v)
			}
			if p.Remaining(now, 1) < 0 {
				t.Fatal("got a negative remaining time, want at least 0")
			}
		}
	})
}
