// Package warmupbudget shares out what a worker that has just started bears. A cold worker
// that is sent more than a multiple of its present capacity within a window falls over,
// and dispatchers know nothing of what the others send. So each keeps to a part of its
// own: few dispatchers by a bill that is paid off with time, many by a draw for each request,
// as a part of theirs would not hold a single job. The package is pure: no I/O, no clock.
package warmupbudget

import "time"

// MinSampledPeers is from how many sharers on a worker is shared by draws.
const MinSampledPeers = 16

// Rules are the figures of the rule on cold workers.
type Rules struct {
	InitialCapacity  float64       // a worker starts at this share of its capacity or more
	WarmUp           time.Duration // and is warm after this at the latest
	OverloadMultiple float64       // sent more than this many times its present capacity
	OverloadWindow   time.Duration // for this long it falls over
}

// Peer is one of the dispatchers that share a worker: its number, from 0, and how
// many there are.
type Peer struct{ Number, Count int }

// Sampled tells whether that many share by draws.
func (s Peer) Sampled() bool { return s.Count > MinSampledPeers }

// LeakyBucket is the work that a dispatcher has sent to a worker and that still counts. The
// zero value is empty.
type LeakyBucket struct {
	work float64 // seconds
	at   time.Duration
}

// Add puts seconds of work that have been sent on the bill.
func (b *LeakyBucket) Add(work float64) { b.work += work }

// CapacityReachedAt returns when a worker that started at the given time has capacity enough: when
// what it has at least, ColdShare at first and all after WarmUp, times FallMultiple
// covers the work of that many full workers; 0 where it is warm from the start.
func (r Rules) CapacityReachedAt(startedAt time.Duration, workers float64) time.Duration {
	if startedAt <= 0 || r.InitialCapacity >= 1 || r.OverloadMultiple <= 0 {
		return 0
	}
	grown := max(min(workers/r.OverloadMultiple, 1)-r.InitialCapacity, 0) / (1 - r.InitialCapacity)
	return startedAt + time.Duration(grown*float64(r.WarmUp))
}

// capacityAtAge returns the least share of its capacity that a worker of that age has.
func (r Rules) capacityAtAge(age time.Duration) float64 {
	return r.InitialCapacity + (1-r.InitialCapacity)*float64(age)/float64(r.WarmUp)
}

// Capacity returns the least share of its capacity that a worker has that started at a time; 1
// once it is warm.
func (r Rules) Capacity(startedAt, now time.Duration) float64 {
	if startedAt <= 0 || r.WarmUp <= 0 {
		return 1
	}
	return min(r.capacityAtAge(max(now-startedAt, 0)), 1)
}

// Allows tells whether a sharer may send some seconds of work, on top of its bill, to a
// worker of that many slots that has started at the given time.
func (r Rules) Allows(b *LeakyBucket, peer Peer, slots float64, startedAt, now time.Duration, work float64) bool {
	rate := r.capacityAtAge(now-startedAt) * slots
	rate *= r.OverloadMultiple / float64(max(peer.Count, 1))
	b.work, b.at = max(b.work-rate*(now-b.at).Seconds(), 0), now
	return b.work+work <= rate*r.OverloadWindow.Seconds()
}

// InRotation tells whether a worker that bears its share of the ordinary traffic is among
// those that a dispatcher chooses from now, where many share it: in each turn a part of
// the dispatchers as large as the share of its capacity that it has. Guards against all
// dispatchers at once sending a half warm worker what a warm one gets.
func (r Rules) InRotation(peer Peer, startedAt, now time.Duration) bool {
	h := uint64(r.Turn(startedAt, now))*0x9e3779b97f4a7c15 + uint64(peer.Number)*0xbf58476d1ce4e5b9
	h = (h ^ h>>29) * 0x94d049bb133111eb
	return float64((h^h>>32)&0xffffff)/(1<<24) < r.capacityAtAge(now-startedAt)
}

// Tolerates tells whether one job of some seconds of work, on top of ordinary traffic, leaves
// a warming worker standing. Guards against the few jobs that take many times their
// class's mean: one alone can be more than a cold worker bears.
func (r Rules) Tolerates(slots float64, startedAt, now time.Duration, work float64) bool {
	return work <= r.capacityAtAge(now-startedAt)*slots*r.OverloadMultiple*r.OverloadWindow.Seconds()
}

// Turn numbers the turns of a worker, of half a window each. All dispatchers read the
// same clock and are told the same start, so they count alike. Workers that start together are
// a millisecond or more apart, and so is whose turn it is.
func (r Rules) Turn(startedAt, now time.Duration) int64 {
	return int64(max(now-startedAt, 0)/r.turnLength()) + int64(startedAt/time.Millisecond)
}

func (r Rules) turnLength() time.Duration { return max(r.OverloadWindow/2, time.Millisecond) }
