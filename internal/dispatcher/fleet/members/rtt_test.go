package members

import (
	"slices"
	"testing"
	"time"
)

// TestRTTEstimate checks that one probe gives an estimate, and that the estimate follows a longer
// round trip at the next probe, because keyed jobs wait for as long as it says.
func TestRTTEstimate(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for name, tc := range map[string]struct {
		probes      []int
		least, most time.Duration
	}{
		"no probe":               {nil, 0, 0},
		"first probe":            {[]int{10}, ms(10), ms(30)},
		"steady":                 {[]int{10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10}, ms(10), ms(12)},
		"longer after one probe": {[]int{1, 1, 1, 1, 1, 1, 80}, ms(80), ms(110)},
		"shorter gradually":      {append([]int{80}, slices.Repeat([]int{1}, 40)...), ms(1), ms(10)},
		"zero duration":          {[]int{0, 0}, 1, ms(1)},
	} {
		var estimate rttEstimate
		for _, p := range tc.probes {
			estimate.observe(ms(p))
		}
		if got := estimate.upperBound(); got < tc.least || got > tc.most {
			t.Errorf("%s: got upper bound %s, want %s to %s", name, got, tc.least, tc.most)
		}
	}
}
