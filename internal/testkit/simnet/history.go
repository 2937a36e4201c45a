package simnet

import (
	"time"
)

// Call is a call as its caller observed it. Tests check whole histories of them for
// linearizability.
type Call struct {
	Kind  CallKind
	Began time.Duration
	Ended time.Duration // 0 without a definite answer: it may take effect at any later time

	Order        int    // of an order: its number; an order that is resent keeps it
	Match        uint64 // of an order: the version that it is based on
	Version      uint64 // of an order: the version that it creates; of a read: the version returned
	Acknowledged bool   // of an order with an answer: acknowledged, not refused

	Job   string // of a read of a job's state
	State string
}

// CallKind tells what a Call did.
type CallKind int

// The kinds of calls.
const (
	OrderCall CallKind = iota // an order that changes the configuration
	ReadCall                  // a read of the configuration
	StateCall                 // a read of a job's state
)

// record appends a call to the history.
func (sim *simulation) record(c Call) {
	sim.report.Calls = append(sim.report.Calls, c)
}
