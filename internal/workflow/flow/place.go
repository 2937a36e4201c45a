package flow

import "slices"

// Place is a group of runners to which an undo was sent; they drop its repeats.
type Place struct {
	Zone  string `json:"zone,omitempty"` // empty for all runners
	Cell  int    `json:"cell,omitempty"`
	At    int64  `json:"at"`    // ms since 1970, of the first that may have run: its window begins
	Until int64  `json:"until"` // and ends
	Entry uint64 `json:"entry"` // of the log, by which it was last said
}

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
		s.Went[i].Entry = entry
		return nil
	}
	switch {
	case p.Until <= at || len(p.Zone) > MostText:
		return No(Bad, "where the undo of step %d goes can't be meant", n)
	case len(s.Went) >= MostPlaces:
		return No(Large, "the undo of step %d may be in %d groups already", n, MostPlaces)
	}
	p.At, p.Until, p.Entry = at, min(p.Until, at+longest), entry
	s.Went = append(s.Went, p)
	return nil
}

// Stays takes in that what an entry had said to go to a group surely never ran. A later entry about
// the same group counts on.
func (f *Flow) Stays(n int, fence, entry uint64, at int64) *Refusal {
	s, no := f.next(n, fence, at)
	if no != nil {
		return no
	}
	s.Went = slices.DeleteFunc(s.Went, func(o Place) bool { return o.Entry == entry })
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
