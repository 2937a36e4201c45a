// Package admission limits how many jobs a member that has just rejoined has in flight, growing
// the limit as fast as the runners serve what it sends. At that point the member knows neither how
// full the runners are nor what other rejoining members send. A window that grows by one with each
// served job, and is halved when a runner rejects one (additive increase, multiplicative
// decrease), finds the capacity without overflowing a runner's queue.
//
// The dispatcher's core owns a Limiter and package rejoin sets its level. The package is pure: it
// does no I/O and reads no clock; times are durations on the caller's monotonic clock. A Limiter
// is not safe for concurrent use.
package admission

import "time"

const (
	// minWindow is the smallest window, in jobs in flight.
	minWindow = 4
	// unrestrictedAfter is how many jobs in a row have to be served, with none rejected by the
	// limiter, before the window counts as wide enough.
	unrestrictedAfter = 32
	// countInterval is the period over which rejected and served jobs are counted.
	countInterval = time.Second
	// minRetryAfter is the shortest delay that a rejected client is given.
	minRetryAfter = 50 * time.Millisecond
)

// Level is the limiter's mode.
type Level uint8

// The levels of a Limiter.
const (
	Unlimited Level = iota // admit every job; nothing is counted
	Limited                // admit as many jobs as the window holds
	Closed                 // admit no job
)

// Limiter is one member's admission limiter. The zero value is Unlimited.
type Limiter struct {
	level       Level
	window      float64
	inFlight    int // admitted under Limited and not ended
	servedInRow int // served since the last rejection by the limiter
	halvedAt    time.Duration
	limitedAt   time.Duration // when the window was last too narrow, or the level became Limited
	countedFrom time.Duration // start of the current count interval
	rejected    int
	served      int
}

// SetLevel sets the level at time now. A change to Limited from another level starts with a new
// window of first jobs, but at least minWindow; first is the caller's estimate of what the runners
// bear from each live member.
func (d *Limiter) SetLevel(l Level, first int, now time.Duration) {
	if l == Limited && d.level != Limited {
		d.window, d.servedInRow, d.halvedAt, d.limitedAt = float64(max(first, minWindow)), 0, now, now
	}
	d.level = l
}

// Level returns the current level.
func (d *Limiter) Level() Level { return d.level }

// Admit decides on a job that arrives at time now. If counted is set, the caller must report the
// job's end with JobEnded.
func (d *Limiter) Admit(now time.Duration) (admitted, counted bool) {
	switch {
	case d.level == Unlimited:
		return true, false
	case d.level == Limited && float64(d.inFlight) < d.window:
		d.inFlight++
		return true, true
	}
	d.rotateCounts(now)
	d.rejected++
	d.servedInRow, d.limitedAt = 0, now
	return false, false
}

// JobEnded records the end of a counted job. A served job widens the window by one.
func (d *Limiter) JobEnded(served bool, now time.Duration) {
	d.inFlight = max(d.inFlight-1, 0)
	if served {
		d.rotateCounts(now)
		d.served++
		d.servedInRow++
		d.window++
	}
}

// RunnerRejected records that a runner had no capacity for a job. The window is halved, at most
// once in a tenth of countInterval, because jobs sent together are rejected together.
func (d *Limiter) RunnerRejected(now time.Duration) {
	if d.level == Limited && now-d.halvedAt >= countInterval/10 {
		d.halvedAt, d.limitedAt, d.window = now, now, max(d.window/2, minWindow)
	}
}

// Unrestricted reports whether the window has been wide enough for all arriving jobs: for
// unrestrictedAfter served jobs in a row or, at a lower rate, for a whole countInterval.
func (d *Limiter) Unrestricted(now time.Duration) bool {
	return d.level == Limited && (d.servedInRow >= unrestrictedAfter || now-d.limitedAt >= countInterval)
}

// RetryAfter returns the delay after which a rejected client may retry: the time in which as many
// jobs are served as were rejected with it, at the recent rate. The delay is spread by random, a
// number in [0, 1), so that rejected clients do not all return at once. It is at least
// minRetryAfter and at most maxAfter.
func (d *Limiter) RetryAfter(random float64, maxAfter, now time.Duration) time.Duration {
	d.rotateCounts(now)
	after := maxAfter
	if d.served > 0 {
		after = time.Duration(float64(countInterval) * float64(d.rejected) / float64(d.served))
	}
	after = time.Duration(float64(min(after, maxAfter)) * (0.5 + random))
	return min(max(after, time.Duration(float64(minRetryAfter)*(1+random))), maxAfter)
}

// rotateCounts starts a new count interval when the current one is over; the previous counts
// continue at half their weight.
func (d *Limiter) rotateCounts(now time.Duration) {
	if now-d.countedFrom >= countInterval {
		d.countedFrom, d.rejected, d.served = now, d.rejected/2, d.served/2
	}
}
