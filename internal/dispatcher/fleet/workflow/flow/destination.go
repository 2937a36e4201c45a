package flow

import "slices"

// Destination is a group of runners to which an undo was sent. The runners of a group discard
// duplicates of the undo within their deduplication window. Until that window ends the undo may be
// sent to the same group again, but to no other group, where it could run a second time.
type Destination struct {
	Zone        string `json:"zone,omitempty"` // empty if the group is all runners
	Cell        int    `json:"cell,omitempty"` // 0 if the group is not a cell
	FirstSentAt int64  `json:"at"`             // start of the window, Unix time in ms
	Until       int64  `json:"until"`          // end of the window, Unix time in ms
	// Entries are the indexes of the log entries that sent the undo here and were not withdrawn.
	// An index of 0 stands for entries beyond maxEntries, which can't be withdrawn.
	Entries []uint64 `json:"entries"`
}

// maxEntries bounds the entries that a destination lists individually. A destination with more
// entries than that stays until its window ends.
const maxEntries = 8

// MaxDestinations bounds the destinations that one undo has at the same time. A command that adds
// one more is refused as TooLarge.
const MaxDestinations = 16

// sameGroup reports whether two destinations denote the same group of runners.
func (d *Destination) sameGroup(other *Destination) bool {
	return d.Zone == other.Zone && d.Cell == other.Cell
}

// SendUndo records that the holder of the claim with fencingToken is about to send the undo of step
// n to a destination. It is committed before the undo is sent, so that the next holder learns the
// destination from the log, even if every member that was involved is down, and doesn't run the
// undo in a second group. entry is the index of the command's log entry. The window of a
// destination that is recorded already keeps its start and end.
func (f *Flow) SendUndo(n int, fencingToken, entry uint64, d Destination, at int64) *Refusal {
	s, refusal := f.claimedStep(n, fencingToken, at)
	if refusal != nil {
		return refusal
	}
	// Remove the destinations whose window has ended.
	s.Destinations = slices.DeleteFunc(s.Destinations, func(other Destination) bool { return other.Until <= at })
	if i := slices.IndexFunc(s.Destinations, func(other Destination) bool { return other.sameGroup(&d) }); i >= 0 {
		if existing := &s.Destinations[i]; len(existing.Entries) < maxEntries {
			// Clipped, as copies made by Clone share the backing array.
			existing.Entries = append(slices.Clip(existing.Entries), entry)
		} else {
			existing.Entries = append([]uint64{0}, existing.Entries[1:]...)
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

// WithdrawUndo records that the attempt that a log entry sent to a destination certainly never ran.
// The destination is removed once no other entry names it, and the undo may then be sent to another
// group. Until then the undo may have run there in another attempt.
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

// claimedStep returns step n if its undo is the next one and may start at the given time, and if
// fencingToken is that of the current claim. Otherwise it returns the reason for refusing the
// command.
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
