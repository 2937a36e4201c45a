package fleetclock

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestObserve checks that a clock is corrected to the time of a majority and never to that of a
// single other member.
func TestObserve(t *testing.T) {
	const year = 365 * 24 * time.Hour
	for _, tc := range []struct {
		name    string
		offsets []time.Duration // of the other members, relative to this one
		want    time.Duration   // correction
	}{
		{"alone", nil, 0},
		{"all agree", []time.Duration{0, 100 * time.Millisecond, -50 * time.Millisecond}, 0},
		{"a single other member differs", []time.Duration{time.Hour}, 0},
		{"this one is behind", []time.Duration{time.Hour, time.Hour}, time.Hour},
		{"this one is ahead", []time.Duration{-time.Hour, -time.Hour, -time.Hour}, -time.Hour},
		{"one of two others is wrong", []time.Duration{0, 10 * time.Minute}, 0},
		{"all differ", []time.Duration{time.Hour, 2 * time.Hour, 3 * time.Hour}, 0},
	} {
		c := New(50*year, time.Second)
		for i, offset := range tc.offsets {
			now := time.Duration(i+2) * time.Second
			c.Observe(fmt.Sprint(i), 50*year+now-time.Second+offset, now-time.Millisecond, now+time.Millisecond)
		}
		if got := c.Now(time.Minute) - (50*year + 59*time.Second); got != tc.want {
			t.Errorf("%s: clock is corrected by %s, want %s", tc.name, got, tc.want)
		}
	}
}

// TestMajorityWins checks that, while a majority of the clocks is correct, every member's clock
// ends within MaxSkew of them.
func TestMajorityWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 15).Draw(t, "members")
		wrong := rapid.IntRange(0, (n-1)/2).Draw(t, "wrong")
		const now = time.Hour
		clocks := make([]*Clock, n)
		for i := range clocks {
			offset := time.Duration(0)
			if i < wrong {
				offset = time.Duration(rapid.IntRange(-86400, 86400).Draw(t, "off")) * time.Second
			}
			clocks[i] = New(1000*time.Hour+offset, 0)
		}
		for range 2 {
			for i, c := range clocks {
				for j, other := range clocks {
					if i != j {
						c.Observe(fmt.Sprint(j), other.Now(now), now, now)
					}
				}
			}
		}
		for i, c := range clocks {
			if skew := c.Now(now) - 1001*time.Hour; skew > MaxSkew || skew < -MaxSkew {
				t.Fatalf("member %d of %d, with %d wrong clocks: got skew %s, want at most MaxSkew", i, n, wrong, skew)
			}
		}
	})
}
