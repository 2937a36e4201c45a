package core

import (
	"sync/atomic"
	"time"

	"frosttide/decision/permit"
)

// Permit holds what may stop an attempt between its sending and its first byte. The core and the
// client's front change it from their goroutines, at once and without mail; egress reads it
// immediately before the write.
type Permit struct {
	revoked       atomic.Bool
	clientLeft    func() bool // nil where nobody can tell
	epoch         *epoch
	decidedEpoch  uint64         // the worker's epoch when the attempt was decided on
	latestStart   time.Time      // zero for no bound beside the deadline
	detector      *stallDetector // nil where standstills are not watched
	decidedStalls int64          // the fence's count when the attempt was decided on
}

// Facts returns what holds for an attempt now, as far as the core knows. A nil permit stops nothing.
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

// revoke stops the attempt if it has not begun.
func (p *Permit) revoke() {
	if p != nil {
		p.revoked.Store(true)
	}
}

// epoch counts what has happened to a worker so that attempts decided on before must not begin
// any more: a drain, its leaving the list, a restart, another address.
type epoch struct{ count atomic.Uint64 }

func (e *epoch) current() uint64 { return e.count.Load() }

func (e *epoch) advance() { e.count.Add(1) }

// stallDetector tells attempts that are on their way whether the process has stood still: the core's loop,
// which would notice, may run again only after they do. A nil fence knows of no standstill.
type stallDetector struct {
	clock   func(time.Time) time.Duration // the core's
	bound   time.Duration                 // a longer time without a look is a standstill
	stalls  atomic.Int64                  // standstills that the core has noticed
	lastRun atomic.Int64                  // when the core's loop last ran, by its clock
}

// observe takes in that the core's loop runs, and whether it has noticed a standstill.
func (f *stallDetector) observe(now time.Duration, stood bool) {
	if stood {
		f.stalls.Add(1) // before the time: who sees the new time sees the count
	}
	f.lastRun.Store(int64(now))
}

// stallCount returns how many standstills there were so far.
func (f *stallDetector) stallCount() int64 {
	if f == nil {
		return 0
	}
	return f.stalls.Load()
}

// stalledSince tells whether the process has stood still since so many standstills were seen.
func (f *stallDetector) stalledSince(now time.Time, seen int64) bool {
	if f == nil {
		return false
	}
	looked := time.Duration(f.lastRun.Load())
	return f.clock(now)-looked >= f.bound || f.stalls.Load() != seen
}
