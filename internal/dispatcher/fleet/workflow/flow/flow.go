// Package flow implements the state machine of one workflow: a saga [Garcia-Molina & Salem 1987]
// whose steps are jobs. Each step has an undo, its compensating job, that is agreed on before the
// step is sent. A workflow ends committed, or undone from its last step to its first, or it stops
// as stuck with a reason until an operator decides.
//
// The package is pure: it does no I/O and reads no clock. Each time is the time of the log entry
// that is being applied, in milliseconds since 1970. Package statetable applies the entries of the
// agreed log to flows. A Flow is not safe for concurrent use.
package flow

import (
	"cmp"
	"fmt"
	"slices"
)

// Limits of one workflow.
const (
	MaxSteps     = 64
	MaxBodyBytes = 64 << 10 // bytes of an undo's body, the same limit as the protocol's
	MaxTextBytes = 256      // bytes of each name and key; a path may have four times as many
	// DefaultAttempts is how often an undo is attempted before its workflow is stuck, unless the
	// client asks for another number; MaxAttempts is the most that it may ask for.
	DefaultAttempts = 8
	MaxAttempts     = 64
	initialBackoff  = 500              // ms before the second attempt of an undo, doubled after each failure
	maxBackoff      = 60_000           // ms, the upper limit of the backoff
	maxDuration     = 24 * 3600 * 1000 // ms, the upper limit of a deadline and of a lease
)

// Phase is the phase of a workflow's life cycle.
type Phase string

// The phases. Committed, Undone and GivenUp are final.
const (
	Active    Phase = "active"    // its client is running it
	Undoing   Phase = "undoing"   // its steps are being undone
	Stuck     Phase = "stuck"     // an undo has failed for good; an operator has to decide
	Committed Phase = "committed" // all steps are done and nothing is undone
	Undone    Phase = "undone"    // every step that may have had an effect is undone
	GivenUp   Phase = "given up"  // an operator has ended it as it is
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p == Committed || p == Undone || p == GivenUp }

// State is the state of a step.
type State string

// The states of a step.
const (
	Open        State = "open"    // its job may be running
	Done        State = "done"    // its job has had its effect
	NoEffect    State = "never"   // its job certainly had no effect
	InDoubt     State = "doubt"   // its job may have had an effect, or may have one until Step.EffectUntil
	Compensated State = "undone"  // its undo has succeeded
	Skipped     State = "skipped" // an operator has skipped its undo
)

// Undo is the compensating job of a step.
type Undo struct {
	Class  string `json:"class"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	Body   []byte `json:"body,omitempty"`
	Unsafe bool   `json:"unsafe,omitempty"` // it must not run twice: after an uncertain outcome it is not attempted again
}

// Bytes returns roughly how much memory the undo takes.
func (u *Undo) Bytes() int {
	return len(u.Class) + len(u.Path) + len(u.Key) + len(u.Body) + 64
}

// Step is one step of a workflow.
type Step struct {
	Undo          Undo   `json:"undo"`
	State         State  `json:"state"`
	EffectUntil   int64  `json:"until"`           // ms since 1970; from then on its job can have no effect any more
	Attempts      int    `json:"tries,omitempty"` // failed attempts of its undo
	NextAttemptAt int64  `json:"next,omitempty"`  // ms since 1970; its undo is not attempted before
	Reason        string `json:"why,omitempty"`   // why the last attempt of its undo failed
	// Destinations are the groups of runners to which its undo was sent and where it may have had
	// its effect.
	Destinations []Destination `json:"went,omitempty"`
}

// Flow is one workflow.
type Flow struct {
	ID            string `json:"id"`
	Phase         Phase  `json:"phase"`
	Reason        string `json:"why,omitempty"` // why it is being undone, is stuck or was given up
	Deadline      int64  `json:"deadline"`      // ms since 1970
	LeaseDuration int64  `json:"lease_for"`     // ms by which each message of its client extends the lease
	LeaseUntil    int64  `json:"lease"`         // ms since 1970
	Since         int64  `json:"since"`         // ms since 1970 when it entered its phase
	MaxAttempts   int    `json:"tries"`         // of one undo, before the workflow is stuck
	Steps         []Step `json:"steps"`
	Holder        string `json:"holder,omitempty"` // name of the member that claimed it to undo it
	FencingToken  uint64 `json:"fence,omitempty"`  // index of the entry of that claim; an update with another one is refused
	HeldUntil     int64  `json:"held,omitempty"`   // ms since 1970 when the claim expires
}

// Refusal is the error of a command that is refused and changes nothing. Its kind decides the HTTP
// status that a client sees.
type Refusal struct {
	Kind string // one of the constants below
	Text string
}

// The kinds of refusals.
const (
	NotFound   = "unknown" // there is no such workflow or step
	OutOfOrder = "order"   // the workflow or step is in another state than the command needs
	TooLarge   = "large"   // a limit of one workflow is exceeded
	TooMany    = "many"    // a limit of all workflows together is exceeded
	Invalid    = "bad"     // the command is malformed
	Fenced     = "fenced"  // another member has claimed the workflow
)

// Error returns the text of the refusal.
func (r *Refusal) Error() string { return r.Text }

// NewRefusal returns a refusal of a kind with a formatted text.
func NewRefusal(kind, format string, args ...any) *Refusal {
	return &Refusal{kind, fmt.Sprintf(format, args...)}
}

// Begin returns a new active workflow as of a time. Deadline and at are in milliseconds since
// 1970, leaseDuration is in milliseconds; maxAttempts bounds the attempts of each undo, 0 for
// DefaultAttempts.
func Begin(id string, deadline, leaseDuration int64, maxAttempts int, at int64) (*Flow, *Refusal) {
	switch {
	case id == "" || len(id) > MaxTextBytes:
		return nil, NewRefusal(Invalid, "the id is missing or longer than %d bytes", MaxTextBytes)
	case deadline <= at || deadline > at+maxDuration:
		return nil, NewRefusal(Invalid, "the deadline is over, or more than a day away")
	case maxAttempts < 0 || maxAttempts > MaxAttempts:
		return nil, NewRefusal(Invalid, "an undo is to be tried %d times, which is not from 1 to %d", maxAttempts, MaxAttempts)
	case leaseDuration <= 0 || leaseDuration > maxDuration:
		return nil, NewRefusal(Invalid, "the lease is not from 1 ms to a day")
	}
	return &Flow{
		ID:            id,
		Phase:         Active,
		MaxAttempts:   cmp.Or(maxAttempts, DefaultAttempts),
		Deadline:      deadline,
		LeaseDuration: leaseDuration,
		LeaseUntil:    at + leaseDuration,
		Since:         at,
	}, nil
}

// Register adds step n, counted from 1, before its job is sent; effectUntil is when its job can
// have no effect any more, in milliseconds since 1970. Registering step n+1 implies that step n is
// done. The last step may be registered again while it is open, with the same undo or without one,
// so that a client can repeat a call whose answer was lost.
func (f *Flow) Register(n int, u *Undo, effectUntil, at int64) *Refusal {
	last := len(f.Steps)
	switch {
	case f.Phase != Active:
		return NewRefusal(OutOfOrder, "the workflow is %s", f.Phase)
	case at >= f.Deadline:
		return NewRefusal(OutOfOrder, "the workflow's deadline is over")
	case n == last && last > 0:
		s := &f.Steps[last-1]
		if s.State != Open && s.State != NoEffect {
			return NewRefusal(OutOfOrder, "step %d is %s", n, s.State)
		}
		if u != nil && !sameUndo(u, &s.Undo) {
			return NewRefusal(OutOfOrder, "step %d was registered with another undo", n)
		}
		s.State, s.EffectUntil = Open, max(s.EffectUntil, effectUntil)
		f.extendLease(at)
		return nil
	case n != last+1:
		return NewRefusal(OutOfOrder, "step %d is out of order, %d is next", n, last+1)
	case n > MaxSteps:
		return NewRefusal(TooLarge, "%d steps, %d is the most", n, MaxSteps)
	case u == nil:
		return NewRefusal(Invalid, "the undo of step %d is missing", n)
	case last > 0 && f.Steps[last-1].State == NoEffect:
		return NewRefusal(OutOfOrder, "step %d was not done", last)
	}
	if refusal := u.valid(); refusal != nil {
		return refusal
	}
	if last > 0 {
		f.Steps[last-1].State = Done // its client would not send the next step otherwise
	}
	f.Steps = append(f.Steps, Step{Undo: *u, State: Open, EffectUntil: effectUntil})
	f.extendLease(at)
	return nil
}

// valid returns the refusal of a malformed or too large undo, nil for a valid one.
func (u *Undo) valid() *Refusal {
	switch {
	case u.Class == "" || len(u.Path) == 0 || u.Path[0] != '/':
		return NewRefusal(Invalid, "the undo names no class, or no path")
	case len(u.Class) > MaxTextBytes || len(u.Path) > 4*MaxTextBytes || len(u.Key) > MaxTextBytes:
		return NewRefusal(TooLarge, "a name of the undo is too long")
	case len(u.Body) > MaxBodyBytes:
		return NewRefusal(TooLarge, "the undo's body has %d bytes, %d is the most", len(u.Body), MaxBodyBytes)
	case u.Unsafe && u.Key == "":
		return NewRefusal(Invalid, "the undo must not run twice and has no key")
	}
	return nil
}

// sameUndo reports whether two undos are the same job. Unsafe is left out: it follows from the
// class.
func sameUndo(a, b *Undo) bool {
	return a.Class == b.Class && a.Path == b.Path && a.Key == b.Key && slices.Equal(a.Body, b.Body)
}

// extendLease sets the lease to its full duration from a time on.
func (f *Flow) extendLease(at int64) { f.LeaseUntil = at + f.LeaseDuration }

// RenewLease extends the lease of an active workflow.
func (f *Flow) RenewLease(at int64) *Refusal {
	if f.Phase != Active {
		return NewRefusal(OutOfOrder, "the workflow is %s", f.Phase)
	}
	f.extendLease(at)
	return nil
}

// EndStep records the outcome of a step's job: Done, NoEffect or InDoubt. If failed is true the
// job failed for good and an active workflow is undone. An outcome is final, except that InDoubt
// may be replaced.
func (f *Flow) EndStep(n int, s State, failed bool, at int64) *Refusal {
	if n < 1 || n > len(f.Steps) {
		return NewRefusal(NotFound, "there is no step %d", n)
	}
	x := &f.Steps[n-1]
	if x.State != Open && x.State != InDoubt {
		return NewRefusal(OutOfOrder, "step %d is %s", n, x.State)
	}
	if s != Done && s != NoEffect && s != InDoubt {
		return NewRefusal(Invalid, "a step does not settle as %s", s)
	}
	x.State = s
	switch {
	case f.Phase == Active && failed:
		f.setPhase(Undoing, fmt.Sprintf("step %d failed", n), at)
	case f.Phase == Undoing && f.NextUndo() == 0, f.Phase == Stuck && f.NextUndo() < n: // the undo that was next is not needed any more
		f.setPhase(Undoing, f.Reason, at)
	}
	return nil
}

// Commit ends the workflow for a client that has seen all of its steps done; steps is their number
// and must match what is registered. Committing again has no effect and is not refused.
func (f *Flow) Commit(steps int, at int64) *Refusal {
	switch {
	case f.Phase == Committed:
		return nil
	case f.Phase != Active:
		return NewRefusal(OutOfOrder, "the workflow is %s", f.Phase)
	case steps != len(f.Steps):
		return NewRefusal(OutOfOrder, "%d steps were registered, and %d are said to be done", len(f.Steps), steps)
	case at >= f.Deadline:
		return NewRefusal(OutOfOrder, "the workflow's deadline is over")
	}
	for i := range f.Steps {
		if s := f.Steps[i].State; s == InDoubt || s == NoEffect {
			return NewRefusal(OutOfOrder, "step %d is %s", i+1, s)
		}
	}
	f.setPhase(Committed, "", at)
	return nil
}

// Overdue returns why an active workflow has to be undone as of a time: its deadline or its lease
// has expired. It returns the empty string if there is no reason.
func (f *Flow) Overdue(at int64) string {
	switch {
	case f.Phase != Active:
		return ""
	case at >= f.Deadline:
		return "its deadline is over"
	case at >= f.LeaseUntil:
		return "its client has said nothing for as long as its lease"
	}
	return ""
}

// The outcomes of an attempt of an undo.
const (
	Succeeded  Outcome = "ok"
	NotApplied Outcome = "not done" // it certainly had no effect
	Uncertain  Outcome = "maybe"    // it may have had its effect
	Unusable   Outcome = "useless"  // no runner can run it, so a retry is useless
)

// Bytes returns roughly how much memory the workflow takes.
func (f *Flow) Bytes() int {
	n := 256 + len(f.ID)
	for i := range f.Steps {
		n += f.Steps[i].Undo.Bytes()
		for _, p := range f.Steps[i].Destinations { // only the next undo has destinations
			n += 64 + len(p.Zone) + 8*len(p.Entries)
		}
	}
	return n
}

// Clone returns a deep copy, except that it shares the bodies of undos, which are never written
// to.
func (f *Flow) Clone() *Flow {
	c := *f
	c.Steps = slices.Clone(f.Steps)
	for i := range c.Steps {
		c.Steps[i].Destinations = slices.Clone(c.Steps[i].Destinations)
	}
	return &c
}
