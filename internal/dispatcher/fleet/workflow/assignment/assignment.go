// Package assignment chooses what a member does about workflows that are to be undone: which it
// takes, which undo it runs next, and when. Members choose alike without a word, and whoever
// is first in a workflow's order has a head start. The package is pure: no I/O, no clock.
package assignment

import (
	"cmp"
	"slices"

	"frosttide/internal/dispatcher/fleet/workflow/flow"
)

const (
	// LeaseFor is how long a member holds a workflow that it took, in ms.
	LeaseFor = 3000
	// Renew is how long before its lease ends a member renews it, in ms.
	Renew = 1500
	// headStart is how much later, in ms, the next in a workflow's order takes it that nobody
	// has.
	headStart = 400
)

// Run is an undo that is to be run.
type Run struct {
	ID    string
	N     int
	Fence uint64
	Tries int
	Undo  flow.Undo
	Went  []flow.Place // where it may have had its effect, its windows not over
}

// Plan is what is to be done.
type Plan struct {
	Expire []string // workflows that nobody holds on
	Take   []string
	Run    []Run
}

// Choose makes a plan of the workflows that are live: oldest deadline first, at most so many
// taken and run at once. Rank tells which place this member has in a workflow's order; busy
// tells which have an undo under way here.
func Choose(live []*flow.Flow, me string, rank func(id string) int, busy func(id string) bool, room, most int, now int64) (p Plan) {
	slices.SortFunc(live, func(a, b *flow.Flow) int {
		return cmp.Or(cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.ID, b.ID))
	})
	taken := room
	for _, f := range live {
		switch {
		case f.Overdue(now) != "":
			if len(p.Expire) < most && now >= overdueAt(f)+int64(rank(f.ID))*headStart {
				p.Expire = append(p.Expire, f.ID)
			}
		case f.Phase != flow.Undoing || f.Next() == 0 || now < f.Ready(): // none is next in books of earlier builds
		case f.Holder == me && now < f.Held:
			if now >= f.Held-Renew && len(p.Take) < most {
				p.Take = append(p.Take, f.ID)
			}
			if room > 0 && !busy(f.ID) {
				n := f.Next()
				s := &f.Steps[n-1]
				p.Run = append(p.Run, Run{f.ID, n, f.Fence, s.Tries, s.Undo, went(s, now)})
				room--
				taken--
			} else if busy(f.ID) {
				taken--
			}
		case now >= max(f.Held, f.Since, f.Ready())+int64(rank(f.ID))*headStart:
			if taken > 0 && len(p.Take) < most {
				p.Take = append(p.Take, f.ID)
				taken--
			}
		}
	}
	return p
}

func went(s *flow.Step, now int64) (out []flow.Place) {
	for _, p := range s.Went {
		if p.Until > now {
			out = append(out, p)
		}
	}
	return out
}

func overdueAt(f *flow.Flow) int64 { return min(f.Deadline, f.Lease) }
