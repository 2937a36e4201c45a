// Package warmupbudget divides among dispatchers what may be sent to a worker that has just started. A warming worker
// that is sent more than a multiple of its present capacity within a window crashes, and no dispatcher knows what the
// others send. So each keeps to a part of its own. Up to MaxUnsampledPeers dispatchers have a leaky bucket each
// (Rules.Allows). Of more dispatchers a part would not hold a single request: each lets a random sample of its
// requests through (Rules.MaySend), and later joins for a part of the time (Rules.InRotation).
//
// Package decision asks it before an attempt is sent to a warming worker. The package is pure: it does no I/O, reads no
// clock and draws no random numbers; samples are hashes of numbers. LeakyBucket and Traffic are not safe for
// concurrent use; Rules is.
package warmupbudget

import "time"

// MaxUnsampledPeers is the number of peers above which a worker's budget is divided by sampling.
const MaxUnsampledPeers = 16

// Rules are the figures of warming workers. A worker's capacity rises from the fraction InitialCapacity, or more, at its
// start to 1 after WarmUp at the latest. One that is sent more than OverloadMultiple times its present capacity for
// OverloadWindow crashes.
type Rules struct {
	InitialCapacity  float64
	WarmUp           time.Duration
	OverloadMultiple float64
	OverloadWindow   time.Duration
}

// Peer is one of the dispatchers that divide a worker's budget: its number, from 0, and how many there are.
type Peer struct{ Number, Count int }

// Sampled reports whether so many peers divide budgets by sampling.
func (p Peer) Sampled() bool { return p.Count > MaxUnsampledPeers }

// LeakyBucket is the work that a dispatcher has sent to a worker and that still counts against the budget. It drains at
// the dispatcher's part of the rate that the worker can take (Rules.Allows). The zero value is empty.
type LeakyBucket struct {
	work float64 // seconds
	at   time.Duration
}

// Add counts seconds of work that have been sent.
func (b *LeakyBucket) Add(work float64) { b.work += work }

// CapacityReachedAt returns when OverloadMultiple times the least capacity of a worker that started at the given time
// covers the work of the given number of warm workers; 0 where it is warm from the start.
func (r Rules) CapacityReachedAt(startedAt time.Duration, workers float64) time.Duration {
	if startedAt <= 0 || r.InitialCapacity >= 1 || r.OverloadMultiple <= 0 {
		return 0
	}
	progress := max(min(workers/r.OverloadMultiple, 1)-r.InitialCapacity, 0) / (1 - r.InitialCapacity)
	return startedAt + time.Duration(progress*float64(r.WarmUp))
}

// capacityAtAge returns the least fraction of its capacity that a warming worker of the given age has; past WarmUp it
// is more than 1.
func (r Rules) capacityAtAge(age time.Duration) float64 {
	return r.InitialCapacity + (1-r.InitialCapacity)*float64(age)/float64(r.WarmUp)
}

// Capacity returns the least fraction of its capacity that a worker has which started at the given time, 0 for long ago;
// 1 once it is warm.
func (r Rules) Capacity(startedAt, now time.Duration) float64 {
	if startedAt <= 0 || r.WarmUp <= 0 {
		return 1
	}
	return min(r.capacityAtAge(max(now-startedAt, 0)), 1)
}

// Allows reports whether a peer may send the given seconds of work, on top of what its bucket holds, to a worker with
// the given slots that started at the given time. It drains the bucket up to now.
func (r Rules) Allows(b *LeakyBucket, peer Peer, slots float64, startedAt, now time.Duration, work float64) bool {
	rate := r.capacityAtAge(now-startedAt) * slots
	rate *= r.OverloadMultiple / float64(max(peer.Count, 1))
	b.work, b.at = max(b.work-rate*(now-b.at).Seconds(), 0), now
	return b.work+work <= rate*r.OverloadWindow.Seconds()
}

// InRotation reports whether one of many peers may select, in the present turn, a warming worker that can take its part
// of the ordinary traffic. In each turn the fraction of the peers that may is the worker's capacity. Otherwise all
// dispatchers at once would send a half-warm worker what a warm one gets.
func (r Rules) InRotation(peer Peer, startedAt, now time.Duration) bool {
	hash := uint64(r.Turn(startedAt, now))*0x9e3779b97f4a7c15 + uint64(peer.Number)*0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>29) * 0x94d049bb133111eb
	return float64((hash^hash>>32)&0xffffff)/(1<<24) < r.capacityAtAge(now-startedAt)
}

// Tolerates reports whether a warming worker with the given slots can take one request of the given seconds of work on
// top of ordinary traffic. One of the few requests that take many times the mean of their class can overload it alone.
func (r Rules) Tolerates(slots float64, startedAt, now time.Duration, work float64) bool {
	return work <= r.capacityAtAge(now-startedAt)*slots*r.OverloadMultiple*r.OverloadWindow.Seconds()
}

// Turn returns the number of a worker's present turn. A turn takes half an OverloadWindow. All dispatchers read the same
// clock and list the same start, so they agree on it. Workers that start together do so at least a millisecond apart,
// and have different turns by that.
func (r Rules) Turn(startedAt, now time.Duration) int64 {
	return int64(max(now-startedAt, 0)/r.turnLength()) + int64(startedAt/time.Millisecond)
}

// turnLength returns how long a turn takes.
func (r Rules) turnLength() time.Duration { return max(r.OverloadWindow/2, time.Millisecond) }
