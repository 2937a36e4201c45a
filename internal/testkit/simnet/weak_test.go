//go:build !race

// The race detector makes the hundreds of plays take minutes; TestPlays runs under it.

package simnet

import (
	"testing"
)

// weakSeeds is within how many seeds the plays have to find a safety check that is missing.
const weakSeeds = 500

// TestFindsMissingChecks has plays without one of the safety checks break a rule.
func TestFindsMissingChecks(t *testing.T) {
	for _, c := range []struct {
		weakness Weakness
		name     string
		faults   Options // the faults that the check is for, all where none are named
	}{{NoHoldWait, "hold wait", Options{}}, {NoSync, "sync before answer", Options{CoreOnly: true}}, {NoFence, "fence", Options{}},
		{KeepsIdentity, "identity of a lost disk", Options{CoreOnly: true, Faults: 1}}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(weakSeeds) {
				o := Usual(seed)
				o.Weaken, o.CoreOnly = c.weakness, c.faults.CoreOnly
				if c.faults.Faults > 0 {
					o.Cores, o.Faults = 3+int(seed%3), c.faults.Faults
				}
				if r := Play(o); len(r.Broken) > 0 {
					t.Logf("found by seed %d: %s", seed, r.Broken[0])
					return
				}
			}
			t.Errorf("%d seeds find nothing without %s", weakSeeds, c.name)
		})
	}
}
