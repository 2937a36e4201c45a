package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestLimiter checks one limiter through its levels: its window grows with served jobs, is halved
// when runners reject jobs, and ends unrestricted.
func TestLimiter(t *testing.T) {
	var l Limiter
	if admitted, counted := l.Admit(0); !admitted || counted {
		t.Fatal("zero limiter rejects or counts a job, want it admitted and not counted")
	}
	l.SetLevel(Closed, 0, 0)
	if admitted, _ := l.Admit(0); admitted {
		t.Fatal("closed limiter admits a job, want it rejected")
	}
	l.SetLevel(Limited, 4, 0)
	admitted := 0
	for range 10 {
		if ok, _ := l.Admit(0); ok {
			admitted++
		}
	}
	if admitted != 4 {
		t.Fatalf("got %d admitted jobs, want 4, the window", admitted)
	}
	for range 4 {
		l.JobEnded(true, time.Millisecond)
	}
	for range 10 {
		if ok, _ := l.Admit(0); ok {
			admitted++
		}
	}
	if admitted != 4+8 {
		t.Fatalf("got %d admitted jobs after four were served, want 12: the window doubles per round", admitted)
	}
	l.RunnerRejected(time.Second)
	l.RunnerRejected(time.Second + time.Millisecond)
	if l.window != 4 {
		t.Errorf("got window %g after two rejections by runners in quick succession, want 4", l.window)
	}
	for l.inFlight > 0 {
		l.JobEnded(true, time.Second)
	}
	for i := range unrestrictedAfter {
		if unrestricted := l.Unrestricted(time.Second); unrestricted != (i >= unrestrictedAfter-8) { // eight were served above without a rejection by the limiter in between
			t.Fatalf("got unrestricted %t after %d more served jobs, want the opposite", unrestricted, i)
		}
		l.Admit(time.Second)
		l.JobEnded(true, time.Second)
	}
}

// TestIdle checks that a limiter that has rejected nothing for a whole count interval counts as
// unrestricted, even without served jobs.
func TestIdle(t *testing.T) {
	var l Limiter
	l.SetLevel(Limited, 4, time.Second)
	for _, tc := range []struct {
		at   time.Duration
		want bool
	}{{time.Second, false}, {2*time.Second - 1, false}, {2 * time.Second, true}} {
		if got := l.Unrestricted(tc.at); got != tc.want {
			t.Errorf("after %s: got unrestricted %t, want the opposite", tc.at-time.Second, got)
		}
	}
}

// TestWindowBounds checks, for any sequence of arrivals, ends and rejections, that a job is
// admitted only if fewer jobs than the window are in flight, that the window never exceeds its
// start plus the served jobs, and that retry delays stay within their bounds.
func TestWindowBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Limiter
		initialWindow := rapid.IntRange(0, 20).Draw(t, "first")
		l.SetLevel(Limited, initialWindow, 0)
		now, inFlight, served := time.Duration(0), 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				hasRoom := float64(inFlight) < l.window
				admitted, _ := l.Admit(now)
				if admitted != hasRoom {
					t.Fatalf("got admitted %t with %d jobs in flight and window %g, want the opposite", admitted, inFlight, l.window)
				}
				if admitted {
					inFlight++
				}
			case 2:
				if inFlight > 0 {
					inFlight--
					succeeded := rapid.Bool().Draw(t, "served")
					if succeeded {
						served++
					}
					l.JobEnded(succeeded, now)
				}
			case 3:
				l.RunnerRejected(now)
			}
			if l.window < minWindow || l.window > float64(max(initialWindow, minWindow)+served) {
				t.Fatalf("got window %g after %d served jobs, want at least minWindow and at most the start plus the served jobs", l.window, served)
			}
			maxAfter := 2 * time.Second
			if after := l.RetryAfter(rapid.Float64Range(0, 1).Draw(t, "random"), maxAfter, now); after < minRetryAfter || after > maxAfter {
				t.Fatalf("got retry delay %s, want at least minRetryAfter and at most maxAfter", after)
			}
		}
	})
}

// TestRetryAfter checks that the retry delays of rejected clients spread around the time in which
// as many jobs are served.
func TestRetryAfter(t *testing.T) {
	var l Limiter
	l.SetLevel(Limited, 10, 0)
	for range 10 {
		l.Admit(0)
		l.JobEnded(true, 0)
	}
	l.SetLevel(Closed, 0, 0)
	for range 20 {
		l.Admit(0)
	}
	shortest, longest := l.RetryAfter(0, 10*time.Second, 0), l.RetryAfter(1, 10*time.Second, 0)
	if shortest != time.Second || longest != 3*time.Second {
		t.Errorf("twenty rejected and ten served jobs: got retry delays from %s to %s, want 1 s to 3 s", shortest, longest)
	}
}
