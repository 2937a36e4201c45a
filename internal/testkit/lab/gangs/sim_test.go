package gangs

import "testing"

// TestStragglerDetection guards against a loss of accuracy or benefit of the straggler detection.
// With runners that are three times slower it has to find most stragglers and few other parts,
// within a few reports, also with heavy parts; copies have to shorten the slowest gangs much for
// little extra work; and without slow runners almost nothing may be copied.
func TestStragglerDetection(t *testing.T) {
	base := Setup{Seed: 3, Dispatchers: 5, Runners: 100, Size: 16, Gangs: 200, Way: Board}
	healthy := Play(base)
	if share := ratio(healthy.Copies, healthy.Parts); share > 0.005 {
		t.Errorf("without slow runners: got %.2f%% of parts copied, want at most 0.5%%", 100*share)
	}
	slow := base
	slow.SlowShare, slow.SlowTimes = 0.05, 3
	result := Play(slow)
	if repeated := Play(slow); repeated != result {
		t.Errorf("equal setups: got %s, then %s", result, repeated)
	}
	// Few parts go to slow runners once these are marked, so each wrong verdict lowers the
	// precision noticeably.
	if result.Precision() < 0.8 || result.Recall() < 0.85 || result.After > 3.5 {
		t.Errorf("slow runners: got %s, want precision >= 0.8, recall >= 0.85, verdict within 3.5 reports", result)
	}
	var tail, tailWithout float64 // summed over seeds, as the P99 of one run depends on few gangs
	for seed := range uint64(2) {
		slow.Seed, slow.Way = seed+1, Board
		r := Play(slow)
		slow.Way = None
		tail, tailWithout = tail+r.P99, tailWithout+Play(slow).P99
		if r.Wasted > 0.05 {
			t.Errorf("seed %d: got %s, want at most 5%% of the work wasted", slow.Seed, r)
		}
	}
	if tail > 0.85*tailWithout {
		t.Errorf("mean P99 of gangs: got %.0f s, want at most 85%% of the %.0f s without copies", tail/2, tailWithout/2)
	}
	slow.Way, slow.HeavyShare = Board, 0.02
	if heavy := Play(slow); heavy.Precision() < 0.7 {
		t.Errorf("heavy parts: got %s, want precision >= 0.7", heavy)
	}
}
