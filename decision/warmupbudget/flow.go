package warmupbudget

import (
	"math"
	"time"
)

// Sampling: each of many dispatchers sends a sample of its own requests to a warming worker, so that all samples add up to
// a given flow, whatever share of the traffic each dispatcher gets. No dispatcher needs to know what the others send: it
// samples each of its requests with the probability flow / (dispatchers x its own arrival rate).

const (
	// maxWindowFraction is the largest fraction of a window's limit that one request may use.
	maxWindowFraction = 0.18
	// lightWork is the work, relative to the mean, up to which requests are sampled with the same probability.
	lightWork = 1.0
	// safetyDeviations is the distance of a window's mean work from its limit, in standard deviations.
	safetyDeviations = 3.0
	// busyFactor bounds the flow as a multiple of the least rate that a warming worker serves. It exceeds 1 because most
	// workers serve more, and a request that is sampled for several workers is sent to only one.
	busyFactor = 2.0
	// rateMemory is the time constant of the estimate of a dispatcher's arrival rate.
	rateMemory = 10 * time.Second
	// trafficGain is the weight of a new request in the moving averages of Traffic.
	trafficGain = 1.0 / 32
)

// WindowBound returns how many requests of mean work a warming worker can take in a window without a crash, given the
// nominal number n by the rules. It exceeds n because the rules tolerate random fluctuations.
func WindowBound(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// WarmingWorker is a worker that has started recently.
type WarmingWorker struct {
	Rate      float64 // requests of mean work per second that it serves once it is warm
	StartedAt time.Duration
}

// minServedRate returns the least number of requests of mean work per second that a warming worker serves.
func (r Rules) minServedRate(worker WarmingWorker, now time.Duration) float64 {
	return worker.Rate * r.Capacity(worker.StartedAt, now)
}

// windowLimit returns how many requests of mean work a warming worker can take in the window that begins now.
func (r Rules) windowLimit(worker WarmingWorker, now time.Duration) float64 {
	return WindowBound(r.OverloadMultiple * r.minServedRate(worker, now) * r.OverloadWindow.Seconds())
}

// Traffic estimates the rate and the work of a dispatcher's own requests. With the zero value, which has no recorded
// arrivals, no request may be sent.
type Traffic struct {
	firstArrival, lastArrival time.Duration
	count                     float64 // number of arrivals, decayed with rateMemory
	// Means over requests of lightFraction, of its product with the work, and of its product with the squared work.
	passFraction, passedWork, passedWorkSquared float64
}

// lightFraction returns the fraction of requests of the given work, relative to the mean, that may be sent to a warming
// worker. It is smaller for longer requests, so that a few of them do not fill a window and the worker gets mostly short
// requests, which end soon even on a warming worker.
func lightFraction(work float64) float64 { return min(lightWork/max(work, lightWork), 1) }

// RecordArrival records a request and its work relative to the mean.
func (t *Traffic) RecordArrival(work float64, now time.Duration) {
	if t.count == 0 {
		t.firstArrival, t.lastArrival = now, now
		// Initial values: those of a distribution of work whose standard deviation is twice its mean.
		t.passFraction, t.passedWork, t.passedWorkSquared = 0.85, 0.6, 0.8
	}
	t.count = t.count*math.Exp(-float64(now-t.lastArrival)/float64(rateMemory)) + 1
	t.lastArrival = now
	fraction := lightFraction(work)
	t.passFraction += (fraction - t.passFraction) * trafficGain
	t.passedWork += (fraction*work - t.passedWork) * trafficGain
	t.passedWorkSquared += (fraction*work*work - t.passedWorkSquared) * trafficGain
}

// rate returns the estimated number of arriving requests per second, including the last one. It is infinite at the first
// arrival, so that a dispatcher that has just started sends nothing before it knows its rate.
func (t *Traffic) rate(now time.Duration) float64 {
	observed := 1 - math.Exp(-float64(now-t.firstArrival)/float64(rateMemory))
	return t.count * math.Exp(-float64(now-t.lastArrival)/float64(rateMemory)) / (rateMemory.Seconds() * observed)
}

// Flow returns how many requests per second all dispatchers together may send to a warming worker: as many as keep the
// mean work of a window safetyDeviations standard deviations below its limit, but at most busyFactor times the least rate
// that the worker serves, as every sampled request is sent there.
func (r Rules) Flow(t *Traffic, worker WarmingWorker, now time.Duration) float64 {
	if t.count == 0 {
		return 0
	}
	work, square := t.passedWork/t.passFraction, t.passedWorkSquared/t.passFraction
	// root is the square root of the largest number n of requests in a window for which
	// work*n + safetyDeviations*sqrt(square*n) is within the limit.
	deviation := safetyDeviations * math.Sqrt(square)
	root := (math.Sqrt(deviation*deviation+4*work*r.windowLimit(worker, now)) - deviation) / (2 * work)
	return min(root*root/r.OverloadWindow.Seconds(), busyFactor*r.minServedRate(worker, now)/work)
}

// MaySend reports whether a dispatcher may send a request of the given work, relative to the mean, to a warming worker.
// The sample is a hash of the request, the dispatcher and the worker, so repeated calls with the same arguments return the
// same result.
func (r Rules) MaySend(t *Traffic, peer Peer, worker WarmingWorker, workerID uint32, requestID uint64, work float64,
	now time.Duration) bool {
	if t.count == 0 || work > maxWindowFraction*r.windowLimit(worker, now) {
		return false
	}
	hash := requestID*0x9e3779b97f4a7c15 + uint64(peer.Number)*0xbf58476d1ce4e5b9 + uint64(workerID)*0x94d049bb133111eb
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	traffic := float64(max(peer.Count, 1)) * t.rate(now)
	probability := lightFraction(work) / t.passFraction * r.Flow(t, worker, now) / traffic
	return float64((hash^hash>>31)>>11)/(1<<53) < probability
}
