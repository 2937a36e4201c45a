// Package fairshare tells which requests stay inside the share of their tenant. A share is a
// rate over all dispatchers together, of which each sees its own traffic alone; its part of
// a rate is its part of the work that the fleet holds. What is refused uses up nothing. The
// package is pure: no I/O, no clock.
package fairshare

import "time"

const (
	// burst is for how long a share may be saved up: a share is a rate, not a spacing.
	burst = 2 * time.Second
	// minSavedRequests is how many requests can be saved up of the smallest share.
	minSavedRequests = 2
	// fractionGain is the weight of a new look in the part of the fleet's work.
	fractionGain = 1.0 / 32
	// sampleInterval is the least time between two looks.
	sampleInterval = 50 * time.Millisecond
)

// Quotas is what is left of all tenants' shares at this dispatcher. Make it with Set.
type Quotas struct {
	rates         []float64 // requests a second over all dispatchers; 0 for no limit
	usage         []usage
	localFraction float64
	nextSampleAt  time.Duration
}

type usage struct {
	requests float64 // that have not yet been made up for
	at       time.Duration
}

// SetRates takes the tenants' rates, in requests a second over all dispatchers, 0 for no limit,
// and how many dispatchers there are. What is used up stays.
func (q *Quotas) SetRates(rates []float64, dispatchers int) {
	q.rates = rates
	q.usage = append(q.usage, make([]usage, max(len(rates)-len(q.usage), 0))...)
	if q.localFraction == 0 {
		q.localFraction = 1 / float64(max(dispatchers, 1))
	}
}

// NeedsSample tells whether it is time for another look at who holds the fleet's work.
func (q *Quotas) NeedsSample(now time.Duration) bool {
	return len(q.rates) > 0 && now >= q.nextSampleAt
}

// Sample takes in how many slots this dispatcher's jobs hold, and all dispatchers'.
func (q *Quotas) Sample(own, all float64, now time.Duration) {
	q.nextSampleAt = now + sampleInterval
	if all > 0 {
		q.localFraction += (min(own/all, 1) - q.localFraction) * fractionGain
	}
}

// Within tells whether another request of a tenant stays inside its share. Who is no tenant
// has none to go past.
func (q *Quotas) Within(tenant int, now time.Duration) bool {
	if tenant < 0 || tenant >= len(q.rates) || q.rates[tenant] <= 0 {
		return true
	}
	rate, u := q.rates[tenant]*q.localFraction, &q.usage[tenant]
	u.requests, u.at = max(u.requests-rate*(now-u.at).Seconds(), 0), now
	return u.requests+1 <= q.maxRequests(tenant)
}

// Charge takes in that a request of a tenant has been let in. Guards the share of the next
// minute from a time in which there was room for all: no more than can be saved is owed.
func (q *Quotas) Charge(tenant int) {
	if tenant >= 0 && tenant < len(q.rates) {
		q.usage[tenant].requests = min(q.usage[tenant].requests+1, 2*q.maxRequests(tenant))
	}
}

func (q *Quotas) maxRequests(tenant int) float64 {
	return max(q.rates[tenant]*q.localFraction*burst.Seconds(), minSavedRequests)
}
