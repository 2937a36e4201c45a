package warmupbudget

import (
	"math"
	"time"
)

// Where many share a worker that has started lately, each lets a part of its own requests go
// there, so that what all let go together comes to a stated flow, whoever gets how much of the
// traffic. Nobody needs to know what the others send: a dispatcher with a rate of its own lets
// each request go by a draw of flow / (dispatchers x its rate).

const (
	// maxWindowFraction is the part of what a worker bears in a window that one request may take.
	maxWindowFraction = 0.18
	// lightWork is the work against the mean up to which all requests count alike.
	lightWork = 1.0
	// safetyDeviations is how many standard deviations a window stays below what the worker bears.
	safetyDeviations = 3.0
	// busyFactor is how much of what a cold worker can do at least may go there: most can do more, and
	// a request that may go to several goes to one.
	busyFactor = 2.0
	// rateMemory is how long an arrival counts in a dispatcher's rate, about.
	rateMemory = 10 * time.Second
	// trafficGain is the weight of a request in what is known of its like.
	trafficGain = 1.0 / 32
)

// WindowBound returns how many requests of mean work a cold worker bears in a window without
// falling, where the settings allow it n: the rule's own slack for chance.
func WindowBound(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// WarmingWorker is a worker that has started at a time, and how many requests of mean work a warm one
// of its like serves in a second.
type WarmingWorker struct {
	Rate      float64
	StartedAt time.Duration
}

// minServedRate returns how many requests of mean work a second a cold worker serves at least.
func (r Rules) minServedRate(worker WarmingWorker, now time.Duration) float64 {
	return worker.Rate * r.Capacity(worker.StartedAt, now)
}

// windowLimit returns how many requests of mean work a cold worker bears in the window that begins.
func (r Rules) windowLimit(worker WarmingWorker, now time.Duration) float64 {
	return WindowBound(r.OverloadMultiple * r.minServedRate(worker, now) * r.OverloadWindow.Seconds())
}

// Traffic is what a dispatcher knows of its own requests: how many come, and what work they are. The
// zero value knows nothing and lets none go.
type Traffic struct {
	firstArrival, lastArrival                   time.Duration
	count                                       float64 // of arrivals, as they fade
	passFraction, passedWork, passedWorkSquared float64 // means of the part that may go, of its work and of the work's square
}

// lightFraction is the part of requests of some work, against the mean, that may go to a worker which is
// cold: of heavier ones fewer, so that few of them do not make up a window, and light ones, which
// end soon even there, are most of what it gets.
func lightFraction(work float64) float64 { return min(lightWork/max(work, lightWork), 1) }

// RecordArrival takes in a request and its work against the mean.
func (m *Traffic) RecordArrival(work float64, now time.Duration) {
	if m.count == 0 {
		m.firstArrival, m.lastArrival = now, now
		m.passFraction, m.passedWork, m.passedWorkSquared = 0.85, 0.6, 0.8 // as works with twice the mean as deviation have
	}
	m.count = m.count*math.Exp(-float64(now-m.lastArrival)/float64(rateMemory)) + 1
	m.lastArrival = now
	part := lightFraction(work)
	m.passFraction += (part - m.passFraction) * trafficGain
	m.passedWork += (part*work - m.passedWork) * trafficGain
	m.passedWorkSquared += (part*work*work - m.passedWorkSquared) * trafficGain
}

// rate returns how many requests a second arrive, the last one counted; infinite at the first,
// so that a dispatcher which has just started lets none go before it knows.
func (m *Traffic) rate(now time.Duration) float64 {
	seen := 1 - math.Exp(-float64(now-m.firstArrival)/float64(rateMemory))
	return m.count * math.Exp(-float64(now-m.lastArrival)/float64(rateMemory)) / (rateMemory.Seconds() * seen)
}

// Flow returns how many requests a second all dispatchers together let go to a cold worker: so
// many that a window holds less than the worker bears by spare standard deviations, and no more
// than keeps it busy, as all that may go there goes.
func (r Rules) Flow(m *Traffic, worker WarmingWorker, now time.Duration) float64 {
	if m.count == 0 {
		return 0
	}
	work, square := m.passedWork/m.passFraction, m.passedWorkSquared/m.passFraction
	// The most requests n of a window with work*n + spare*sqrt(square*n) at the bound.
	dev := safetyDeviations * math.Sqrt(square)
	n := (math.Sqrt(dev*dev+4*work*r.windowLimit(worker, now)) - dev) / (2 * work)
	return min(n*n/r.OverloadWindow.Seconds(), busyFactor*r.minServedRate(worker, now)/work)
}

// MaySend tells whether a dispatcher may send one request of some work, against the mean, to a
// cold worker. It says the same each time that it is asked for the same request and worker.
func (r Rules) MaySend(m *Traffic, peer Peer, worker WarmingWorker, workerID uint32, requestID uint64, work float64, now time.Duration) bool {
	if m.count == 0 || work > maxWindowFraction*r.windowLimit(worker, now) {
		return false
	}
	h := requestID*0x9e3779b97f4a7c15 + uint64(peer.Number)*0xbf58476d1ce4e5b9 + uint64(workerID)*0x94d049bb133111eb
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	part := lightFraction(work) / m.passFraction * r.Flow(m, worker, now) / (float64(max(peer.Count, 1)) * m.rate(now))
	return float64((h^h>>31)>>11)/(1<<53) < part
}
