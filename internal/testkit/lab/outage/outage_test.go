package outage

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var small = Settings{Mode: Trusted, Dispatchers: 4, Runners: 40, Retired: 0.1, Draining: 0.1, BootSpread: 3 * time.Second, Rate: 200,
	Run: 50 * time.Millisecond, Roster: 30 * time.Second, Length: 40 * time.Second, Seed: 1}

// TestPowerCut guards the whole of the weighing against what each part alone may miss: no
// cold runner over its ration, none that drains is used, every dispatcher serves within
// 5 s; and equal seeds give equal results.
func TestPowerCut(t *testing.T) {
	for seed := range uint64(5) {
		set := small
		set.Seed = seed
		r := Run(set)
		if r.Fallen > 0 || r.Worst > 1 || r.ToDraining > 0 {
			t.Errorf("seed %d: %d runners fell, the worst was sent %.2f of what it bears, %d jobs went to draining ones", seed, r.Fallen, r.Worst, r.ToDraining)
		}
		for i, first := range r.FirstServed {
			if first > 5*time.Second {
				t.Errorf("seed %d: dispatcher %d served its first job after %s", seed, i, first)
			}
		}
		if diff := cmp.Diff(r, Run(set)); diff != "" {
			t.Errorf("seed %d: run again it differs:\n%s", seed, diff)
		}
	}
}

// TestOverload guards the rations where three times what the cold fleet can do is asked
// for: there each of them is used up, so that what two rules allow together shows.
func TestOverload(t *testing.T) {
	r := Run(Settings{Mode: Trusted, Dispatchers: 8, Runners: 200, Retired: 0.05, Draining: 0.05, BootSpread: 10 * time.Second, Rate: 1000,
		Run: 300 * time.Millisecond, Roster: 40 * time.Second, Length: 20 * time.Second, Seed: 1})
	if r.Fallen > 0 || r.Worst > 1 {
		t.Errorf("%d runners fell, the worst was sent %.2f of what it bears", r.Fallen, r.Worst)
	}
}

// TestBaselines guards the measurement: without the weighing, runners fall or nobody is
// served, or there is nothing to weigh against.
func TestBaselines(t *testing.T) {
	set := small
	set.Mode = Nothing
	if r := Run(set); r.Served[0] > 0 || r.Fallen > 0 {
		t.Errorf("without a list %.2f are served", r.Served[0])
	}
	set.Mode, set.Rate = Blind, 600
	if r := Run(set); r.Fallen == 0 {
		t.Error("a list taken blindly pushes nobody over")
	}
}

// TestRosterRecovers guards a roster of fixed capacity against fifty dispatchers that
// start together.
func TestRosterRecovers(t *testing.T) {
	set := small
	set.Dispatchers, set.Rate = 50, 50
	r := Run(set)
	if late := r.Listed - set.Roster; late <= 0 || late > 10*time.Second {
		t.Errorf("the last dispatcher has the list %s after the roster is back", late)
	}
	most := 0
	for _, n := range r.Calls {
		most = max(most, n)
	}
	if most > 50*6 { // little more than one a second each, in the first seconds
		t.Errorf("%d calls within %s", most, bin)
	}
}
