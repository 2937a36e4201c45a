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
	var all []Options
	for seed := range seeds {
		all = append(all, DefaultOptions(seed))
	}
	requireNoViolations(t, all)
}

// TestPlaysWithoutLinkOrder checks the rules where what was buffered of a link that is reset is handled after messages of
// the next one: no protocol relies on the order that package transport keeps.
func TestPlaysWithoutLinkOrder(t *testing.T) {
	seeds := uint64(40)
	if raceDetectorOn {
		seeds = 6
	}
	var all []Options
	for seed := range seeds {
		o := DefaultOptions(1000 + seed)
		o.BufferedResets, o.MissingCheck = true, NoLinkOrder
		all = append(all, o)
	}
	requireNoViolations(t, all)
}

// requireNoViolations runs simulations and checks that none violates a rule.
func requireNoViolations(t *testing.T, all []Options) {
	t.Helper()
	atOnce := make(chan struct{}, 2) // the tests of other packages need processors too
	for _, o := range all {
		t.Run(fmt.Sprint(o.Seed), func(t *testing.T) {
			t.Parallel()
			atOnce <- struct{}{}
			defer func() { <-atOnce }()
			r := Run(o)
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
