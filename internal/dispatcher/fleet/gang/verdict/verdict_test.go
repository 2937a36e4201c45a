package verdict

import (
	"testing"
	"time"

	"frosttide/internal/dispatcher/fleet/gang/peers"
)

// TestObserve checks that a verdict needs more than one check and enough peers, and is withdrawn
// slowly.
func TestObserve(t *testing.T) {
	at := func(ratio float64, others ...float64) Evidence {
		if others == nil {
			others = []float64{0.9, 1, 1.1, 1}
		}
		st, known := peers.Compare(ratio, others)
		return Evidence{Standing: st, Known: known}
	}
	slow, fine, between := at(0.3), at(1), at(0.6)
	heavy, silent := slow, fine
	heavy.Heavy, silent.Silent = true, true
	for _, tc := range []struct {
		name   string
		checks []Evidence
		want   State
	}{
		{"nothing is known", []Evidence{{}}, Unknown},
		{"two peers are too few", []Evidence{at(0.1, 1, 1), at(0.1, 1, 1), at(0.1, 1, 1)}, Unknown},
		{"in step", []Evidence{fine}, InStep},
		{"slow once", []Evidence{fine, slow}, Behind},
		{"slow twice", []Evidence{fine, slow, slow}, Straggler},
		{"with a good check between", []Evidence{slow, fine, slow}, Behind},
		{"all parts are slow", []Evidence{at(0.3, 0.3, 0.31, 0.29), at(0.3, 0.3, 0.31, 0.29)}, InStep},
		{"peers differ as much", []Evidence{at(0.3, 0.2, 0.5, 1, 2, 4), at(0.3, 0.2, 0.5, 1, 2, 4)}, Behind},
		{"heavy, not slow", []Evidence{heavy, heavy, heavy}, Behind},
		{"a little slow", []Evidence{between, between, between}, Behind},
		{"it catches up for a moment", []Evidence{slow, slow, fine}, Straggler},
		{"it catches up", []Evidence{slow, slow, fine, fine}, InStep},
		{"and hangs about", []Evidence{slow, slow, between, between, between}, Straggler},
		{"nobody is left to compare with", []Evidence{slow, slow, {}}, Straggler},
		{"silent", []Evidence{fine, silent}, Silent},
		{"it speaks again", []Evidence{silent, fine}, InStep},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var v Verdict
			for i, e := range tc.checks {
				e.At = time.Duration(i+1) * time.Second
				v.Observe(e, time.Second)
				v.Observe(Evidence{At: e.At + time.Millisecond, Silent: true}, time.Second) // too soon: ignored
			}
			if v.State != tc.want {
				t.Errorf("%s, want %s", v.State, tc.want)
			}
		})
	}
}
