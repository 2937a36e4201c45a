//go:build !race

// The race detector makes the hundreds of plays take minutes; TestPlays runs under it.

package simnet

import (
	"testing"
)

// maxSeeds is within how many seeds the plays have to find a safety check that is missing.
const maxSeeds = 500

// TestFindsMissingChecks has plays without one of the safety checks break a rule.
func TestFindsMissingChecks(t *testing.T) {
	for _, c := range []struct {
		weakness MissingCheck
		name     string
		faults   Options // the faults that the check is for, all where none are named
	}{{NoLeaseWait, "hold wait", Options{}}, {NoSync, "sync before answer", Options{CoreOnly: true}}, {NoFencing, "fence", Options{}},
		{NoNewIdentity, "identity of a lost disk", Options{CoreOnly: true, FaultTolerance: 1}}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxSeeds) {
				o := DefaultOptions(seed)
				o.MissingCheck, o.CoreOnly = c.weakness, c.faults.CoreOnly
				if c.faults.FaultTolerance > 0 {
					o.Cores, o.FaultTolerance = 3+int(seed%3), c.faults.FaultTolerance
				}
				if r := Run(o); len(r.Violations) > 0 {
					t.Logf("found by seed %d: %s", seed, r.Violations[0])
					return
				}
			}
			t.Errorf("%d seeds find nothing without %s", maxSeeds, c.name)
		})
	}
}
