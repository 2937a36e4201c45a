// Package fairshare reports whether a request is within its tenant's quota. A quota is a rate over all dispatchers
// together, but each dispatcher sees only its own traffic. A dispatcher therefore allows a fraction of the rate: the
// fraction of the fleet's slots in use that its own requests use. Package decision asks it for every request, and charges
// a tenant only for requests that are sent.
//
// The package is pure: it does no I/O and reads no clock. Quotas are not safe for concurrent use.
package fairshare

import "time"

const (
	// burst is the period of unused quota that a tenant can save up, as requests do not arrive at regular intervals.
	burst = 2 * time.Second
	// minSavedRequests is the least number of requests that a tenant can save up, however small its quota is.
	minSavedRequests = 2
	// fractionGain is the weight of a new sample in the moving average of the dispatcher's fraction.
	fractionGain = 1.0 / 32
	// sampleInterval is the least time between two samples of the slots in use.
	sampleInterval = 50 * time.Millisecond
)

// Quotas holds the quotas of all tenants at this dispatcher and a leaky bucket per tenant for the used quota. The zero
// value has no tenants; see SetRates.
type Quotas struct {
	rates         []float64 // requests a second over all dispatchers; 0 for no limit
	usage         []usage
	localFraction float64 // this dispatcher's fraction of the fleet's slots in use
	nextSampleAt  time.Duration
}

// usage is a tenant's leaky bucket.
type usage struct {
	requests float64       // charged requests that have not drained yet
	at       time.Duration // when requests was last drained
}

// SetRates sets the tenants' rates, in requests per second over all dispatchers, 0 for no limit. The number of
// dispatchers gives the first estimate of this dispatcher's fraction. Used quota stays used.
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

// Sample updates this dispatcher's fraction from the slots that its own requests use and the slots that the requests of
// all dispatchers use.
func (q *Quotas) Sample(own, all float64, now time.Duration) {
	q.nextSampleAt = now + sampleInterval
	if all > 0 {
		q.localFraction += (min(own/all, 1) - q.localFraction) * fractionGain
	}
}

// Within reports whether another request of a tenant is within its quota. Every request of an unknown tenant or of a
// tenant without a limit is.
func (q *Quotas) Within(tenant int, now time.Duration) bool {
	if tenant < 0 || tenant >= len(q.rates) || q.rates[tenant] <= 0 {
		return true
	}
	rate, u := q.rates[tenant]*q.localFraction, &q.usage[tenant]
	u.requests, u.at = max(u.requests-rate*(now-u.at).Seconds(), 0), now
	return u.requests+1 <= q.maxRequests(tenant)
}

// Charge counts a request against its tenant's quota. The bucket holds at most twice the requests that can be saved up,
// so that requests beyond the quota that were admitted while there was capacity for all do not use up the quota of the
// next minute.
func (q *Quotas) Charge(tenant int) {
	if tenant >= 0 && tenant < len(q.rates) {
		q.usage[tenant].requests = min(q.usage[tenant].requests+1, 2*q.maxRequests(tenant))
	}
}

// maxRequests returns how many requests a tenant can save up.
func (q *Quotas) maxRequests(tenant int) float64 {
	return max(q.rates[tenant]*q.localFraction*burst.Seconds(), minSavedRequests)
}
