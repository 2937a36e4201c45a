package fleetclock

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestObserve checks that a clock is corrected by a majority and never by a single other member.
func TestObserve(t *testing.T) {
	const year = 365 * 24 * time.Hour
	for _, tc := range []struct {
		name string
		off  []time.Duration // of the others, against this one
		want time.Duration
	}{
		{"alone", nil, 0},
		{"all agree", []time.Duration{0, 100 * time.Millisecond, -50 * time.Millisecond}, 0},
		{"one other is elsewhere", []time.Duration{time.Hour}, 0},
		{"this one is behind", []time.Duration{time.Hour, time.Hour}, time.Hour},
		{"this one is ahead", []time.Duration{-time.Hour, -time.Hour, -time.Hour}, -time.Hour},
		{"another is wrong", []time.Duration{0, 10 * time.Minute}, 0},
		{"all differ", []time.Duration{time.Hour, 2 * time.Hour, 3 * time.Hour}, 0},
	} {
		c := New(50*year, time.Second)
		for i, off := range tc.off {
			now := time.Duration(i+2) * time.Second
			c.Observe(fmt.Sprint(i), 50*year+now-time.Second+off, now-time.Millisecond, now+time.Millisecond)
		}
		if got := c.Now(time.Minute) - (50*year + 59*time.Second); got != tc.want {
			t.Errorf("%s: it is put right by %s, want %s", tc.name, got, tc.want)
		}
	}
}

// TestMajorityHolds checks that, while most clocks are right, every member ends within MaxSkew of
// them.
func TestMajorityHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 15).Draw(t, "members")
		wrong := rapid.IntRange(0, (n-1)/2).Draw(t, "wrong")
		const now = time.Hour
		clocks := make([]*Clock, n)
		for i := range clocks {
			off := time.Duration(0)
			if i < wrong {
				off = time.Duration(rapid.IntRange(-86400, 86400).Draw(t, "off")) * time.Second
			}
			clocks[i] = New(1000*time.Hour+off, 0)
		}
		for range 2 {
			for i, c := range clocks {
				for j, o := range clocks {
					if i != j {
						c.Observe(fmt.Sprint(j), o.Now(now), now, now)
					}
				}
			}
		}
		for i, c := range clocks {
			if d := c.Now(now) - 1001*time.Hour; d > MaxSkew || d < -MaxSkew {
				t.Fatalf("member %d of %d, %d wrong, is off by %s", i, n, wrong, d)
			}
		}
	})
}
