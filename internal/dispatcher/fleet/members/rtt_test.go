package members

import (
	"slices"
	"testing"
	"time"
)

// TestRTTEstimate checks that one probe gives an estimate, and that a round trip that has become
// longer is known after the next probe, since keyed jobs wait for it.
func TestRTTEstimate(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for name, tc := range map[string]struct {
		probes      []int
		least, most time.Duration
	}{
		"none":            {nil, 0, 0},
		"the first":       {[]int{10}, ms(10), ms(30)},
		"steady":          {[]int{10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10, 10}, ms(10), ms(12)},
		"longer at once":  {[]int{1, 1, 1, 1, 1, 1, 80}, ms(80), ms(110)},
		"shorter in time": {append([]int{80}, slices.Repeat([]int{1}, 40)...), ms(1), ms(10)},
		"no time at all":  {[]int{0, 0}, 1, ms(1)},
	} {
		var x rttEstimate
		for _, p := range tc.probes {
			x.observe(ms(p))
		}
		if got := x.bound(); got < tc.least || got > tc.most {
			t.Errorf("%s: within %s, want %s to %s", name, got, tc.least, tc.most)
		}
	}
}
