package faults

import (
	"testing"
	"time"
)

// TestLate checks that a job is not reported as late for the time during which its member's process
// was stalled, but is if it waited longer than that.
func TestLate(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(0, 0).Add(time.Duration(s * float64(time.Second))) }
	stalls := []span{{at(10), at(13)}, {at(20), at(21)}}
	for _, tc := range []struct {
		from, till float64
		want       bool
	}{{1, 3.5, true}, {9.9, 13.1, false}, {9, 14.9, true}, {9, 14, false}, {12, 20.5, true}, {19.5, 22.2, false}} {
		if got := (lateJob{"j", span{at(tc.from), at(tc.till)}}).exceedsPatience(stalls); got != tc.want {
			t.Errorf("job from %g to %g s: exceedsPatience = %t, want the opposite", tc.from, tc.till, got)
		}
	}
}
