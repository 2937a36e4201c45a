// Package stall detects that the process was suspended, or that the wall clock was set: either
// makes what the process knows older than it looks. The dispatcher's core observes the clocks in
// its loop.
//
// The package is pure: it does no I/O and reads no clock. A Watch is not safe for concurrent use.
package stall

import "time"

// Watch detects stalls between its observations, which must be made several times within Bound
// while the process runs. The zero value detects nothing.
type Watch struct {
	Bound time.Duration // shortest gap between observations that counts as a stall; 0 disables detection

	steady, wall time.Duration // readings at the last observation
	observed     bool
}

// Observe records the readings of the monotonic and the wall clock. It returns how long the
// process was stalled and by how much the wall clock was set since the last observation, 0 each
// for not.
func (w *Watch) Observe(steady, wall time.Duration) (stalled, set time.Duration) {
	elapsed, shift := steady-w.steady, (wall-w.wall)-(steady-w.steady)
	first := !w.observed
	w.steady, w.wall, w.observed = steady, wall, true
	if first || w.Bound <= 0 {
		return 0, 0
	}
	if elapsed >= w.Bound {
		stalled = elapsed
	}
	if shift >= w.Bound || shift <= -w.Bound {
		set = shift
	}
	return stalled, set
}
