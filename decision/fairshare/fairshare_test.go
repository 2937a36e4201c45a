package fairshare

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestWithin checks that a tenant that keeps to its part of its quota is always within it, that one that
// sends more is so for its part, and that a tenant without a limit always is.
func TestWithin(t *testing.T) {
	var s Quotas
	s.SetRates([]float64{40, 40, 0}, 4)
	let := map[int]int{}
	for i := range 1000 { // ten seconds
		now := time.Hour + time.Duration(i)*10*time.Millisecond
		for _, tenant := range []int{0, 2, -1, 7} { // a hundred a second
			if s.Within(tenant, now) {
				s.Charge(tenant)
				let[tenant]++
			}
		}
		if i%10 == 0 && s.Within(1, now) { // ten a second: its part of 40
			s.Charge(1)
			let[1]++
		}
	}
	if let[0] < 95 || let[0] > 125 || let[1] != 100 || let[2] != 1000 || let[-1] != 1000 || let[7] != 1000 {
		t.Errorf("inside were %v", let)
	}
}

// TestLocalFractionFollowsWork checks that a dispatcher's fraction follows the work that it has in use.
func TestLocalFractionFollowsWork(t *testing.T) {
	var s Quotas
	s.SetRates([]float64{40}, 4)
	for i := range 200 {
		now := time.Duration(i) * sampleInterval
		if !s.NeedsSample(now) {
			t.Fatalf("no look is due at %v", now)
		}
		s.Sample(8, 10, now)
		if s.NeedsSample(now + sampleInterval/2) {
			t.Fatal("another look is due at once")
		}
	}
	if s.localFraction < 0.75 || s.localFraction > 0.85 {
		t.Errorf("its part is %g, want 0.8", s.localFraction)
	}
}

// TestChargeIsBounded checks that a tenant gets no more than its rate and what it has saved up, and owes no
// more than twice that after requests beyond its quota.
func TestChargeIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Quotas
		rate := rapid.Float64Range(0.1, 100).Draw(t, "rate")
		s.SetRates([]float64{rate}, 1)
		begin, now, let := time.Hour, time.Hour, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			if s.Within(0, now) {
				s.Charge(0)
				let++
			}
		}
		if most := rate*(now-begin).Seconds() + max(rate*burst.Seconds(), minSavedRequests) + 1e-6; let > most {
			t.Fatalf("%g let in, %g allowed", let, most)
		}
		for range 1000 {
			s.Charge(0)
		}
		if wait := burst + time.Duration(minSavedRequests/rate*float64(time.Second))*2; !s.Within(0, now+2*wait) {
			t.Fatalf("still outside %v after a time in which all were let in", 2*wait)
		}
	})
}
