// Package verdict decides whether a part of a gang keeps up with its peers. A verdict needs enough
// peers and more than one check, and is withdrawn as slowly as it was reached, so that it does not
// flap. The package is pure; a Verdict is not safe for concurrent use.
package verdict

import (
	"time"

	"frosttide/internal/dispatcher/fleet/gang/peers"
)

// State is how a part keeps up with its peers.
type State uint8

// The states of a part.
const (
	Unknown   State = iota // too little is known
	InStep                 // about as fast as its peers
	Behind                 // slower at the last check
	Straggler              // slower at several checks in a row
	Silent                 // its worker stopped reporting while others report
)

var stateNames = [...]string{"unknown", "in step", "behind", "straggler", "silent"}

// String returns the state as operators see it.
func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

const (
	// slowRatio is the ratio to its peers' median speed below which a part is behind;
	// recoveredRatio is the ratio from which on it keeps up again.
	slowRatio, recoveredRatio = 0.5, 0.67
	// minSigmas is how many standard deviations below its peers a part must be as well.
	minSigmas = 2.5
	// confirmations is how many checks in a row a change to or from Straggler needs.
	confirmations = 2
)

// Evidence is the result of one check.
type Evidence struct {
	At       time.Duration
	Standing peers.Standing
	Known    bool // Standing is meaningful
	Silent   bool // its reports are overdue, and those of enough peers are not
	Heavy    bool // its worker runs other parts at their peers' speed, so the part itself is heavy
}

// Verdict is the verdict on one part. The zero value is Unknown.
type Verdict struct {
	State    State
	Evidence Evidence // that caused the present state
	streak   int      // checks in a row for another state: positive for slow, negative for recovered
	lastAt   time.Duration
}

// Observe takes the evidence of one check, ignoring it if less than interval has passed since the
// last one, and reports whether the state changed.
func (v *Verdict) Observe(e Evidence, interval time.Duration) bool {
	if v.lastAt > 0 && e.At < v.lastAt+interval {
		return false
	}
	v.lastAt = e.At
	previous := v.State
	switch {
	case e.Silent:
		v.set(Silent, e)
	case !e.Known: // missing peers do not withdraw a Straggler
		if v.State == Silent || v.State == Behind {
			v.set(Unknown, e)
		}
	case e.Standing.Ratio < slowRatio && e.Standing.Sigmas > minSigmas && !e.Heavy:
		if v.streak = max(v.streak, 0) + 1; v.streak >= confirmations {
			v.set(Straggler, e)
		} else if v.State != Straggler {
			v.set(Behind, e)
		}
	case e.Standing.Ratio >= recoveredRatio:
		if v.streak = min(v.streak, 0) - 1; v.streak <= -confirmations || v.State != Straggler {
			v.set(InStep, e)
		}
	default: // between the two ratios, or heavy
		if v.streak = 0; v.State != Straggler {
			v.set(Behind, e)
		}
	}
	return v.State != previous
}

// set enters a state and keeps the evidence for it.
func (v *Verdict) set(s State, e Evidence) {
	if v.State != s {
		v.State, v.Evidence = s, e
	}
}
