package affinity

import "testing"

// TestFirstChoicesSpread checks with 80 dispatchers and 60 workers that no worker is the first choice of too many
// dispatchers, that each worker is among the preferred sixth of enough dispatchers, and that preferences never change.
func TestFirstChoicesSpread(t *testing.T) {
	const dispatchers, workers = 80, 60
	firstChoices, topSixths := map[uint32]int{}, map[uint32]int{}
	for i := range dispatchers {
		best, lowest := uint32(0), 9.0
		for w := range uint32(workers) {
			f := Factor(i, dispatchers, w)
			if f < 1 || f >= 1+maxPremium || f != Factor(i, dispatchers, w) {
				t.Fatalf("factor %v of worker %d at dispatcher %d, want the same in [1, %v) each time", f, w, i, 1+maxPremium)
			}
			if f < lowest {
				best, lowest = w, f
			}
			if f < 1+maxPremium/6 {
				topSixths[w]++
			}
		}
		firstChoices[best]++
	}
	for w := range uint32(workers) {
		if firstChoices[w] > 6 || topSixths[w] < 4 || topSixths[w] > 26 {
			t.Errorf("worker %d is the first choice of %d dispatchers, want 6 at most, and in the preferred sixth of %d, want 4 to 26",
				w, firstChoices[w], topSixths[w])
		}
	}
	if f := Factor(3, MaxWithoutPreferences, 7); f != 1 {
		t.Errorf("factor %v with %d dispatchers, want 1", f, MaxWithoutPreferences)
	}
}
