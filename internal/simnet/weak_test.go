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
		coreOnly bool // the check is for faults of these machines
	}{{NoHoldWait, "hold wait", false}, {NoSync, "sync before answer", true}, {NoFence, "fence", false}, {KeepsIdentity, "identity of a lost disk", true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(weakSeeds) {
				o := options(seed)
				o.Weaken, o.CoreOnly = c.weakness, c.coreOnly
				if r := Play(o); len(r.Broken) > 0 {
					t.Logf("found by seed %d: %s", seed, r.Broken[0])
					return
				}
			}
			t.Errorf("%d seeds find nothing without %s", weakSeeds, c.name)
		})
	}
}
