package sharers

import (
	"testing"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestCount checks the number of sharers for peers in each state.
func TestCount(t *testing.T) {
	for _, tc := range []struct {
		name       string
		configured int
		peers      []PeerState
		want       int
	}{
		{"alone", 1, nil, 1},
		{"no peer seen yet", 5, nil, 5},
		{"all alive", 5, []PeerState{Alive, Alive, Alive, Alive}, 5},
		{"three have crashed", 5, []PeerState{Alive, Refused, Refused, Refused}, 2},
		{"one has departed", 5, []PeerState{Alive, Alive, Alive, Departed}, 4},
		{"three are partitioned", 5, []PeerState{Alive, Unseen, Unseen, Unseen}, 5},
		{"more alive than configured", 2, []PeerState{Alive, Alive, Alive}, 4},
		{"all peers have ended", 3, []PeerState{Refused, Departed}, 1},
	} {
		if got := Count(tc.configured, tc.peers); got != tc.want {
			t.Errorf("%s: got %d sharers, want %d", tc.name, got, tc.want)
		}
	}
}

// TestSharesNeverExceedCapacity checks, for any network partition of a fleet, that the shares of
// the working members add up to at most the whole capacity.
func TestSharesNeverExceedCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 15).Draw(t, "members")
		partition := make([]int, n) // by member: 0 if it is down; members of one partition see each other
		for i := range partition {
			partition[i] = rapid.IntRange(0, 3).Draw(t, "side")
		}
		sum := 0.0
		for i := range partition {
			if partition[i] == 0 {
				continue
			}
			var peers []PeerState
			for j := range partition {
				switch {
				case j == i:
				case partition[j] == partition[i]:
					peers = append(peers, Alive)
				case partition[j] > 0: // in another partition: it may look down, but nothing refuses connections
					peers = append(peers, Unseen)
				default:
					peers = append(peers, rapid.SampledFrom([]PeerState{Unseen, Refused, Departed}).Draw(t, "dead"))
				}
			}
			sum += 1 / float64(Count(n, peers))
		}
		if sum > 1.0000001 {
			t.Fatalf("shares add up to %.3f, want at most 1, with partitions %v", sum, partition)
		}
	})
}
