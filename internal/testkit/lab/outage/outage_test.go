package outage

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var small = Settings{Mode: Trusted, Dispatchers: 4, Runners: 40, Retired: 0.1, Draining: 0.1, BootSpread: 3 * time.Second, Rate: 200,
	Run: 50 * time.Millisecond, Roster: 30 * time.Second, Length: 40 * time.Second, Seed: 1}

// TestPowerCut guards against faults in the interplay of the roster policy and the decision module
// that tests of either can miss: no cold runner gets more work than its limit, no draining runner
// is used, and every dispatcher serves a job within 5 s. Equal seeds have to give equal results.
func TestPowerCut(t *testing.T) {
	for seed := range uint64(5) {
		set := small
		set.Seed = seed
		r := Run(set)
		if r.Fallen > 0 || r.Worst > 1 || r.ToDraining > 0 {
			t.Errorf("seed %d: got %d runners crashed, peak load %.2f of the limit, %d jobs to draining runners; want 0, at most 1, 0", seed, r.Fallen, r.Worst, r.ToDraining)
		}
		for i, first := range r.FirstServed {
			if first > 5*time.Second {
				t.Errorf("seed %d: dispatcher %d: got the first job served after %s, want at most 5s", seed, i, first)
			}
		}
		if diff := cmp.Diff(r, Run(set)); diff != "" {
			t.Errorf("seed %d: a second run differs (-first +second):\n%s", seed, diff)
		}
	}
}

// TestOverload guards against dispatchers that together exceed the limit of a cold runner. The load
// is three times the cold fleet's capacity, so that every dispatcher uses its whole share of the
// limit and an excess from two rules that each allow work shows.
func TestOverload(t *testing.T) {
	r := Run(Settings{Mode: Trusted, Dispatchers: 8, Runners: 200, Retired: 0.05, Draining: 0.05, BootSpread: 10 * time.Second, Rate: 1000,
		Run: 300 * time.Millisecond, Roster: 40 * time.Second, Length: 20 * time.Second, Seed: 1})
	if r.Fallen > 0 || r.Worst > 1 {
		t.Errorf("got %d runners crashed, peak load %.2f of the limit; want 0, at most 1", r.Fallen, r.Worst)
	}
}

// TestBaselines guards against a simulation in which the roster policy makes no difference: without
// a stored list no job is served at first, and with a list used without probes runners crash.
func TestBaselines(t *testing.T) {
	set := small
	set.Mode = Nothing
	if r := Run(set); r.Served[0] > 0 || r.Fallen > 0 {
		t.Errorf("without a stored list: got a fraction of %.2f served in the first 5 s, or a crashed runner; want neither", r.Served[0])
	}
	set.Mode, set.Rate = Blind, 600
	if r := Run(set); r.Fallen == 0 {
		t.Error("a stored list used without probes: got no runner crashed, want at least one")
	}
}

// TestRosterRecovers guards against overload of a roster of fixed capacity by fifty dispatchers
// that start together: all get the list soon after it is back, with few calls.
func TestRosterRecovers(t *testing.T) {
	set := small
	set.Dispatchers, set.Rate = 50, 50
	r := Run(set)
	if late := r.Listed - set.Roster; late <= 0 || late > 10*time.Second {
		t.Errorf("got the last list %s after the roster came back, want more than 0s and at most 10s", late)
	}
	peak := 0
	for _, n := range r.Calls {
		peak = max(peak, n)
	}
	if peak > 50*6 { // little more than one call per second and dispatcher in the first seconds
		t.Errorf("got %d calls of the roster within %s, want at most 300", peak, binWidth)
	}
}
