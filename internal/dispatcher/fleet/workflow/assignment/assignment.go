// Package assignment decides what a member does next about the workflows that have to be undone:
// which ones it expires and claims, which claims it renews, and which undos it runs. All members
// rank themselves by the same function of a workflow's id. The first in rank acts at once and each
// further one after a longer delay, so that they need no messages to agree on who acts first and
// who takes over if that member does not act.
//
// The package is pure: it does no I/O and reads no clock. Package executor calls it and carries
// out the plan.
package assignment

import (
	"cmp"
	"slices"

	"frosttide/internal/dispatcher/fleet/workflow/flow"
)

const (
	// LeaseMillis is how long a member's claim of a workflow is valid, in milliseconds.
	LeaseMillis = 3000
	// RenewBeforeMillis is how long before its claim expires a member renews it, in milliseconds.
	RenewBeforeMillis = 1500
	// takeoverDelayMillis is how much longer a member waits per rank before it claims or expires a
	// workflow, in milliseconds.
	takeoverDelayMillis = 400
)

// Run is one attempt of an undo that has to be run now.
type Run struct {
	ID           string // of the workflow
	Step         int
	FencingToken uint64 // of this member's claim
	Attempts     int    // failed attempts before this one
	Undo         flow.Undo
	Destinations []flow.Destination // where it may have taken effect and the window has not ended
}

// Plan is what a member does after one scan of the workflows. Workflows are named by their ids.
type Plan struct {
	Expire []string // workflows whose deadline or lease has expired
	Claim  []string // workflows to claim, and those whose claim to renew
	Run    []Run
}

// Choose makes a plan from the live workflows and sorts them in place, the earliest deadline first.
// self is the name of this member. rank returns its rank for a workflow, 0 for the first; busy
// reports whether an undo of a workflow runs here or waits for a retry. At most freeSlots workflows
// are run or newly claimed, and Expire and Claim have at most maxBatch ids each. now is the Unix
// time in milliseconds.
func Choose(live []*flow.Flow, self string, rank func(id string) int, busy func(id string) bool, freeSlots, maxBatch int, now int64) (p Plan) {
	slices.SortFunc(live, func(a, b *flow.Flow) int {
		return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.ID, b.ID))
	})
	claimable := freeSlots
	for _, f := range live {
		switch {
		case f.Overdue(now) != "":
			if len(p.Expire) < maxBatch && now >= overdueSince(f)+int64(rank(f.ID))*takeoverDelayMillis {
				p.Expire = append(p.Expire, f.ID)
			}
		// Earlier builds stored workflows that are Undoing and have no next undo.
		case f.Phase != flow.Undoing || f.NextUndo() == 0 || now < f.UndoReadyAt():
		case f.Holder == self && now < f.HeldUntil:
			if now >= f.HeldUntil-RenewBeforeMillis && len(p.Claim) < maxBatch {
				p.Claim = append(p.Claim, f.ID)
			}
			if freeSlots > 0 && !busy(f.ID) {
				n := f.NextUndo()
				s := &f.Steps[n-1]
				p.Run = append(p.Run, Run{f.ID, n, f.FencingToken, s.Attempts, s.Undo, openDestinations(s, now)})
				freeSlots--
				claimable--
			} else if busy(f.ID) {
				claimable--
			}
		case now >= max(f.HeldUntil, f.Since, f.UndoReadyAt())+int64(rank(f.ID))*takeoverDelayMillis:
			if claimable > 0 && len(p.Claim) < maxBatch {
				p.Claim = append(p.Claim, f.ID)
				claimable--
			}
		}
	}
	return p
}

// openDestinations returns the destinations of a step whose windows have not ended.
func openDestinations(s *flow.Step, now int64) (out []flow.Destination) {
	for _, d := range s.Destinations {
		if d.Until > now {
			out = append(out, d)
		}
	}
	return out
}

// overdueSince returns when an active workflow becomes overdue, as Unix time in milliseconds.
func overdueSince(f *flow.Flow) int64 { return min(f.Deadline, f.LeaseUntil) }
