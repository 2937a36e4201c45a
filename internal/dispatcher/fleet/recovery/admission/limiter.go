// Package admission limits how many jobs a member that has just rejoined has in flight, and raises
// the limit as fast as the runners serve the jobs. At that point the member knows neither the load
// of the runners nor what other rejoining members send. A window that grows by one with each served
// job and is halved when a runner rejects one (additive increase, multiplicative decrease) finds
// the capacity without overflowing a runner's queue.
//
// The dispatcher's core owns a Limiter and package rejoin sets its level. The package is pure: it
// does no I/O and reads no clock; times are durations on the caller's monotonic clock. A Limiter
// is not safe for concurrent use.
package admission

import "time"

const (
	// minWindow is the smallest window, in concurrent jobs.
	minWindow = 4
	// unrestrictedAfter is the number of jobs that have to be served without a rejection by the
	// limiter in between before the window counts as wide enough.
	unrestrictedAfter = 32
	// countInterval is the period over which rejected and served jobs are counted, and the time
	// after which a window that was never too narrow counts as wide enough.
	countInterval = time.Second
	// minRetryAfter is the shortest retry delay that is given to a rejected client.
	minRetryAfter = 50 * time.Millisecond
)

// Level is the mode of a Limiter.
type Level uint8

// The levels of a Limiter.
const (
	Unlimited Level = iota // admit every job without counting it
	Limited                // admit as many jobs as the window holds
	Closed                 // admit no job
)

// Limiter is one member's admission limiter. The zero value has the level Unlimited.
type Limiter struct {
	level       Level
	window      float64       // in concurrent jobs
	inFlight    int           // jobs admitted at the level Limited that have not ended
	servedInRow int           // jobs served since the last rejection by the limiter
	halvedAt    time.Duration // when the window was last halved, or the level became Limited
	limitedAt   time.Duration // when the window was last too narrow, or the level became Limited
	countedFrom time.Duration // start of the current count interval
	rejected    int           // by the limiter, in the count interval
	served      int           // in the count interval
}

// SetLevel sets the level at time now. A change to Limited from another level starts with a new
// window of initialWindow jobs, but at least minWindow; initialWindow is the caller's estimate of
// how many concurrent jobs of each live member the runners can serve.
func (l *Limiter) SetLevel(level Level, initialWindow int, now time.Duration) {
	if level == Limited && l.level != Limited {
		l.window, l.servedInRow, l.halvedAt, l.limitedAt = float64(max(initialWindow, minWindow)), 0, now, now
	}
	l.level = level
}

// Level returns the current level.
func (l *Limiter) Level() Level { return l.level }

// Admit decides whether to admit a job that arrives at time now. If counted is true, the caller
// must report the job's end with JobEnded.
func (l *Limiter) Admit(now time.Duration) (admitted, counted bool) {
	switch {
	case l.level == Unlimited:
		return true, false
	case l.level == Limited && float64(l.inFlight) < l.window:
		l.inFlight++
		return true, true
	}
	l.rotateCounts(now)
	l.rejected++
	l.servedInRow, l.limitedAt = 0, now
	return false, false
}

// JobEnded records the end of a counted job. A served job widens the window by one.
func (l *Limiter) JobEnded(served bool, now time.Duration) {
	l.inFlight = max(l.inFlight-1, 0)
	if served {
		l.rotateCounts(now)
		l.served++
		l.servedInRow++
		l.window++
	}
}

// RunnerRejected records that a runner had no capacity for a job. It halves the window, but at most
// once in a tenth of countInterval, because jobs that are sent together are rejected together.
func (l *Limiter) RunnerRejected(now time.Duration) {
	if l.level == Limited && now-l.halvedAt >= countInterval/10 {
		l.halvedAt, l.limitedAt, l.window = now, now, max(l.window/2, minWindow)
	}
}

// Unrestricted reports whether the window has been wide enough for all arriving jobs: for
// unrestrictedAfter served jobs in a row or, if jobs arrive more slowly, for a whole countInterval.
func (l *Limiter) Unrestricted(now time.Duration) bool {
	return l.level == Limited && (l.servedInRow >= unrestrictedAfter || now-l.limitedAt >= countInterval)
}

// RetryAfter returns the delay after which a rejected client may retry: the time in which, at the
// recent rate, as many jobs are served as were rejected recently. The delay is scaled by 0.5 plus
// random, a random number in [0, 1), so that rejected clients do not all return at once. It is at
// least minRetryAfter and at most maxAfter.
func (l *Limiter) RetryAfter(random float64, maxAfter, now time.Duration) time.Duration {
	l.rotateCounts(now)
	after := maxAfter
	if l.served > 0 {
		after = time.Duration(float64(countInterval) * float64(l.rejected) / float64(l.served))
	}
	after = time.Duration(float64(min(after, maxAfter)) * (0.5 + random))
	return min(max(after, time.Duration(float64(minRetryAfter)*(1+random))), maxAfter)
}

// rotateCounts starts a new count interval if the current one has ended. The new counts start at
// half of the previous ones.
func (l *Limiter) rotateCounts(now time.Duration) {
	if now-l.countedFrom >= countInterval {
		l.countedFrom, l.rejected, l.served = now, l.rejected/2, l.served/2
	}
}
