package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestLimiter follows one limiter from Closed to Unlimited.
func TestLimiter(t *testing.T) {
	var d Limiter
	if in, counted := d.Admit(0); !in || counted {
		t.Fatal("a door that nobody set is in the way")
	}
	d.SetLevel(Closed, 0, 0)
	if in, _ := d.Admit(0); in {
		t.Fatal("somebody came in at a closed door")
	}
	d.SetLevel(Limited, 4, 0)
	in := 0
	for range 10 {
		if ok, _ := d.Admit(0); ok {
			in++
		}
	}
	if in != 4 {
		t.Fatalf("%d came in, the window is 4", in)
	}
	for range 4 {
		d.JobEnded(true, time.Millisecond)
	}
	for range 10 {
		if ok, _ := d.Admit(0); ok {
			in++
		}
	}
	if in != 4+8 {
		t.Fatalf("%d came in after four were served, want 12: the window doubles with a round", in)
	}
	d.RunnerRejected(time.Second)
	d.RunnerRejected(time.Second + time.Millisecond)
	if d.window != 4 {
		t.Errorf("the window is %g after a round was turned away, want 4", d.window)
	}
	for d.inFlight > 0 {
		d.JobEnded(true, time.Second)
	}
	for i := range unrestrictedAfter {
		if bears := d.Unrestricted(time.Second); bears != (i >= unrestrictedAfter-8) { // eight were served above without a refusal between
			t.Fatalf("it bears what comes: %t after %d more", bears, i)
		}
		d.Admit(time.Second)
		d.JobEnded(true, time.Second)
	}
}

// TestIdle checks that a limiter which rejected nothing for a whole interval counts as
// unrestricted.
func TestIdle(t *testing.T) {
	var d Limiter
	d.SetLevel(Limited, 4, time.Second)
	for _, tc := range []struct {
		at   time.Duration
		want bool
	}{{time.Second, false}, {2*time.Second - 1, false}, {2 * time.Second, true}} {
		if got := d.Unrestricted(tc.at); got != tc.want {
			t.Errorf("after %s: %t", tc.at-time.Second, got)
		}
	}
}

// TestNeverPastItsWindow checks, for any sequence of arrivals and ends, that the jobs in flight
// never exceed the window, and that the window never exceeds its start plus the served jobs.
func TestNeverPastItsWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Limiter
		first := rapid.IntRange(0, 20).Draw(t, "first")
		d.SetLevel(Limited, first, 0)
		now, open, served := time.Duration(0), 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				room := float64(open) < d.window
				in, _ := d.Admit(now)
				if in != room {
					t.Fatalf("in %t with %d under way of %g", in, open, d.window)
				}
				if in {
					open++
				}
			case 2:
				if open > 0 {
					open--
					ok := rapid.Bool().Draw(t, "served")
					if ok {
						served++
					}
					d.JobEnded(ok, now)
				}
			case 3:
				d.RunnerRejected(now)
			}
			if d.window < minWindow || d.window > float64(max(first, minWindow)+served) {
				t.Fatalf("the window is %g after %d were served", d.window, served)
			}
			most := 2 * time.Second
			if after := d.RetryAfter(rapid.Float64Range(0, 1).Draw(t, "random"), most, now); after < minRetryAfter || after > most {
				t.Fatalf("a client is told to come back after %s", after)
			}
		}
	})
}

// TestAfter has clients come back spread over the time in which as many are served.
func TestAfter(t *testing.T) {
	var d Limiter
	d.SetLevel(Limited, 10, 0)
	for range 10 {
		d.Admit(0)
		d.JobEnded(true, 0)
	}
	d.SetLevel(Closed, 0, 0)
	for range 20 {
		d.Admit(0)
	}
	lo, hi := d.RetryAfter(0, 10*time.Second, 0), d.RetryAfter(1, 10*time.Second, 0)
	if lo != time.Second || hi != 3*time.Second {
		t.Errorf("twenty refused and ten served a second: from %s to %s, want 1 s to 3 s", lo, hi)
	}
}
