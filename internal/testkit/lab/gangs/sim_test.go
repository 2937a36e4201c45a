package gangs

import "testing"

// TestWorth guards what the judgement of stragglers is worth: with runners three times slower
// and heavy parts beside it finds most and hardly anything else, soon, the slowest gangs are
// done much earlier for little more work, and where nothing is wrong next to nothing is copied.
func TestWorth(t *testing.T) {
	base := Setup{Seed: 3, Dispatchers: 5, Runners: 100, Size: 16, Gangs: 200, Way: Board}
	calm := Play(base)
	if share := ratio(calm.Copies, calm.Parts); share > 0.005 {
		t.Errorf("with no trouble %.2f%% are copied", 100*share)
	}
	slow := base
	slow.SlowShare, slow.SlowTimes = 0.05, 3
	with := Play(slow)
	if again := Play(slow); again != with {
		t.Errorf("a play came to %s, and again to %s", with, again)
	}
	// Few parts still go to slow runners once those are known, so that each wrong verdict weighs.
	if with.Precision() < 0.8 || with.Recall() < 0.85 || with.After > 3.5 {
		t.Errorf("slow runners: %s", with)
	}
	var tail, tailWithout float64 // over seeds, as few gangs make it
	for seed := range uint64(2) {
		slow.Seed, slow.Way = seed+1, Board
		r := Play(slow)
		slow.Way = None
		tail, tailWithout = tail+r.P99, tailWithout+Play(slow).P99
		if r.Wasted > 0.05 {
			t.Errorf("seed %d: %s", slow.Seed, r)
		}
	}
	if tail > 0.85*tailWithout {
		t.Errorf("the slowest gangs take %.0f s, without copies %.0f s", tail/2, tailWithout/2)
	}
	slow.Way, slow.HeavyShare = Board, 0.02
	if heavy := Play(slow); heavy.Precision() < 0.7 {
		t.Errorf("heavy parts: %s", heavy)
	}
}
