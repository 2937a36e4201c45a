package core

import (
	"sync/atomic"
	"time"

	"frosttide/decision/permit"
)

// Permit holds what may stop an attempt between its sending and its first byte.
// The goroutines of the core and of the client's connection change it at once,
// without a message; the backend reads it immediately before it writes. It is safe
// for concurrent use.
type Permit struct {
	revoked       atomic.Bool
	clientLeft    func() bool // nil where that is unknown
	epoch         *epoch      // of the worker; nil for a worker that is not listed
	decidedEpoch  uint64      // the worker's epoch when the attempt was decided on
	latestStart   time.Time   // zero for no bound beside the deadline
	detector      *stallDetector
	decidedStalls int64 // the detector's count when the attempt was decided on
}

// Facts returns what holds for an attempt now, as far as the core knows. A nil
// permit stops nothing.
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

// revoke stops the attempt if it has not started. A nil permit is left alone.
func (p *Permit) revoke() {
	if p != nil {
		p.revoked.Store(true)
	}
}

// epoch counts the events of a worker after which attempts that were decided on
// before must not start any more: a drain, its leaving the list, a restart, a
// change of its address.
type epoch struct{ count atomic.Uint64 }

// current returns the epoch.
func (e *epoch) current() uint64 { return e.count.Load() }

// advance begins a new epoch.
func (e *epoch) advance() { e.count.Add(1) }

// stallDetector shows attempts on their way whether the process has stalled: the
// core's loop, which would notice, may run only after them. A nil detector knows
// of no stall.
type stallDetector struct {
	clock   func(time.Time) time.Duration // the core's
	bound   time.Duration                 // a longer time without a turn of the loop is a stall
	stalls  atomic.Int64                  // stalls that the loop has noticed
	lastRun atomic.Int64                  // when the loop last ran, by the core's clock
}

// observe records that the core's loop runs, and whether it has noticed a stall.
func (d *stallDetector) observe(now time.Duration, stalled bool) {
	if stalled {
		d.stalls.Add(1) // before the time: whoever sees the new time sees the count
	}
	d.lastRun.Store(int64(now))
}

// stallCount returns how many stalls the loop has noticed.
func (d *stallDetector) stallCount() int64 {
	if d == nil {
		return 0
	}
	return d.stalls.Load()
}

// stalledSince reports whether the process has stalled since the loop had noticed
// that many stalls.
func (d *stallDetector) stalledSince(now time.Time, stalls int64) bool {
	if d == nil {
		return false
	}
	lastRun := time.Duration(d.lastRun.Load())
	return d.clock(now)-lastRun >= d.bound || d.stalls.Load() != stalls
}
