package affinity

import "testing"

// TestFirstChoicesSpread checks that of 60 workers none is the first choice of many of 80 dispatchers or among the
// preferred ones of few, and that preferences never change.
func TestFirstChoicesSpread(t *testing.T) {
	const dispatchers, workers = 80, 60
	first, among := map[uint32]int{}, map[uint32]int{}
	for i := range dispatchers {
		best, least := uint32(0), 9.0
		for w := range uint32(workers) {
			f := Factor(i, dispatchers, w)
			if f < 1 || f >= 1+maxPremium || f != Factor(i, dispatchers, w) {
				t.Fatalf("factor %v of worker %d at %d", f, w, i)
			}
			if f < least {
				best, least = w, f
			}
			if f < 1+maxPremium/6 {
				among[w]++
			}
		}
		first[best]++
	}
	for w := range uint32(workers) {
		if first[w] > 6 || among[w] < 4 || among[w] > 26 {
			t.Errorf("worker %d is the first choice of %d dispatchers, among the best sixth of %d", w, first[w], among[w])
		}
	}
	if Factor(3, MaxWithoutPreferences, 7) != 1 {
		t.Error("few dispatchers have a preference")
	}
}
