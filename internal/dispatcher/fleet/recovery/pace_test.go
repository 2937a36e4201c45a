package recovery

import (
	"fmt"
	"math"
	"testing"
)

// TestJitteredPace checks that members with equal reports on twenty equal runners choose different
// fastest ones, that each member's pace is stable, that it is at most a fifth off the report, and
// that a runner three times slower stays the slower one.
func TestJitteredPace(t *testing.T) {
	fastestCount := map[string]int{}
	for instance := range 15 {
		lowest, lowestUID := math.Inf(1), ""
		for i := range 20 {
			uid := fmt.Sprintf("s-%d", i)
			p := JitteredPace(1, instance, uid)
			if p != JitteredPace(1, instance, uid) || p < 0.8 || p > 1.2 {
				t.Fatalf("member %d: got pace %v for runner %s, want a stable one in [0.8, 1.2]", instance, p, uid)
			}
			if p < lowest {
				lowest, lowestUID = p, uid
			}
		}
		fastestCount[lowestUID]++
	}
	for uid, n := range fastestCount {
		if n > 5 {
			t.Errorf("runner %s is the fastest for %d of 15 members, want at most 5", uid, n)
		}
	}
	if slow, fast := JitteredPace(3, 1, "a"), JitteredPace(1, 1, "b"); slow < fast {
		t.Error("a runner with three times the pace of another is assumed to be faster")
	}
}
