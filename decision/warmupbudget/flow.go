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
	// heaviest is the part of what a worker bears in a window that one request may take.
	heaviest = 0.18
	// lightest is the work against the mean up to which all requests count alike.
	lightest = 1.0
	// spare is how many standard deviations a window stays below what the worker bears.
	spare = 3.0
	// keepsBusy is how much of what a cold worker can do at least may go there: most can do more, and
	// a request that may go to several goes to one.
	keepsBusy = 2.0
	// remembers is how long an arrival counts in a dispatcher's rate, about.
	remembers = 10 * time.Second
	// mixGain is the weight of a request in what is known of its like.
	mixGain = 1.0 / 32
)

// Bound returns how many requests of mean work a cold worker bears in a window without
// falling, where the settings allow it n: the rule's own slack for chance.
func Bound(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// Cold is a worker that has started at a time, and how many requests of mean work a warm one
// of its like serves in a second.
type Cold struct {
	Rate      float64
	StartedAt time.Duration
}

// can returns how many requests of mean work a second a cold worker serves at least.
func (r Rules) can(c Cold, now time.Duration) float64 { return c.Rate * r.Share(c.StartedAt, now) }

// bears returns how many requests of mean work a cold worker bears in the window that begins.
func (r Rules) bears(c Cold, now time.Duration) float64 {
	return Bound(r.FallMultiple * r.can(c, now) * r.FallWindow.Seconds())
}

// Mix is what a dispatcher knows of its own requests: how many come, and what work they are. The
// zero value knows nothing and lets none go.
type Mix struct {
	since, at          time.Duration
	count              float64 // of arrivals, as they fade
	part, work, square float64 // means of the part that may go, of its work and of the work's square
}

// thin is the part of requests of some work, against the mean, that may go to a worker which is
// cold: of heavier ones fewer, so that few of them do not make up a window, and light ones, which
// end soon even there, are most of what it gets.
func thin(work float64) float64 { return min(lightest/max(work, lightest), 1) }

// Arrived takes in a request and its work against the mean.
func (m *Mix) Arrived(work float64, now time.Duration) {
	if m.count == 0 {
		m.since, m.at = now, now
		m.part, m.work, m.square = 0.85, 0.6, 0.8 // as works with twice the mean as deviation have
	}
	m.count = m.count*math.Exp(-float64(now-m.at)/float64(remembers)) + 1
	m.at = now
	part := thin(work)
	m.part += (part - m.part) * mixGain
	m.work += (part*work - m.work) * mixGain
	m.square += (part*work*work - m.square) * mixGain
}

// rate returns how many requests a second arrive, the last one counted; infinite at the first,
// so that a dispatcher which has just started lets none go before it knows.
func (m *Mix) rate(now time.Duration) float64 {
	seen := 1 - math.Exp(-float64(now-m.since)/float64(remembers))
	return m.count * math.Exp(-float64(now-m.at)/float64(remembers)) / (remembers.Seconds() * seen)
}

// Flow returns how many requests a second all dispatchers together let go to a cold worker: so
// many that a window holds less than the worker bears by spare standard deviations, and no more
// than keeps it busy, as all that may go there goes.
func (r Rules) Flow(m *Mix, c Cold, now time.Duration) float64 {
	if m.count == 0 {
		return 0
	}
	work, square := m.work/m.part, m.square/m.part
	// The most requests n of a window with work*n + spare*sqrt(square*n) at the bound.
	dev := spare * math.Sqrt(square)
	n := (math.Sqrt(dev*dev+4*work*r.bears(c, now)) - dev) / (2 * work)
	return min(n*n/r.FallWindow.Seconds(), keepsBusy*r.can(c, now)/work)
}

// Passes tells whether a dispatcher may send one request of some work, against the mean, to a
// cold worker. It says the same each time that it is asked for the same request and worker.
func (r Rules) Passes(m *Mix, who Sharer, c Cold, worker uint32, request uint64, work float64, now time.Duration) bool {
	if m.count == 0 || work > heaviest*r.bears(c, now) {
		return false
	}
	h := request*0x9e3779b97f4a7c15 + uint64(who.Number)*0xbf58476d1ce4e5b9 + uint64(worker)*0x94d049bb133111eb
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	part := thin(work) / m.part * r.Flow(m, c, now) / (float64(max(who.Count, 1)) * m.rate(now))
	return float64((h^h>>31)>>11)/(1<<53) < part
}
