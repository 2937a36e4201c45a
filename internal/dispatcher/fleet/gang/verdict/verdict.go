// Package verdict says of a part of a gang whether it keeps step with its peers. A verdict
// needs enough peers and more than one look, and is taken back as slowly as it was come to. The
// package is pure.
package verdict

import (
	"time"

	"frosttide/internal/dispatcher/fleet/gang/peers"
)

// State is how a part does.
type State uint8

// The states.
const (
	Unknown   State = iota // too little is known
	InStep                 // as its peers
	Behind                 // slower at this look
	Straggler              // slower at look after look
	Silent                 // its worker has stopped telling, and others' tell
)

var names = [...]string{"unknown", "in step", "behind", "straggler", "silent"}

// String returns the state in plain words, as operators see it.
func (s State) String() string { return names[min(int(s), len(names)-1)] }

const (
	// slow is the part of its peers' speed below which a part is behind, and back from which on
	// it keeps step again.
	slow, back = 0.5, 0.67
	// far is how many spreads below its peers it has to be.
	far = 2.5
	// looks is how many in a row it takes, either way.
	looks = 2
)

// Evidence is what a look found.
type Evidence struct {
	At       time.Duration
	Standing peers.Standing
	Known    bool // Standing says something
	Silent   bool // nothing is told of it for too long, and something of peers'
	Heavy    bool // its worker does other work at its usual pace: the part is what is heavy
}

// Verdict is a part's. The zero value knows nothing.
type Verdict struct {
	State State
	On    Evidence // what moved it last
	run   int      // looks in a row that speak for another state
	last  time.Duration
}

// Look takes in evidence, at most once in so long, and tells whether the state changed.
func (v *Verdict) Look(e Evidence, apart time.Duration) bool {
	if v.last > 0 && e.At < v.last+apart {
		return false
	}
	v.last = e.At
	was := v.State
	switch {
	case e.Silent:
		v.to(Silent, e)
	case !e.Known: // nothing is taken back for want of peers
		if v.State == Silent || v.State == Behind {
			v.to(Unknown, e)
		}
	case e.Standing.Ratio < slow && e.Standing.Sigmas > far && !e.Heavy:
		if v.run = max(v.run, 0) + 1; v.run >= looks {
			v.to(Straggler, e)
		} else if v.State != Straggler {
			v.to(Behind, e)
		}
	case e.Standing.Ratio >= back:
		if v.run = min(v.run, 0) - 1; v.run <= -looks || v.State != Straggler {
			v.to(InStep, e)
		}
	default: // between the two, or heavy: neither is said
		if v.run = 0; v.State != Straggler {
			v.to(Behind, e)
		}
	}
	return v.State != was
}

func (v *Verdict) to(s State, e Evidence) {
	if v.State != s {
		v.State, v.On = s, e
	}
}
