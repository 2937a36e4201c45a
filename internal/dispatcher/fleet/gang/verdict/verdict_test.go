package verdict

import (
	"testing"
	"time"

	"frosttide/internal/dispatcher/fleet/gang/peers"
)

// TestObserve checks that a part becomes a straggler, or recovers, only after several checks in a
// row with enough peers.
func TestObserve(t *testing.T) {
	withSpeed := func(speed float64, others ...float64) Evidence {
		if others == nil {
			others = []float64{0.9, 1, 1.1, 1}
		}
		comparison, known := peers.Compare(speed, others)
		return Evidence{Comparison: comparison, Known: known}
	}
	slow, normal, between := withSpeed(0.3), withSpeed(1), withSpeed(0.6)
	inStepWorker, silent := slow, normal
	inStepWorker.WorkerInStep, silent.Silent = true, true
	for _, tc := range []struct {
		name   string
		checks []Evidence
		want   State
	}{
		{"nothing is known", []Evidence{{}}, Unknown},
		{"two peers are not enough", []Evidence{withSpeed(0.1, 1, 1), withSpeed(0.1, 1, 1), withSpeed(0.1, 1, 1)}, Unknown},
		{"in step", []Evidence{normal}, InStep},
		{"slow once", []Evidence{normal, slow}, Behind},
		{"slow twice", []Evidence{normal, slow, slow}, Straggler},
		{"slow twice, but not in a row", []Evidence{slow, normal, slow}, Behind},
		{"all parts are slow", []Evidence{withSpeed(0.3, 0.3, 0.31, 0.29), withSpeed(0.3, 0.3, 0.31, 0.29)}, InStep},
		{"slow, but within the peers' spread", []Evidence{withSpeed(0.3, 0.2, 0.5, 1, 2, 4), withSpeed(0.3, 0.2, 0.5, 1, 2, 4)}, Behind},
		{"slow part of a worker that keeps up elsewhere", []Evidence{inStepWorker, inStepWorker, inStepWorker}, Behind},
		{"slightly slow", []Evidence{between, between, between}, Behind},
		{"recovered for one check", []Evidence{slow, slow, normal}, Straggler},
		{"recovered", []Evidence{slow, slow, normal, normal}, InStep},
		{"only partly recovered", []Evidence{slow, slow, between, between, between}, Straggler},
		{"straggler without peers to compare with", []Evidence{slow, slow, {}}, Straggler},
		{"silent", []Evidence{normal, silent}, Silent},
		{"reports resume", []Evidence{silent, normal}, InStep},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var v Verdict
			for i, e := range tc.checks {
				e.At = time.Duration(i+1) * time.Second
				v.Observe(e, time.Second)
				v.Observe(Evidence{At: e.At + time.Millisecond, Silent: true}, time.Second) // ignored: the interval has not passed
			}
			if v.State != tc.want {
				t.Errorf("got state %s, want %s", v.State, tc.want)
			}
		})
	}
}
