package simnet

import (
	"time"
)

// Call is a call as its caller saw it, for checks of whole histories.
type Call struct {
	Kind  CallKind
	Began time.Duration
	Ended time.Duration // 0 where no clear answer came: it may take effect at any later time

	Order        int    // of an order: which one; the same one may be sent again
	Match        uint64 // of an order: the version that it builds on
	Version      uint64 // of an order: what it makes; of a read: what was shown
	Acknowledged bool   // of an order with an answer: it was acknowledged, else refused

	Job   string // of a read of a job's state
	State string
}

// CallKind says what a call was.
type CallKind int

// The kinds of calls.
const (
	OrderCall CallKind = iota // an order that changes the configuration
	ReadCall                  // a read of the configuration
	StateCall                 // a read of a job's state
)

// record adds a call to the history.
func (sim *simulation) record(c Call) {
	sim.report.Calls = append(sim.report.Calls, c)
}
