// Package verdict decides whether a part of a gang keeps up with its peers. A part is classified as
// a straggler only with enough peers and after several checks in a row, and as recovered only after
// as many, so that the classification does not flap. The package is pure; a Verdict is not safe for
// concurrent use.
package verdict

import (
	"time"

	"frosttide/internal/dispatcher/fleet/gang/peers"
)

// State classifies how a part keeps up with its peers.
type State uint8

// The states of a part.
const (
	Unknown   State = iota // not enough is known about the part or its peers
	InStep                 // about as fast as its peers
	Behind                 // slower at the last check, but not yet a straggler
	Straggler              // slower at several checks in a row
	Silent                 // its worker stopped reporting while others report
)

var stateNames = [...]string{"unknown", "in step", "behind", "straggler", "silent"}

// String returns the state's name as operators see it.
func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

const (
	// slowRatio is the ratio to the peers' median speed below which a part may be a straggler;
	// recoveredRatio is the ratio from which on it counts as keeping up.
	slowRatio, recoveredRatio = 0.5, 0.67
	// minSigmas is how many standard deviations below its peers' median a straggler must be in
	// addition.
	minSigmas = 2.5
	// confirmations is the number of checks in a row that a change from or to Straggler needs.
	confirmations = 2
)

// Evidence is the result of one check of a part.
type Evidence struct {
	At           time.Duration
	Comparison   peers.Comparison
	Known        bool // Comparison is valid
	Silent       bool // its reports are overdue and enough peers have a known speed
	WorkerInStep bool // its worker runs parts at their peers' speed, so a slow part has more work than its hint says
}

// Verdict is the classification of one part, updated by each check. The zero value is Unknown.
type Verdict struct {
	State    State
	Evidence Evidence      // evidence that led to the current state
	streak   int           // consecutive checks with the same result: positive for slow, negative for recovered
	lastAt   time.Duration // time of the last check
}

// Observe updates the state by the evidence of one check and reports whether the state changed.
// Evidence that comes less than interval after the previous one is ignored.
func (v *Verdict) Observe(e Evidence, interval time.Duration) bool {
	if v.lastAt > 0 && e.At < v.lastAt+interval {
		return false
	}
	v.lastAt = e.At
	previous := v.State
	switch {
	case e.Silent:
		v.set(Silent, e)
	case !e.Known: // a Straggler stays one when there are no peers to compare it with any more
		if v.State == Silent || v.State == Behind {
			v.set(Unknown, e)
		}
	case e.Comparison.Ratio < slowRatio && e.Comparison.Sigmas > minSigmas && !e.WorkerInStep:
		if v.streak = max(v.streak, 0) + 1; v.streak >= confirmations {
			v.set(Straggler, e)
		} else if v.State != Straggler {
			v.set(Behind, e)
		}
	case e.Comparison.Ratio >= recoveredRatio:
		if v.streak = min(v.streak, 0) - 1; v.streak <= -confirmations || v.State != Straggler {
			v.set(InStep, e)
		}
	default: // between the two ratios, within the peers' spread, or WorkerInStep
		if v.streak = 0; v.State != Straggler {
			v.set(Behind, e)
		}
	}
	return v.State != previous
}

// set changes to a state and stores the evidence for it; the evidence of an unchanged state is
// kept.
func (v *Verdict) set(s State, e Evidence) {
	if v.State != s {
		v.State, v.Evidence = s, e
	}
}
