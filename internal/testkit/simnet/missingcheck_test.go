//go:build !race

// Hundreds of simulations take minutes under the race detector; TestRulesHold runs under it.

package simnet

import (
	"testing"
)

// maxSeeds is the number of seeds within which the rules have to detect a missing safety check.
const maxSeeds = 500

// TestFindsMissingChecks checks that simulations without one of the safety checks violate a rule,
// so that the rules are able to detect a fault of that kind.
func TestFindsMissingChecks(t *testing.T) {
	lostDisks := func(o *Options) {
		o.CoreOnly = true
		o.Cores, o.FaultTolerance = 3+int(o.Seed%3), 1
	}
	for _, tc := range []struct {
		name    string
		missing MissingCheck
		faults  func(*Options) // selects faults that the check protects against; nil for all
	}{
		{"lease wait", NoLeaseWait, nil},
		{"sync before answer", NoSync, func(o *Options) { o.CoreOnly = true }},
		{"fence", NoFencing, nil},
		{"identity of a lost disk", NoNewIdentity, lostDisks},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxSeeds) {
				o := DefaultOptions(seed)
				o.MissingCheck, o.ManyTasks = tc.missing, false // the checks have nothing to do with many tasks
				if tc.faults != nil {
					tc.faults(&o)
				}
				if r := Run(o); len(r.Violations) > 0 {
					t.Logf("detected by seed %d: %s", seed, r.Violations[0])
					return
				}
			}
			t.Errorf("no violation in %d seeds without the check %q", maxSeeds, tc.name)
		})
	}
}
