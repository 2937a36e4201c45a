package recovery

import (
	"fmt"
	"math"
	"testing"
)

// TestJitteredPace checks that members with equal reports on twenty equal runners disagree on the
// fastest one, that each member's choice is stable, and that no pace is far from the report.
func TestJitteredPace(t *testing.T) {
	best := map[string]int{}
	for number := range 15 {
		lowest, lowestUID := math.Inf(1), ""
		for i := range 20 {
			uid := fmt.Sprintf("s-%d", i)
			p := JitteredPace(1, number, uid)
			if p != JitteredPace(1, number, uid) || p < 0.8 || p > 1.2 {
				t.Fatalf("member %d goes by %v for %s", number, p, uid)
			}
			if p < lowest {
				lowest, lowestUID = p, uid
			}
		}
		best[lowestUID]++
	}
	for uid, n := range best {
		if n > 5 {
			t.Errorf("%s is the best for %d of 15 members", uid, n)
		}
	}
	if slow, fast := JitteredPace(3, 1, "a"), JitteredPace(1, 1, "b"); slow < fast {
		t.Error("one that is three times slower is taken for faster")
	}
}
