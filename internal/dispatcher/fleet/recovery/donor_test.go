package recovery

import "testing"

// TestDonor checks that the longest-running member is chosen, and none that started after the
// caller.
func TestDonor(t *testing.T) {
	for _, tc := range []struct {
		mine   uint64
		epochs []uint64
		want   int
	}{{5, nil, -1}, {5, []uint64{9, 3, 7}, 1}, {5, []uint64{9, 6}, -1}, {5, []uint64{5}, -1}, {5, []uint64{4, 1, 1}, 1}} {
		if got := Donor(tc.mine, tc.epochs); got != tc.want {
			t.Errorf("%d of %v: %d, want %d", tc.mine, tc.epochs, got, tc.want)
		}
	}
}
