package warmupbudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var rules = Rules{InitialCapacity: 0.13, WarmUp: 23 * time.Second, OverloadMultiple: 2.5, OverloadWindow: time.Second}

// sending is work that a peer has sent.
type sending struct {
	at   time.Duration
	work float64
}

// sendGreedily simulates peers that send as many jobs of the given work as they are allowed. It returns the sent work in
// order of time.
func sendGreedily(peers int, work float64, start, span, skew time.Duration) (all []sending) {
	buckets := make([]LeakyBucket, peers)
	for now := start; now < start+span; now += 10 * time.Millisecond {
		for i := range buckets {
			own := now + skew*time.Duration(i%2)
			for rules.Allows(&buckets[i], Peer{i, peers}, 4, start, own, work) {
				buckets[i].Add(work)
				all = append(all, sending{now, work})
			}
		}
	}
	return all
}

// TestFewPeersKeepToWindow checks that all peers together do not overload a warming worker (rule 4), for every number of
// peers that use leaky buckets, and with clocks that differ.
func TestFewPeersKeepToWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := rapid.IntRange(1, MaxUnsampledPeers).Draw(t, "peers")
		work := rapid.Float64Range(0.01, 3).Draw(t, "work")
		start := time.Duration(rapid.Int64Range(1, 1e6).Draw(t, "start")) * time.Millisecond
		skew := time.Duration(rapid.IntRange(0, 40).Draw(t, "skew")) * time.Millisecond
		all := sendGreedily(peers, work, start, 6*time.Second, skew)
		first, sum := 0, 0.0
		for _, s := range all {
			sum += s.work
			for s.at-all[first].at > rules.OverloadWindow {
				sum -= all[first].work
				first++
			}
			// Empty buckets allow a window's budget at once in addition to the drain rate, hence the factor 2.
			limit := 2 * rules.capacityAtAge(s.at-start) * 4 * rules.OverloadMultiple * rules.OverloadWindow.Seconds()
			if sum > limit {
				t.Fatalf("%d peers sent %.2f s of work within a window, want %.2f at most", peers, sum, limit)
			}
		}
	})
}

// TestInRotationByCapacity checks that the fraction of a hundred dispatchers in the rotation of a half-warm worker is its
// capacity, and that every dispatcher is in the rotation at times.
func TestInRotationByCapacity(t *testing.T) {
	for _, age := range []time.Duration{8 * time.Second, 12 * time.Second, 16 * time.Second} {
		joined, ever := 0, map[int]bool{}
		for turn := range 100 {
			now := time.Hour + age + time.Duration(turn)*rules.OverloadWindow/2
			for i := range 100 {
				if rules.InRotation(Peer{i, 100}, time.Hour+time.Duration(turn)*rules.OverloadWindow/2, now) {
					joined++
					ever[i] = true
				}
			}
		}
		capacity := rules.capacityAtAge(age)
		if got := float64(joined) / 1e4; got < capacity-0.03 || got > capacity+0.03 || len(ever) < 100 {
			t.Errorf("at age %v a fraction of %.2f of the dispatchers is in the rotation, %d of 100 at any time, want %.2f and all", age, got, len(ever), capacity)
		}
	}
}
