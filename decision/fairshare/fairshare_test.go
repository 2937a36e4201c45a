package fairshare

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestWithin checks three cases at a dispatcher with a quarter of the quota: a tenant that sends no more than that is
// always within its quota, a tenant that sends more is within it for that rate, and a tenant without a limit always is.
func TestWithin(t *testing.T) {
	var s Quotas
	s.SetRates([]float64{40, 40, 0}, 4)
	admitted := map[int]int{}
	for i := range 1000 { // ten seconds
		now := time.Hour + time.Duration(i)*10*time.Millisecond
		for _, tenant := range []int{0, 2, -1, 7} { // a hundred a second
			if s.Within(tenant, now) {
				s.Charge(tenant)
				admitted[tenant]++
			}
		}
		if i%10 == 0 && s.Within(1, now) { // ten a second: a quarter of 40
			s.Charge(1)
			admitted[1]++
		}
	}
	if admitted[0] < 95 || admitted[0] > 125 || admitted[1] != 100 || admitted[2] != 1000 || admitted[-1] != 1000 || admitted[7] != 1000 {
		t.Errorf("requests within the quota by tenant: %v, want 95 to 125 of tenant 0, 100 of tenant 1, 1000 of the others", admitted)
	}
}

// TestLocalFractionFollowsWork checks that a dispatcher's fraction converges to its fraction of the slots in use.
func TestLocalFractionFollowsWork(t *testing.T) {
	var s Quotas
	s.SetRates([]float64{40}, 4)
	for i := range 200 {
		now := time.Duration(i) * sampleInterval
		if !s.NeedsSample(now) {
			t.Fatalf("no sample is due at %v", now)
		}
		s.Sample(8, 10, now)
		if s.NeedsSample(now + sampleInterval/2) {
			t.Fatal("another sample is due after half a sample interval")
		}
	}
	if s.localFraction < 0.75 || s.localFraction > 0.85 {
		t.Errorf("the local fraction is %g, want 0.75 to 0.85", s.localFraction)
	}
}

// TestChargeIsBounded checks that a tenant's admitted requests never exceed its rate plus the saved quota, and that
// charges for requests beyond the quota are bounded, so that the tenant is within its quota again soon after.
func TestChargeIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Quotas
		rate := rapid.Float64Range(0.1, 100).Draw(t, "rate")
		s.SetRates([]float64{rate}, 1)
		begin, now, admitted := time.Hour, time.Hour, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			if s.Within(0, now) {
				s.Charge(0)
				admitted++
			}
		}
		if most := rate*(now-begin).Seconds() + max(rate*burst.Seconds(), minSavedRequests) + 1e-6; admitted > most {
			t.Fatalf("%g requests admitted, want %g at most", admitted, most)
		}
		for range 1000 {
			s.Charge(0)
		}
		if wait := burst + time.Duration(minSavedRequests/rate*float64(time.Second))*2; !s.Within(0, now+2*wait) {
			t.Fatalf("still beyond the quota %v after 1000 more charged requests", 2*wait)
		}
	})
}
