// Package stall notices that a process stood still, or that the machine's clock was set: what
// it knows then is older than it looks. The package is pure: no I/O, no clock.
package stall

import "time"

// Watch is looked at each time the process works, at least several times within Bound. The
// zero value never notices anything.
type Watch struct {
	Bound time.Duration // a longer time between two looks is a standstill; 0 for none

	steady, wall time.Duration // of the last look
	looked       bool
}

// Look takes in that the process works, by a clock that only goes forward and by the
// machine's own. It returns how long the process stood still, 0 for not, and by how much the
// machine's clock was set meanwhile, 0 for not.
func (w *Watch) Look(steady, wall time.Duration) (still, set time.Duration) {
	gone, by := steady-w.steady, (wall-w.wall)-(steady-w.steady)
	first := !w.looked
	w.steady, w.wall, w.looked = steady, wall, true
	if first || w.Bound <= 0 {
		return 0, 0
	}
	if gone >= w.Bound {
		still = gone
	}
	if by >= w.Bound || by <= -w.Bound {
		set = by
	}
	return still, set
}
