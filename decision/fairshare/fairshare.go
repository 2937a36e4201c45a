// Package fairshare tells which requests stay inside the share of their tenant. A share is a
// rate over all dispatchers together, of which each sees its own traffic alone; its part of
// a rate is its part of the work that the fleet holds. What is refused uses up nothing. The
// package is pure: no I/O, no clock.
package fairshare

import "time"

const (
	// burst is for how long a share may be saved up: a share is a rate, not a spacing.
	burst = 2 * time.Second
	// least is how many requests can be saved up of the smallest share.
	least = 2
	// partGain is the weight of a new look in the part of the fleet's work.
	partGain = 1.0 / 32
	// lookEvery is the least time between two looks.
	lookEvery = 50 * time.Millisecond
)

// Shares is what is left of all tenants' shares at this dispatcher. Make it with Set.
type Shares struct {
	rates  []float64 // requests a second over all dispatchers; 0 for no limit
	used   []used
	part   float64
	lookAt time.Duration
}

type used struct {
	requests float64 // that have not yet been made up for
	at       time.Duration
}

// Set takes the tenants' rates, in requests a second over all dispatchers, 0 for no limit,
// and how many dispatchers there are. What is used up stays.
func (s *Shares) Set(rates []float64, dispatchers int) {
	s.rates = rates
	s.used = append(s.used, make([]used, max(len(rates)-len(s.used), 0))...)
	if s.part == 0 {
		s.part = 1 / float64(max(dispatchers, 1))
	}
}

// Due tells whether it is time for another look at who holds the fleet's work.
func (s *Shares) Due(now time.Duration) bool { return len(s.rates) > 0 && now >= s.lookAt }

// Look takes in how many slots this dispatcher's jobs hold, and all dispatchers'.
func (s *Shares) Look(own, all float64, now time.Duration) {
	s.lookAt = now + lookEvery
	if all > 0 {
		s.part += (min(own/all, 1) - s.part) * partGain
	}
}

// Inside tells whether another request of a tenant stays inside its share. Who is no tenant
// has none to go past.
func (s *Shares) Inside(tenant int, now time.Duration) bool {
	if tenant < 0 || tenant >= len(s.rates) || s.rates[tenant] <= 0 {
		return true
	}
	rate, u := s.rates[tenant]*s.part, &s.used[tenant]
	u.requests, u.at = max(u.requests-rate*(now-u.at).Seconds(), 0), now
	return u.requests+1 <= s.most(tenant)
}

// Use takes in that a request of a tenant has been let in. Guards the share of the next
// minute from a time in which there was room for all: no more than can be saved is owed.
func (s *Shares) Use(tenant int) {
	if tenant >= 0 && tenant < len(s.rates) {
		s.used[tenant].requests = min(s.used[tenant].requests+1, 2*s.most(tenant))
	}
}

func (s *Shares) most(tenant int) float64 {
	return max(s.rates[tenant]*s.part*burst.Seconds(), least)
}
