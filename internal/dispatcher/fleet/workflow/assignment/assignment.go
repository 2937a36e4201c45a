// Package assignment decides what a member does next about the workflows that have to be undone:
// which it expires, claims, renews and runs. All members rank themselves by the same function of a
// workflow's id, so that without any message one of them acts first and the others follow later if
// it does not.
//
// The package is pure: it does no I/O and reads no clock. Package executor calls it and carries
// the plan out.
package assignment

import (
	"cmp"
	"slices"

	"frosttide/internal/dispatcher/fleet/workflow/flow"
)

const (
	// LeaseMillis is the length of a member's claim to a workflow, in milliseconds.
	LeaseMillis = 3000
	// RenewBeforeMillis is how long before the end of its claim a member renews it, in
	// milliseconds.
	RenewBeforeMillis = 1500
	// takeoverDelayMillis is how much later each further rank claims or expires a workflow, in
	// milliseconds.
	takeoverDelayMillis = 400
)

// Run is an undo that has to be run now.
type Run struct {
	ID           string
	Step         int
	FencingToken uint64
	Attempts     int
	Undo         flow.Undo
	Destinations []flow.Destination // where it may have had its effect, within their windows
}

// Plan is what a member does after one scan of the workflows.
type Plan struct {
	Expire []string // workflows whose deadline or lease is over
	Claim  []string
	Run    []Run
}

// Choose makes a plan from the live workflows, which it sorts, the oldest deadline first. Rank
// returns the rank of this member for a workflow, 0 for the first; busy reports whether an undo of
// a workflow runs here or waits for a retry. At most freeSlots workflows are run or newly claimed
// and at most maxBatch are named in each of Expire and Claim. Now is in milliseconds since 1970.
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
		case f.Phase != flow.Undoing || f.NextUndo() == 0 || now < f.UndoReadyAt(): // earlier builds stored flows without a next undo
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

// openDestinations returns the destinations of a step whose windows are not over.
func openDestinations(s *flow.Step, now int64) (out []flow.Destination) {
	for _, p := range s.Destinations {
		if p.Until > now {
			out = append(out, p)
		}
	}
	return out
}

// overdueSince returns when an active workflow becomes overdue, in milliseconds since 1970.
func overdueSince(f *flow.Flow) int64 { return min(f.Deadline, f.LeaseUntil) }
