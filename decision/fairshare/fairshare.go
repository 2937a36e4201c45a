// Package fairshare reports which requests are within the quota of their tenant. A quota is a rate over all
// dispatchers together, of which each sees only its own traffic. Each allows the fraction of the rate that
// equals its fraction of the work that the fleet has in use. Package decision asks it for every request, and
// charges a tenant only for requests that are sent.
//
// The package is pure: it does no I/O and reads no clock. Quotas are not safe for concurrent use.
package fairshare

import "time"

const (
	// burst is for how long a quota can be saved up, as requests do not come at regular intervals.
	burst = 2 * time.Second
	// minSavedRequests is how many requests of the smallest quota can be saved up.
	minSavedRequests = 2
	// fractionGain is the weight of a new sample in the mean fraction of the fleet's work.
	fractionGain = 1.0 / 32
	// sampleInterval is the least time between two samples of the fleet's work.
	sampleInterval = 50 * time.Millisecond
)

// Quotas are the quotas of all tenants at this dispatcher, and what has been used of them: a leaky bucket per
// tenant. The zero value has no tenants; see SetRates.
type Quotas struct {
	rates         []float64 // requests a second over all dispatchers; 0 for no limit
	usage         []usage
	localFraction float64 // this dispatcher's fraction of the work that the fleet has in use
	nextSampleAt  time.Duration
}

// usage is what a tenant has used of its quota and what has not drained yet.
type usage struct {
	requests float64
	at       time.Duration // when requests was last drained
}

// SetRates takes over the tenants' rates, in requests per second over all dispatchers, 0 for no limit, and the
// number of dispatchers, which is the first estimate of this dispatcher's fraction. What has been used stays used.
func (q *Quotas) SetRates(rates []float64, dispatchers int) {
	q.rates = rates
	q.usage = append(q.usage, make([]usage, max(len(rates)-len(q.usage), 0))...)
	if q.localFraction == 0 {
		q.localFraction = 1 / float64(max(dispatchers, 1))
	}
}

// NeedsSample reports whether it is time for another Sample.
func (q *Quotas) NeedsSample(now time.Duration) bool {
	return len(q.rates) > 0 && now >= q.nextSampleAt
}

// Sample updates this dispatcher's fraction of the fleet's work by the slots that its own requests use, and those that
// all dispatchers' requests use.
func (q *Quotas) Sample(own, all float64, now time.Duration) {
	q.nextSampleAt = now + sampleInterval
	if all > 0 {
		q.localFraction += (min(own/all, 1) - q.localFraction) * fractionGain
	}
}

// Within reports whether another request of a tenant is within its quota. It always is for an unknown tenant and one
// without a limit.
func (q *Quotas) Within(tenant int, now time.Duration) bool {
	if tenant < 0 || tenant >= len(q.rates) || q.rates[tenant] <= 0 {
		return true
	}
	rate, u := q.rates[tenant]*q.localFraction, &q.usage[tenant]
	u.requests, u.at = max(u.requests-rate*(now-u.at).Seconds(), 0), now
	return u.requests+1 <= q.maxRequests(tenant)
}

// Charge counts a request against its tenant's quota. No more than twice what can be saved up is owed, so that requests
// beyond the quota, let in while there was capacity for all, do not use up the quota of the next minute.
func (q *Quotas) Charge(tenant int) {
	if tenant >= 0 && tenant < len(q.rates) {
		q.usage[tenant].requests = min(q.usage[tenant].requests+1, 2*q.maxRequests(tenant))
	}
}

// maxRequests returns how many requests of a tenant can be saved up.
func (q *Quotas) maxRequests(tenant int) float64 {
	return max(q.rates[tenant]*q.localFraction*burst.Seconds(), minSavedRequests)
}
