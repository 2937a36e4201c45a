package faults

import (
	"testing"
	"time"
)

// TestLate has a job that waited for a process which stood still blamed on nobody, and one that
// waited longer than that on the program.
func TestLate(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(0, 0).Add(time.Duration(s * float64(time.Second))) }
	stood := []span{{at(10), at(13)}, {at(20), at(21)}}
	for _, tc := range []struct {
		from, till float64
		want       bool
	}{{1, 3.5, true}, {9.9, 13.1, false}, {9, 14.9, true}, {9, 14, false}, {12, 20.5, true}, {19.5, 22.2, false}} {
		if got := (late{"j", span{at(tc.from), at(tc.till)}}).fault(stood); got != tc.want {
			t.Errorf("a job from %g to %g s: fault %t", tc.from, tc.till, got)
		}
	}
}
