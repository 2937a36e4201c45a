//go:build !race

// The race detector makes hundreds of simulations take minutes; TestPlays runs under it.

package simnet

import (
	"testing"
)

// maxSeeds is within how many seeds the rules have to detect that a safety check is missing.
const maxSeeds = 500

// TestFindsMissingChecks has simulations without one of the safety checks violate a rule.
func TestFindsMissingChecks(t *testing.T) {
	lostDisks := func(o *Options) {
		o.CoreOnly = true
		o.Cores, o.FaultTolerance = 3+int(o.Seed%3), 1
	}
	for _, tc := range []struct {
		name    string
		missing MissingCheck
		faults  func(*Options) // narrows the faults to those that the check is for; nil for all
	}{
		{"hold wait", NoLeaseWait, nil},
		{"sync before answer", NoSync, func(o *Options) { o.CoreOnly = true }},
		{"fence", NoFencing, nil},
		{"identity of a lost disk", NoNewIdentity, lostDisks},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxSeeds) {
				o := DefaultOptions(seed)
				o.MissingCheck = tc.missing
				if tc.faults != nil {
					tc.faults(&o)
				}
				if r := Run(o); len(r.Violations) > 0 {
					t.Logf("detected by seed %d: %s", seed, r.Violations[0])
					return
				}
			}
			t.Errorf("%d seeds detect nothing without %s", maxSeeds, tc.name)
		})
	}
}
