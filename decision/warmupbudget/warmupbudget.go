// Package warmupbudget divides among the dispatchers the work that may be sent to a worker that has just started. A
// warming worker that is sent more than a multiple of its current capacity within a window crashes, and no dispatcher
// knows what the others send. Each dispatcher therefore keeps to its own share. Up to MaxUnsampledPeers dispatchers have a
// leaky bucket each (Rules.Allows). With more dispatchers a share would be less than a single request: each dispatcher
// sends a pseudo-random sample of its requests (Rules.MaySend), and later uses the worker for a fraction of the time
// (Rules.InRotation).
//
// Package decision asks it before an attempt is sent to a warming worker. The package is pure: it does no I/O, reads no
// clock and draws no random numbers; samples are hashes of numbers. LeakyBucket and Traffic are not safe for
// concurrent use; Rules is.
package warmupbudget

import "time"

// MaxUnsampledPeers is the number of peers above which a worker's budget is divided by sampling.
const MaxUnsampledPeers = 16

// Rules holds the parameters of warming workers. A worker's capacity rises from at least the fraction InitialCapacity at
// its start to 1 after WarmUp at the latest. A worker that is sent more than OverloadMultiple times its current capacity
// for OverloadWindow crashes.
type Rules struct {
	InitialCapacity  float64
	WarmUp           time.Duration
	OverloadMultiple float64
	OverloadWindow   time.Duration
}

// Peer is one of the dispatchers that share a worker's budget: its number, from 0, and the number of dispatchers.
type Peer struct{ Number, Count int }

// Sampled reports whether there are so many peers that they divide budgets by sampling.
func (p Peer) Sampled() bool { return p.Count > MaxUnsampledPeers }

// LeakyBucket holds the work that a dispatcher has sent to a worker and that still counts against the budget. It drains
// at the dispatcher's share of the rate that the worker can take (Rules.Allows). The zero value is empty.
type LeakyBucket struct {
	work float64       // seconds
	at   time.Duration // when the bucket was last drained
}

// Add adds seconds of work that have been sent.
func (b *LeakyBucket) Add(work float64) { b.work += work }

// CapacityReachedAt returns when OverloadMultiple times the least capacity of a worker that started at the given time
// reaches the capacity of the given number of warm workers; 0 if the worker is warm from the start.
func (r Rules) CapacityReachedAt(startedAt time.Duration, workers float64) time.Duration {
	if startedAt <= 0 || r.InitialCapacity >= 1 || r.OverloadMultiple <= 0 {
		return 0
	}
	progress := max(min(workers/r.OverloadMultiple, 1)-r.InitialCapacity, 0) / (1 - r.InitialCapacity)
	return startedAt + time.Duration(progress*float64(r.WarmUp))
}

// capacityAtAge returns the least capacity of a warming worker of the given age, as a fraction of its full capacity. It is
// not limited to 1 past WarmUp.
func (r Rules) capacityAtAge(age time.Duration) float64 {
	return r.InitialCapacity + (1-r.InitialCapacity)*float64(age)/float64(r.WarmUp)
}

// Capacity returns the least capacity of a worker that started at the given time, 0 for long ago, as a fraction of its
// full capacity: 1 once the worker is warm.
func (r Rules) Capacity(startedAt, now time.Duration) float64 {
	if startedAt <= 0 || r.WarmUp <= 0 {
		return 1
	}
	return min(r.capacityAtAge(max(now-startedAt, 0)), 1)
}

// Allows reports whether a peer may send the given seconds of work, in addition to the work in its bucket, to a worker
// with the given slots that started at the given time. It drains the bucket up to now.
func (r Rules) Allows(b *LeakyBucket, peer Peer, slots float64, startedAt, now time.Duration, work float64) bool {
	rate := r.capacityAtAge(now-startedAt) * slots
	rate *= r.OverloadMultiple / float64(max(peer.Count, 1))
	b.work, b.at = max(b.work-rate*(now-b.at).Seconds(), 0), now
	return b.work+work <= rate*r.OverloadWindow.Seconds()
}

// InRotation reports whether one of many peers may select a warming worker in the current turn; the worker must be able to
// take its share of the ordinary traffic. The fraction of peers that may select the worker in a turn is the worker's
// capacity. Otherwise all dispatchers at once would send a half-warm worker as much as a warm one.
func (r Rules) InRotation(peer Peer, startedAt, now time.Duration) bool {
	hash := uint64(r.Turn(startedAt, now))*0x9e3779b97f4a7c15 + uint64(peer.Number)*0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>29) * 0x94d049bb133111eb
	return float64((hash^hash>>32)&0xffffff)/(1<<24) < r.capacityAtAge(now-startedAt)
}

// Tolerates reports whether a warming worker with the given slots can take one request of the given seconds of work in
// addition to ordinary traffic. A single one of the few requests with many times the mean work of their class can overload
// the worker.
func (r Rules) Tolerates(slots float64, startedAt, now time.Duration, work float64) bool {
	return work <= r.capacityAtAge(now-startedAt)*slots*r.OverloadMultiple*r.OverloadWindow.Seconds()
}

// Turn returns the number of a worker's current turn. A turn takes half an OverloadWindow. All dispatchers agree on it, as
// they read the same clock and have the same start time listed. Even workers that start together start at least a
// millisecond apart, which gives them different turns.
func (r Rules) Turn(startedAt, now time.Duration) int64 {
	return int64(max(now-startedAt, 0)/r.turnLength()) + int64(startedAt/time.Millisecond)
}

// turnLength returns the duration of a turn.
func (r Rules) turnLength() time.Duration { return max(r.OverloadWindow/2, time.Millisecond) }
