package simnet

import "time"

// Call is a call as its caller saw it, for a look at whole histories.
type Call struct {
	Kind   CallKind
	Began  time.Duration
	Ended  time.Duration // 0 where no answer came: it may take effect at any later time
	Caller int

	Order        int    // of an order: which one; the same one may be sent again
	Match        uint64 // of an order: the version that it builds on
	Version      uint64 // of an order: what it makes; of a read: what was shown
	Acknowledged bool   // of an order: it was acknowledged, else refused

	Job   string // of a question for a job's state
	State string
}

// CallKind says what a call was.
type CallKind int

// The kinds of calls.
const (
	OrderCall CallKind = iota
	ReadCall
	StateCall
)

// record keeps a call for the report.
func (sim *simulation) record(c Call) {
	sim.report.Calls = append(sim.report.Calls, c)
}
