package core

import (
	"sync/atomic"
	"time"

	"frosttide/decision/permit"
)

// Permit holds the conditions that may stop an attempt between the decision to send it and its
// first byte. The goroutine of Run and that of the client's connection change them directly,
// without a message, and the backend checks them immediately before it writes. It is safe for
// concurrent use.
type Permit struct {
	revoked       atomic.Bool
	clientLeft    func() bool // nil if that is unknown
	epoch         *epoch      // of the worker; nil if the worker was not listed
	decidedEpoch  uint64      // the worker's epoch at the time of the decision
	latestStart   time.Time   // zero if only the deadline limits the start
	detector      *stallDetector
	decidedStalls int64 // the detector's count at the time of the decision
}

// Facts returns the conditions that hold for an attempt now. A nil Permit allows every attempt.
func (p *Permit) Facts(now, deadline time.Time) permit.Facts {
	f := permit.Facts{Now: now, Deadline: deadline}
	if p == nil {
		return f
	}
	f.LatestStart = p.latestStart
	f.Revoked = p.revoked.Load()
	f.ClientDisconnected = p.clientLeft != nil && p.clientLeft()
	f.BackendChanged = p.epoch != nil && p.epoch.current() != p.decidedEpoch
	f.ProcessStalled = p.detector.stalledSince(now, p.decidedStalls)
	return f
}

// revoke prevents the attempt from starting, if it has not started yet. It accepts a nil Permit.
func (p *Permit) revoke() {
	if p != nil {
		p.revoked.Store(true)
	}
}

// epoch counts the changes of a worker that invalidate earlier decisions to send it an attempt: a
// drain, its removal from the list, a restart or a change of its address.
type epoch struct{ count atomic.Uint64 }

// current returns the current epoch.
func (e *epoch) current() uint64 { return e.count.Load() }

// advance starts a new epoch.
func (e *epoch) advance() { e.count.Add(1) }

// stallDetector lets attempts that are about to be sent check whether the process has stalled. They
// can't rely on the core's loop, whose next turn may come after the write. A nil detector reports
// no stalls.
type stallDetector struct {
	clock   func(time.Time) time.Duration // converts to the core's clock
	bound   time.Duration                 // a gap between turns of this length or more is a stall
	stalls  atomic.Int64                  // number of stalls detected by the loop
	lastRun atomic.Int64                  // start of the last turn, by the core's clock
}

// observe records that a turn of the loop has started, and whether it has detected a stall.
func (d *stallDetector) observe(now time.Duration, stalled bool) {
	if stalled {
		// Count before storing the time, so that whoever reads the new time also reads the new
		// count.
		d.stalls.Add(1)
	}
	d.lastRun.Store(int64(now))
}

// stallCount returns the number of stalls that the loop has detected.
func (d *stallDetector) stallCount() int64 {
	if d == nil {
		return 0
	}
	return d.stalls.Load()
}

// stalledSince reports whether the process has stalled since the loop's count of stalls was stalls.
func (d *stallDetector) stalledSince(now time.Time, stalls int64) bool {
	if d == nil {
		return false
	}
	lastRun := time.Duration(d.lastRun.Load())
	return d.clock(now)-lastRun >= d.bound || d.stalls.Load() != stalls
}
