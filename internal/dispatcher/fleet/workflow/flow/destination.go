package flow

import "slices"

// Destination is a group of runners to which an undo was sent. The runners of one group drop
// repeats of it within the group's deduplication window, so an undo may be sent again there but to
// no other group until the window is over.
type Destination struct {
	Zone        string `json:"zone,omitempty"` // empty for all runners
	Cell        int    `json:"cell,omitempty"`
	FirstSentAt int64  `json:"at"`    // ms since 1970 when the window begins
	Until       int64  `json:"until"` // ms since 1970 when the window ends
	// Entries are the indexes of the log entries that sent the undo here and were not withdrawn.
	// An index 0 stands for entries that are not kept any more and so can't be withdrawn.
	Entries []uint64 `json:"entries"`
}

// maxEntries bounds how many entries of a destination are kept apart; with more of them the
// destination stays until its window is over.
const maxEntries = 8

// MaxDestinations bounds the destinations of one undo at a time; a further one is refused.
const MaxDestinations = 16

// sameGroup reports whether two destinations are the same group of runners.
func (d *Destination) sameGroup(other *Destination) bool {
	return d.Zone == other.Zone && d.Cell == other.Cell
}

// SendUndo records, before it happens, that the holder with a fencing token sends the undo of step
// n to a destination; entry is the index of the log entry that says so. The next holder learns the
// destination from the log even if all members that saw the undo leave are down, so it never runs
// the undo in a second group.
func (f *Flow) SendUndo(n int, fencingToken, entry uint64, d Destination, at int64) *Refusal {
	s, refusal := f.claimedStep(n, fencingToken, at)
	if refusal != nil {
		return refusal
	}
	// Remove destinations whose window is over.
	s.Destinations = slices.DeleteFunc(s.Destinations, func(other Destination) bool { return other.Until <= at })
	if i := slices.IndexFunc(s.Destinations, func(other Destination) bool { return other.sameGroup(&d) }); i >= 0 {
		if w := &s.Destinations[i]; len(w.Entries) < maxEntries {
			w.Entries = append(slices.Clip(w.Entries), entry) // clip: clones share the old array
		} else {
			w.Entries = append([]uint64{0}, w.Entries[1:]...)
		}
		return nil
	}
	switch {
	case d.Until <= at || len(d.Zone) > MaxTextBytes:
		return NewRefusal(Invalid, "where the undo of step %d goes can't be meant", n)
	case len(s.Destinations) >= MaxDestinations:
		return NewRefusal(TooLarge, "the undo of step %d may be in %d groups already", n, MaxDestinations)
	}
	d.FirstSentAt, d.Until, d.Entries = at, min(d.Until, at+maxDuration), []uint64{entry}
	s.Destinations = append(s.Destinations, d)
	return nil
}

// WithdrawUndo records that the attempt which an entry sent to a destination certainly never ran.
// The destination stays as long as another entry names it: the undo may have run there in an
// earlier attempt, and only then is it free to go to another group.
func (f *Flow) WithdrawUndo(n int, fencingToken, entry uint64, at int64) *Refusal {
	s, refusal := f.claimedStep(n, fencingToken, at)
	if refusal != nil {
		return refusal
	}
	if entry == 0 {
		return NewRefusal(Invalid, "no entry is named")
	}
	for i := range s.Destinations {
		s.Destinations[i].Entries = slices.DeleteFunc(slices.Clone(s.Destinations[i].Entries), func(e uint64) bool { return e == entry })
	}
	s.Destinations = slices.DeleteFunc(s.Destinations, func(other Destination) bool { return len(other.Entries) == 0 })
	return nil
}

// claimedStep returns step n if its undo is the next one, may begin by now, and the fencing token
// is that of the present claim.
func (f *Flow) claimedStep(n int, fencingToken uint64, at int64) (*Step, *Refusal) {
	switch {
	case f.Phase != Undoing:
		return nil, NewRefusal(OutOfOrder, "the workflow is %s", f.Phase)
	case fencingToken != f.FencingToken:
		return nil, NewRefusal(Fenced, "it was taken by entry %d since", f.FencingToken)
	case n != f.NextUndo():
		return nil, NewRefusal(OutOfOrder, "the undo of step %d is next", f.NextUndo())
	case at < f.UndoReadyAt():
		return nil, NewRefusal(OutOfOrder, "step %d is not settled yet", n)
	}
	return &f.Steps[n-1], nil
}
