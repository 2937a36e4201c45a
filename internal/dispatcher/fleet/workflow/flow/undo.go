package flow

import (
	"fmt"
)

// TakeBack has it undone.
func (f *Flow) TakeBack(why string, at int64) *Refusal {
	switch f.Phase {
	case Active:
		f.enter(Undoing, why, at)
	case Undoing, Undone, Stuck:
	default:
		return No(Order, "the workflow is %s", f.Phase)
	}
	return nil
}

func (f *Flow) enter(p Phase, why string, at int64) {
	f.Phase, f.Why, f.Since = p, why, at
	if p == Undoing && f.Next() == 0 {
		f.Phase = Undone
	}
	if f.Phase.Ended() {
		f.Holder, f.Held = "", 0
		for i := range f.Steps { // what they held is given back
			f.Steps[i].Undo = Undo{Class: f.Steps[i].Undo.Class, Path: f.Steps[i].Undo.Path}
			f.Steps[i].Went = nil
		}
	}
}

// Next returns the step whose undo is next, the last that may have had an effect; 0 for none.
func (f *Flow) Next() int {
	for i := len(f.Steps) - 1; i >= 0; i-- {
		if s := f.Steps[i].State; s == Open || s == Done || s == Doubt {
			return i + 1
		}
	}
	return 0
}

// Ready returns from when on the next undo may begin: once its step can have no effect any more
// that comes after it.
func (f *Flow) Ready() int64 {
	n := f.Next()
	if n == 0 {
		return 0
	}
	s := &f.Steps[n-1]
	if s.State == Done {
		return s.Next
	}
	return max(s.Next, s.Until)
}

// Take gives it to a member until a time, by the entry's index. Who has it takes it on under the
// same fence, so that an undo that is under way counts.
func (f *Flow) Take(by string, index uint64, until, at int64) *Refusal {
	switch {
	case f.Phase != Undoing:
		return No(Order, "the workflow is %s", f.Phase)
	case f.Holder != by && at < f.Held:
		return No(Fenced, "%s has it", f.Holder)
	}
	if f.Holder != by || at >= f.Held {
		f.Fence = index
	}
	f.Holder, f.Held = by, until
	return nil
}

// Outcome is what became of an undo's job.
type Outcome string

// TookBack takes in what became of the undo of a step, by who has it.
func (f *Flow) TookBack(n int, fence uint64, o Outcome, why string, at int64) *Refusal {
	s, no := f.next(n, fence, at)
	if no != nil {
		return no
	}
	if o == OK {
		s.State, s.Why, s.Went = Taken, "", nil
		if f.Next() == 0 {
			f.enter(Undone, f.Why, at)
		}
		return nil
	}
	s.Tries, s.Why = s.Tries+1, why
	s.Next = at + min(int64(firstWait)<<min(s.Tries-1, 20), mostWait)
	if o == Useless || o == Maybe && s.Undo.Unsafe || s.Tries >= f.Tries {
		f.enter(Stuck, fmt.Sprintf("the undo of step %d failed: %s", n, why), at)
	}
	return nil
}

// Skip has an operator pass over the undo that is stuck.
func (f *Flow) Skip(n int, at int64) *Refusal {
	if f.Phase != Stuck || n != f.Next() {
		return No(Order, "the undo of step %d is not stuck", n)
	}
	f.Steps[n-1].State, f.Steps[n-1].Went = Skipped, nil
	f.enter(Undoing, f.Why, at)
	return nil
}

// Again has an operator try it again from where it is stuck.
func (f *Flow) Again(at int64) *Refusal {
	if f.Phase != Stuck {
		return No(Order, "the workflow is %s", f.Phase)
	}
	s := &f.Steps[f.Next()-1]
	s.Tries, s.Next = 0, 0
	f.enter(Undoing, f.Why, at)
	return nil
}

// GiveUp has an operator leave it as it is.
func (f *Flow) GiveUp(at int64) *Refusal {
	if f.Phase != Stuck {
		return No(Order, "the workflow is %s", f.Phase)
	}
	f.enter(GivenUp, f.Why, at)
	return nil
}
