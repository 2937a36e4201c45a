package recovery

import (
	"fmt"
	"math"
	"testing"
)

// TestPace has members that were told the same of twenty equal runners disagree on the best,
// each for good, and nobody's view be far from what was told.
func TestPace(t *testing.T) {
	best := map[string]int{}
	for number := range 15 {
		least, which := math.Inf(1), ""
		for i := range 20 {
			uid := fmt.Sprintf("s-%d", i)
			p := Pace(1, number, uid)
			if p != Pace(1, number, uid) || p < 0.8 || p > 1.2 {
				t.Fatalf("member %d goes by %v for %s", number, p, uid)
			}
			if p < least {
				least, which = p, uid
			}
		}
		best[which]++
	}
	for uid, n := range best {
		if n > 5 {
			t.Errorf("%s is the best for %d of 15 members", uid, n)
		}
	}
	if slow, fast := Pace(3, 1, "a"), Pace(1, 1, "b"); slow < fast {
		t.Error("one that is three times slower is taken for faster")
	}
}
