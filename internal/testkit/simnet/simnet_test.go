package simnet

import (
	"fmt"
	"testing"
)

// TestPlays checks the rules on simulations of many seeds.
func TestPlays(t *testing.T) {
	seeds := uint64(100)
	if raceDetectorOn {
		seeds = 15 // the detector makes each one many times as long
	}
	atOnce := make(chan struct{}, 2) // the tests of other packages need processors too
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			atOnce <- struct{}{}
			defer func() { <-atOnce }()
			r := Run(DefaultOptions(seed))
			for _, v := range r.Violations {
				t.Errorf("%s", v)
			}
			if r.Accepted == 0 || r.Starts == 0 {
				t.Errorf("%d jobs are accepted, %d runs started", r.Accepted, r.Starts)
			}
		})
	}
}

// TestRepeats has a simulation of the same seed be the same simulation.
func TestRepeats(t *testing.T) {
	a, b := Run(DefaultOptions(7)), Run(DefaultOptions(7))
	if a.Starts != b.Starts || a.Done != b.Done || a.Accepted != b.Accepted {
		t.Errorf("%d/%d/%d and %d/%d/%d", a.Starts, a.Done, a.Accepted, b.Starts, b.Done, b.Accepted)
	}
}
