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
	revoked atomic.Bool
	gone    func() bool // nil where nobody can tell
	epoch   *epoch
	of      uint64    // the worker's epoch when the attempt was decided on
	latest  time.Time // zero for no bound beside the deadline
	fence   *fence    // nil where standstills are not watched
	stood   int64     // the fence's count when the attempt was decided on
}

// Facts returns what holds for an attempt now, as far as the core knows. A nil permit stops nothing.
func (p *Permit) Facts(now, deadline time.Time) permit.Facts {
	f := permit.Facts{Now: now, Deadline: deadline}
	if p == nil {
		return f
	}
	f.Latest = p.latest
	f.Revoked = p.revoked.Load()
	f.ClientGone = p.gone != nil && p.gone()
	f.Changed = p.epoch != nil && p.epoch.now() != p.of
	f.StoodStill = p.fence.stoodStill(now, p.stood)
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

func (e *epoch) now() uint64 { return e.count.Load() }

func (e *epoch) pass() { e.count.Add(1) }

// fence tells attempts that are on their way whether the process has stood still: the core's loop,
// which would notice, may run again only after they do. A nil fence knows of no standstill.
type fence struct {
	clock  func(time.Time) time.Duration // the core's
	bound  time.Duration                 // a longer time without a look is a standstill
	count  atomic.Int64                  // standstills that the core has noticed
	looked atomic.Int64                  // when the core's loop last ran, by its clock
}

// look takes in that the core's loop runs, and whether it has noticed a standstill.
func (f *fence) look(now time.Duration, stood bool) {
	if stood {
		f.count.Add(1) // before the time: who sees the new time sees the count
	}
	f.looked.Store(int64(now))
}

// seen returns how many standstills there were so far.
func (f *fence) seen() int64 {
	if f == nil {
		return 0
	}
	return f.count.Load()
}

// stoodStill tells whether the process has stood still since so many standstills were seen.
func (f *fence) stoodStill(now time.Time, seen int64) bool {
	if f == nil {
		return false
	}
	looked := time.Duration(f.looked.Load())
	return f.clock(now)-looked >= f.bound || f.count.Load() != seen
}
