package flow

import (
	"fmt"
)

// StartUndo moves an active workflow to Undoing and records the reason. It has no effect on a
// workflow that is Undoing, Undone or Stuck, and is refused as OutOfOrder if it is Committed or
// GivenUp.
func (f *Flow) StartUndo(reason string, at int64) *Refusal {
	switch f.Phase {
	case Active:
		f.setPhase(Undoing, reason, at)
	case Undoing, Undone, Stuck:
	default:
		return NewRefusal(OutOfOrder, "the workflow is %s", f.Phase)
	}
	return nil
}

// setPhase enters a phase, or Undone instead of Undoing if no step is left to undo. When the
// workflow ends, its claim and the bodies, keys and destinations of its undos are removed to free
// their memory.
func (f *Flow) setPhase(p Phase, reason string, at int64) {
	f.Phase, f.Reason, f.Since = p, reason, at
	if p == Undoing && f.NextUndo() == 0 {
		f.Phase = Undone
	}
	if f.Phase.Ended() {
		f.Holder, f.HeldUntil = "", 0
		for i := range f.Steps { // operators are still shown the class and the path
			f.Steps[i].Undo = Undo{Class: f.Steps[i].Undo.Class, Path: f.Steps[i].Undo.Path}
			f.Steps[i].Destinations = nil
		}
	}
}

// NextUndo returns the number, from 1, of the step that has to be undone next: the last one that
// may have had an effect. It returns 0 if there is none.
func (f *Flow) NextUndo() int {
	for i := len(f.Steps) - 1; i >= 0; i-- {
		if s := f.Steps[i].State; s == Open || s == Done || s == InDoubt {
			return i + 1
		}
	}
	return 0
}

// UndoReadyAt returns the earliest start of the next undo as Unix time in milliseconds: the backoff
// has passed, and the job of the step can't take effect after its undo. It returns 0 if no step is
// left to undo.
func (f *Flow) UndoReadyAt() int64 {
	n := f.NextUndo()
	if n == 0 {
		return 0
	}
	s := &f.Steps[n-1]
	if s.State == Done {
		return s.NextAttemptAt
	}
	return max(s.NextAttemptAt, s.EffectUntil)
}

// Claim assigns the workflow to a member until the given time; index is that of the claim's log
// entry. A member that renews its claim before it expires keeps the fencing token, so that the
// outcome of an undo that is running is still accepted. Any other claim sets a new token. While
// another member's claim is in force, a claim is refused as Fenced.
func (f *Flow) Claim(member string, index uint64, until, at int64) *Refusal {
	switch {
	case f.Phase != Undoing:
		return NewRefusal(OutOfOrder, "the workflow is %s", f.Phase)
	case f.Holder != member && at < f.HeldUntil:
		return NewRefusal(Fenced, "%s has it", f.Holder)
	}
	if f.Holder != member || at >= f.HeldUntil {
		f.FencingToken = index
	}
	f.Holder, f.HeldUntil = member, until
	return nil
}

// Outcome is how one attempt to run an undo ended.
type Outcome string

// EndUndo records the outcome of an attempt to undo step n by the holder of the claim with
// fencingToken. A failed attempt is retried after an exponential backoff. The workflow becomes
// Stuck if the outcome is Unusable, if Flow.MaxAttempts attempts have failed, or if the outcome is
// Uncertain and the undo must not run twice.
func (f *Flow) EndUndo(n int, fencingToken uint64, outcome Outcome, reason string, at int64) *Refusal {
	s, refusal := f.claimedStep(n, fencingToken, at)
	if refusal != nil {
		return refusal
	}
	if outcome == Succeeded {
		s.State, s.Reason, s.Destinations = Compensated, "", nil
		if f.NextUndo() == 0 {
			f.setPhase(Undone, f.Reason, at)
		}
		return nil
	}
	s.Attempts, s.Reason = s.Attempts+1, reason
	s.NextAttemptAt = at + min(int64(initialBackoff)<<min(s.Attempts-1, 20), maxBackoff)
	if outcome == Unusable || outcome == Uncertain && s.Undo.Unsafe || s.Attempts >= f.MaxAttempts {
		f.setPhase(Stuck, fmt.Sprintf("the undo of step %d failed: %s", n, reason), at)
	}
	return nil
}

// Skip skips the undo of step n, at which the workflow is stuck, and continues with the step
// before. Only operators send this command.
func (f *Flow) Skip(n int, at int64) *Refusal {
	if f.Phase != Stuck || n != f.NextUndo() {
		return NewRefusal(OutOfOrder, "the undo of step %d is not stuck", n)
	}
	f.Steps[n-1].State, f.Steps[n-1].Destinations = Skipped, nil
	f.setPhase(Undoing, f.Reason, at)
	return nil
}

// Retry continues a stuck workflow and resets the count of failed attempts of its next undo. Only
// operators send this command.
func (f *Flow) Retry(at int64) *Refusal {
	if f.Phase != Stuck {
		return NewRefusal(OutOfOrder, "the workflow is %s", f.Phase)
	}
	s := &f.Steps[f.NextUndo()-1]
	s.Attempts, s.NextAttemptAt = 0, 0
	f.setPhase(Undoing, f.Reason, at)
	return nil
}

// GiveUp ends a stuck workflow and leaves its remaining steps as they are. Only operators send this
// command.
func (f *Flow) GiveUp(at int64) *Refusal {
	if f.Phase != Stuck {
		return NewRefusal(OutOfOrder, "the workflow is %s", f.Phase)
	}
	f.setPhase(GivenUp, f.Reason, at)
	return nil
}
