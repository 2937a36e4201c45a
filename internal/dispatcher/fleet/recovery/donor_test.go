package recovery

import "testing"

// TestDonor checks that the longest-running member is chosen, and none that started after the
// caller.
func TestDonor(t *testing.T) {
	for _, tc := range []struct {
		name   string
		own    uint64
		epochs []uint64
		want   int
	}{
		{"no other member", 5, nil, -1},
		{"one older member", 5, []uint64{9, 3, 7}, 1},
		{"all others are younger", 5, []uint64{9, 6}, -1},
		{"other member is equally old", 5, []uint64{5}, -1},
		{"two oldest members, the first is chosen", 5, []uint64{4, 1, 1}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := Donor(tc.own, tc.epochs); got != tc.want {
				t.Errorf("Donor(%d, %v) = %d, want %d", tc.own, tc.epochs, got, tc.want)
			}
		})
	}
}
