package warmupbudget

import (
	"math"
	"time"
)

// Sampling: each of many dispatchers sends a sample of its own requests to a warming worker, so that what they all send
// adds up to a given flow whatever part of the traffic each one gets. No dispatcher needs to know what the others send:
// one with an arrival rate of its own samples each request with the probability flow / (dispatchers x its rate).

const (
	// maxWindowFraction is the fraction of a window's limit that one request may use.
	maxWindowFraction = 0.18
	// lightWork is the work, relative to the mean, up to which requests are sampled alike.
	lightWork = 1.0
	// safetyDeviations is how many standard deviations the mean of a window stays below its limit.
	safetyDeviations = 3.0
	// busyFactor bounds the flow, relative to what a warming worker serves at the least: most serve more, and a request
	// that may go to several workers goes to one.
	busyFactor = 2.0
	// rateMemory is the time constant of a dispatcher's arrival rate.
	rateMemory = 10 * time.Second
	// trafficGain is the weight of a new request in the means of Traffic.
	trafficGain = 1.0 / 32
)

// WindowBound returns how many requests of mean work a warming worker can take in a window without a crash, where the
// rules allow it n: the rules leave slack for chance.
func WindowBound(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// WarmingWorker is a worker that has started lately: Rate is how many requests of mean work per second it serves once it
// is warm.
type WarmingWorker struct {
	Rate      float64
	StartedAt time.Duration
}

// minServedRate returns how many requests of mean work per second a warming worker serves at the least.
func (r Rules) minServedRate(worker WarmingWorker, now time.Duration) float64 {
	return worker.Rate * r.Capacity(worker.StartedAt, now)
}

// windowLimit returns how many requests of mean work a warming worker can take in the window that begins now.
func (r Rules) windowLimit(worker WarmingWorker, now time.Duration) float64 {
	return WindowBound(r.OverloadMultiple * r.minServedRate(worker, now) * r.OverloadWindow.Seconds())
}

// Traffic is what a dispatcher knows of its own requests: their rate and their work. The zero value knows nothing, and
// no request is sent by it.
type Traffic struct {
	firstArrival, lastArrival time.Duration
	count                     float64 // of arrivals, decayed with rateMemory
	// Means over requests of lightFraction, and of its products with the work and with the square of the work.
	passFraction, passedWork, passedWorkSquared float64
}

// lightFraction returns the fraction of requests of the given work, relative to the mean, that may be sent to a warming
// worker. It is smaller for longer requests, so that a few of them do not fill a window and short ones, which end soon
// even there, are most of what the worker gets.
func lightFraction(work float64) float64 { return min(lightWork/max(work, lightWork), 1) }

// RecordArrival records a request and its work relative to the mean.
func (t *Traffic) RecordArrival(work float64, now time.Duration) {
	if t.count == 0 {
		t.firstArrival, t.lastArrival = now, now
		// The values of a distribution of work whose standard deviation is twice its mean.
		t.passFraction, t.passedWork, t.passedWorkSquared = 0.85, 0.6, 0.8
	}
	t.count = t.count*math.Exp(-float64(now-t.lastArrival)/float64(rateMemory)) + 1
	t.lastArrival = now
	fraction := lightFraction(work)
	t.passFraction += (fraction - t.passFraction) * trafficGain
	t.passedWork += (fraction*work - t.passedWork) * trafficGain
	t.passedWorkSquared += (fraction*work*work - t.passedWorkSquared) * trafficGain
}

// rate returns how many requests arrive per second, the last one included. It is infinite at the first one, so that a
// dispatcher which has just started sends none before it knows its rate.
func (t *Traffic) rate(now time.Duration) float64 {
	observed := 1 - math.Exp(-float64(now-t.firstArrival)/float64(rateMemory))
	return t.count * math.Exp(-float64(now-t.lastArrival)/float64(rateMemory)) / (rateMemory.Seconds() * observed)
}

// Flow returns how many requests per second all dispatchers together send to a warming worker: so many that the mean of
// a window stays below its limit by safetyDeviations standard deviations, and no more than busyFactor times what it
// serves, as every request that may be sent there is.
func (r Rules) Flow(t *Traffic, worker WarmingWorker, now time.Duration) float64 {
	if t.count == 0 {
		return 0
	}
	work, square := t.passedWork/t.passFraction, t.passedWorkSquared/t.passFraction
	// The square root of the most requests n of a window for which work*n + safetyDeviations*sqrt(square*n) is
	// within the limit.
	deviation := safetyDeviations * math.Sqrt(square)
	root := (math.Sqrt(deviation*deviation+4*work*r.windowLimit(worker, now)) - deviation) / (2 * work)
	return min(root*root/r.OverloadWindow.Seconds(), busyFactor*r.minServedRate(worker, now)/work)
}

// MaySend reports whether a dispatcher may send one request of the given work, relative to the mean, to a warming worker.
// The sample is a hash, so the answer depends on t and now but not on how often it is asked.
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
