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
	}{{NoHoldWait, "hold wait"}, {NoSync, "sync before answer"}, {NoFence, "fence"}, {KeepsIdentity, "identity of a lost disk"}} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(weakSeeds) {
				o := options(seed)
				o.Weaken = c.weakness
				if r := Play(o); len(r.Broken) > 0 {
					t.Logf("found by seed %d: %s", seed, r.Broken[0])
					return
				}
			}
			t.Errorf("%d seeds find nothing without %s", weakSeeds, c.name)
		})
	}
}
