package flow

import (
	"fmt"
)

// StartUndo begins to undo an active workflow, with a reason. It has no effect on one that is
// being undone, undone or stuck already.
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

// setPhase enters a phase, or Undone in place of Undoing if no undo is left. An ended workflow
// drops its claim and its undos' bodies, keys and destinations to free their memory.
func (f *Flow) setPhase(p Phase, reason string, at int64) {
	f.Phase, f.Reason, f.Since = p, reason, at
	if p == Undoing && f.NextUndo() == 0 {
		f.Phase = Undone
	}
	if f.Phase.Ended() {
		f.Holder, f.HeldUntil = "", 0
		for i := range f.Steps { // keep what operators see, drop the rest
			f.Steps[i].Undo = Undo{Class: f.Steps[i].Undo.Class, Path: f.Steps[i].Undo.Path}
			f.Steps[i].Destinations = nil
		}
	}
}

// NextUndo returns the number of the step that has to be undone next, the last one that may have
// had an effect; 0 if there is none.
func (f *Flow) NextUndo() int {
	for i := len(f.Steps) - 1; i >= 0; i-- {
		if s := f.Steps[i].State; s == Open || s == Done || s == InDoubt {
			return i + 1
		}
	}
	return 0
}

// UndoReadyAt returns from when on the next undo may begin, in milliseconds since 1970: its
// backoff is over and its step's job can have no effect after it any more. It returns 0 if no undo
// is left.
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

// Claim gives the workflow to a member until a time; index is that of the claim's log entry. A
// member that renews its own claim in time keeps the fencing token, so that an undo that is
// running still counts; any other claim replaces the token.
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

// Outcome is the outcome of one attempt of an undo.
type Outcome string

// EndUndo records the outcome of an attempt of step n's undo by the holder with a fencing token. A
// failed attempt is repeated after an exponential backoff. The workflow is stuck after Unusable,
// after the last allowed attempt, and after an uncertain outcome of an undo that must not run
// twice.
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

// Skip lets an operator skip the undo of step n, at which the workflow is stuck.
func (f *Flow) Skip(n int, at int64) *Refusal {
	if f.Phase != Stuck || n != f.NextUndo() {
		return NewRefusal(OutOfOrder, "the undo of step %d is not stuck", n)
	}
	f.Steps[n-1].State, f.Steps[n-1].Destinations = Skipped, nil
	f.setPhase(Undoing, f.Reason, at)
	return nil
}

// Retry lets an operator continue a stuck workflow with a fresh count of attempts.
func (f *Flow) Retry(at int64) *Refusal {
	if f.Phase != Stuck {
		return NewRefusal(OutOfOrder, "the workflow is %s", f.Phase)
	}
	s := &f.Steps[f.NextUndo()-1]
	s.Attempts, s.NextAttemptAt = 0, 0
	f.setPhase(Undoing, f.Reason, at)
	return nil
}

// GiveUp lets an operator end a stuck workflow as it is.
func (f *Flow) GiveUp(at int64) *Refusal {
	if f.Phase != Stuck {
		return NewRefusal(OutOfOrder, "the workflow is %s", f.Phase)
	}
	f.setPhase(GivenUp, f.Reason, at)
	return nil
}
