package flow

import "slices"

// Place is a group of runners to which an undo was sent; they drop its repeats.
type Place struct {
	Zone  string `json:"zone,omitempty"` // empty for all runners
	Cell  int    `json:"cell,omitempty"`
	At    int64  `json:"at"`    // ms since 1970, of the first that may have run: its window begins
	Until int64  `json:"until"` // and ends
	// Entries are those of the log that said so and were not taken back; 0 for one that can't be.
	Entries []uint64 `json:"entries"`
}

// mostEntries bounds how many of a place are told apart; past it the place stays for its window.
const mostEntries = 8

// MostPlaces bounds where an undo may have gone at a time. One more is not sent.
const MostPlaces = 16

func (p *Place) same(o *Place) bool { return p.Zone == o.Zone && p.Cell == o.Cell }

// Goes takes in that the undo of a step is about to be sent to a group, by who has the workflow, and
// the entry that says so. Guards what the undo does from being had in a second group: whoever takes
// the workflow next has it from the log, however many that were told otherwise are gone.
func (f *Flow) Goes(n int, fence, entry uint64, p Place, at int64) *Refusal {
	s, no := f.next(n, fence, at)
	if no != nil {
		return no
	}
	s.Went = slices.DeleteFunc(s.Went, func(o Place) bool { return o.Until <= at }) // its window is over
	if i := slices.IndexFunc(s.Went, func(o Place) bool { return o.same(&p) }); i >= 0 {
		if w := &s.Went[i]; len(w.Entries) < mostEntries {
			w.Entries = append(slices.Clip(w.Entries), entry) // clones share what they had
		} else {
			w.Entries = append([]uint64{0}, w.Entries[1:]...)
		}
		return nil
	}
	switch {
	case p.Until <= at || len(p.Zone) > MostText:
		return No(Bad, "where the undo of step %d goes can't be meant", n)
	case len(s.Went) >= MostPlaces:
		return No(Large, "the undo of step %d may be in %d groups already", n, MostPlaces)
	}
	p.At, p.Until, p.Entries = at, min(p.Until, at+longest), []uint64{entry}
	s.Went = append(s.Went, p)
	return nil
}

// Stays takes in that what an entry had said to go to a group surely never ran. What another entry says
// of the group counts on. Guards an undo that may have run there in an earlier try: the one after it, which no
// runner took, would set it free for another group.
func (f *Flow) Stays(n int, fence, entry uint64, at int64) *Refusal {
	s, no := f.next(n, fence, at)
	if no != nil {
		return no
	}
	if entry == 0 {
		return No(Bad, "no entry is named")
	}
	for i := range s.Went {
		s.Went[i].Entries = slices.DeleteFunc(slices.Clone(s.Went[i].Entries), func(e uint64) bool { return e == entry })
	}
	s.Went = slices.DeleteFunc(s.Went, func(o Place) bool { return len(o.Entries) == 0 })
	return nil
}

// next returns the step whose undo is next, where who speaks has the workflow.
func (f *Flow) next(n int, fence uint64, at int64) (*Step, *Refusal) {
	switch {
	case f.Phase != Undoing:
		return nil, No(Order, "the workflow is %s", f.Phase)
	case fence != f.Fence:
		return nil, No(Fenced, "it was taken by entry %d since", f.Fence)
	case n != f.Next():
		return nil, No(Order, "the undo of step %d is next", f.Next())
	case at < f.Ready():
		return nil, No(Order, "step %d is not settled yet", n)
	}
	return &f.Steps[n-1], nil
}
