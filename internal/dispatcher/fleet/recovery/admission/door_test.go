package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestDoor walks a door from closed to wide.
func TestDoor(t *testing.T) {
	var d Door
	if in, counted := d.Admit(0); !in || counted {
		t.Fatal("a door that nobody set is in the way")
	}
	d.Set(Closed, 0, 0)
	if in, _ := d.Admit(0); in {
		t.Fatal("somebody came in at a closed door")
	}
	d.Set(Ajar, 4, 0)
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
		d.Ended(true, time.Millisecond)
	}
	for range 10 {
		if ok, _ := d.Admit(0); ok {
			in++
		}
	}
	if in != 4+8 {
		t.Fatalf("%d came in after four were served, want 12: the window doubles with a round", in)
	}
	d.TurnedAway(time.Second)
	d.TurnedAway(time.Second + time.Millisecond)
	if d.window != 4 {
		t.Errorf("the window is %g after a round was turned away, want 4", d.window)
	}
	for d.open > 0 {
		d.Ended(true, time.Second)
	}
	for i := range quiet {
		if bears := d.Bears(time.Second); bears != (i >= quiet-8) { // eight were served above without a refusal between
			t.Fatalf("it bears what comes: %t after %d more", bears, i)
		}
		d.Admit(time.Second)
		d.Ended(true, time.Second)
	}
}

// TestIdle has a door count as wide enough where it refused nobody for a span.
func TestIdle(t *testing.T) {
	var d Door
	d.Set(Ajar, 4, time.Second)
	for _, tc := range []struct {
		at   time.Duration
		want bool
	}{{time.Second, false}, {2*time.Second - 1, false}, {2 * time.Second, true}} {
		if got := d.Bears(tc.at); got != tc.want {
			t.Errorf("after %s: %t", tc.at-time.Second, got)
		}
	}
}

// TestNeverPastItsWindow guards runners against a member that has just come back: whatever
// comes and however it ends, no more is under way than the window, and the window is no larger
// than its beginning and what was served.
func TestNeverPastItsWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Door
		first := rapid.IntRange(0, 20).Draw(t, "first")
		d.Set(Ajar, first, 0)
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
					d.Ended(ok, now)
				}
			case 3:
				d.TurnedAway(now)
			}
			if d.window < least || d.window > float64(max(first, least)+served) {
				t.Fatalf("the window is %g after %d were served", d.window, served)
			}
			most := 2 * time.Second
			if after := d.After(rapid.Float64Range(0, 1).Draw(t, "random"), most, now); after < soonest || after > most {
				t.Fatalf("a client is told to come back after %s", after)
			}
		}
	})
}

// TestAfter has clients come back spread over the time in which as many are served.
func TestAfter(t *testing.T) {
	var d Door
	d.Set(Ajar, 10, 0)
	for range 10 {
		d.Admit(0)
		d.Ended(true, 0)
	}
	d.Set(Closed, 0, 0)
	for range 20 {
		d.Admit(0)
	}
	lo, hi := d.After(0, 10*time.Second, 0), d.After(1, 10*time.Second, 0)
	if lo != time.Second || hi != 3*time.Second {
		t.Errorf("twenty refused and ten served a second: from %s to %s, want 1 s to 3 s", lo, hi)
	}
}
