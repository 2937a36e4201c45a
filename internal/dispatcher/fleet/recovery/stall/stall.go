// Package stall detects that the process was suspended, or that the wall clock was set. After
// either, the process's state is older than its timestamps suggest. The dispatcher's core observes
// the clocks in its loop.
//
// The package is pure: it does no I/O and reads no clock. A Watch is not safe for concurrent use.
package stall

import "time"

// Watch detects stalls and steps of the wall clock between its observations, which must be made
// several times within Bound while the process runs. The zero value detects nothing.
type Watch struct {
	Bound time.Duration // shortest gap between observations that counts as a stall, and smallest clock step that is reported; 0 disables detection

	monotonic, wall time.Duration // readings at the last observation
	observed        bool
}

// Observe records the readings of the monotonic and the wall clock. It returns how long the process
// was stalled and by how much the wall clock was set since the last observation, negative if it was
// set back. Either is 0 if it was not detected; the first observation only sets the reference.
func (w *Watch) Observe(monotonic, wall time.Duration) (stalled, clockStep time.Duration) {
	elapsed, step := monotonic-w.monotonic, (wall-w.wall)-(monotonic-w.monotonic)
	first := !w.observed
	w.monotonic, w.wall, w.observed = monotonic, wall, true
	if first || w.Bound <= 0 {
		return 0, 0
	}
	if elapsed >= w.Bound {
		stalled = elapsed
	}
	if step >= w.Bound || step <= -w.Bound {
		clockStep = step
	}
	return stalled, clockStep
}
