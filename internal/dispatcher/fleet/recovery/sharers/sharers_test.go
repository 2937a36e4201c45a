package sharers

import (
	"testing"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestCount checks the number of sharers for each kind of peer.
func TestCount(t *testing.T) {
	for _, tc := range []struct {
		name     string
		settings int
		others   []PeerState
		want     int
	}{
		{"alone", 1, nil, 1},
		{"nobody is heard of yet", 5, nil, 5},
		{"all are here", 5, []PeerState{Alive, Alive, Alive, Alive}, 5},
		{"three are killed", 5, []PeerState{Alive, Refused, Refused, Refused}, 2},
		{"one has left", 5, []PeerState{Alive, Alive, Alive, Departed}, 4},
		{"three are cut off", 5, []PeerState{Alive, Unseen, Unseen, Unseen}, 5},
		{"more than the settings say", 2, []PeerState{Alive, Alive, Alive}, 4},
		{"all are gone", 3, []PeerState{Refused, Departed}, 1},
	} {
		if got := Count(tc.settings, tc.others); got != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, got, tc.want)
		}
	}
}

// TestNeverSpentTwice checks, for any partition of a fleet, that the shares of the working members
// add up to at most the whole.
func TestNeverSpentTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 15).Draw(t, "members")
		side := make([]int, n) // 0 for dead; members of one side see each other
		for i := range side {
			side[i] = rapid.IntRange(0, 3).Draw(t, "side")
		}
		sum := 0.0
		for i := range side {
			if side[i] == 0 {
				continue
			}
			var others []PeerState
			for j := range side {
				switch {
				case j == i:
				case side[j] == side[i]:
					others = append(others, Alive)
				case side[j] > 0: // cut off: it may be seen as dead, but nothing refuses
					others = append(others, Unseen)
				default:
					others = append(others, rapid.SampledFrom([]PeerState{Unseen, Refused, Departed}).Draw(t, "dead"))
				}
			}
			sum += 1 / float64(Count(n, others))
		}
		if sum > 1.0000001 {
			t.Fatalf("shares come to %.3f with sides %v", sum, side)
		}
	})
}
