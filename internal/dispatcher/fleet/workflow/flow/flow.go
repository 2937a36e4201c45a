// Package flow implements the state machine of one workflow, a saga [Garcia-Molina & Salem 1987]
// whose steps are jobs. Each step has an undo, its compensating job, which is replicated before the
// job of the step is sent. A workflow either commits or is undone from its last step to its first.
// If an undo can't be completed, the workflow is stuck until an operator decides.
//
// The package is pure: it does no I/O and reads no clock. The argument at of a method is the time
// of the log entry that is being applied, as Unix time in milliseconds. Package statetable applies
// the entries of the replicated log to flows. A Flow is not safe for concurrent use.
package flow

import (
	"cmp"
	"fmt"
	"slices"
)

// Limits of one workflow.
const (
	MaxSteps     = 64
	MaxBodyBytes = 64 << 10 // of the body of an undo; the protocol has the same limit
	MaxTextBytes = 256      // of each name and key; a path may be four times as long
	// DefaultAttempts is how many failed attempts of an undo make its workflow stuck, unless the
	// client sets another number, which is at most MaxAttempts.
	DefaultAttempts = 8
	MaxAttempts     = 64
	initialBackoff  = 500              // ms before the second attempt of an undo, then doubled
	maxBackoff      = 60_000           // ms, upper limit of the backoff
	maxDuration     = 24 * 3600 * 1000 // ms, upper limit of leases, windows and times to a deadline
)

// Phase is a phase in the life cycle of a workflow. The values are stored and sent to clients.
type Phase string

// The phases. Committed, Undone and GivenUp are final.
const (
	Active    Phase = "active"    // the client is sending its steps
	Undoing   Phase = "undoing"   // its steps are being undone
	Stuck     Phase = "stuck"     // an undo has failed permanently; an operator has to decide
	Committed Phase = "committed" // all steps are done and none is undone
	Undone    Phase = "undone"    // every step that may have had an effect is undone or was skipped
	GivenUp   Phase = "given up"  // an operator has ended it without undoing its remaining steps
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p == Committed || p == Undone || p == GivenUp }

// State is the state of a step. The values are stored and sent to clients.
type State string

// The states of a step.
const (
	Open        State = "open"    // its job may be running
	Done        State = "done"    // its job has taken effect
	NoEffect    State = "never"   // its job certainly had no effect
	InDoubt     State = "doubt"   // its job may have taken effect, or may until Step.EffectUntil
	Compensated State = "undone"  // its undo has succeeded
	Skipped     State = "skipped" // an operator has skipped its undo
)

// Undo is the compensating job of a step, which reverses the effect of the step's job.
type Undo struct {
	Class string `json:"class"`
	Path  string `json:"path"`
	Key   string `json:"key,omitempty"`
	Body  []byte `json:"body,omitempty"`
	// Unsafe means that the undo must not run twice: it is not retried after an uncertain outcome.
	Unsafe bool `json:"unsafe,omitempty"`
}

// Bytes estimates the memory that the undo takes.
func (u *Undo) Bytes() int {
	return len(u.Class) + len(u.Path) + len(u.Key) + len(u.Body) + 64
}

// Step is one step of a workflow: the state of its job, its undo, and the attempts to run the undo.
type Step struct {
	Undo          Undo   `json:"undo"`
	State         State  `json:"state"`
	EffectUntil   int64  `json:"until"`           // Unix ms from which its job can't take effect
	Attempts      int    `json:"tries,omitempty"` // failed attempts of its undo
	NextAttemptAt int64  `json:"next,omitempty"`  // Unix ms before which its undo is not retried
	Reason        string `json:"why,omitempty"`   // why the last attempt of its undo failed
	// Destinations are the groups of runners to which its undo was sent and where it may have taken
	// effect.
	Destinations []Destination `json:"went,omitempty"`
}

// Flow is the replicated state of one workflow. Its JSON form is stored and sent to clients.
type Flow struct {
	ID            string `json:"id"`
	Phase         Phase  `json:"phase"`
	Reason        string `json:"why,omitempty"` // why it is being undone, is stuck or was given up
	Deadline      int64  `json:"deadline"`      // Unix ms at which it is undone if still active
	LeaseDuration int64  `json:"lease_for"`     // ms that the lease lasts after each renewal
	LeaseUntil    int64  `json:"lease"`         // Unix ms at which it is undone if still active
	Since         int64  `json:"since"`         // Unix ms at which it entered its phase
	MaxAttempts   int    `json:"tries"`         // failed attempts of one undo that make it stuck
	Steps         []Step `json:"steps"`
	Holder        string `json:"holder,omitempty"` // name of the member that claimed it to undo it
	// FencingToken is the log index of that claim. Updates with another token are refused.
	FencingToken uint64 `json:"fence,omitempty"`
	HeldUntil    int64  `json:"held,omitempty"` // Unix ms at which the claim expires
}

// Refusal is the error of a command that is refused and has no effect. Its kind determines the HTTP
// status of the response, and its text is the response's body.
type Refusal struct {
	Kind string // one of the constants below
	Text string
}

// The kinds of refusals.
const (
	NotFound   = "unknown" // there is no such workflow or step
	OutOfOrder = "order"   // the state of the workflow or step does not allow the command
	TooLarge   = "large"   // a limit of one workflow is exceeded
	TooMany    = "many"    // a limit of all workflows together is exceeded
	Invalid    = "bad"     // the command is malformed
	Fenced     = "fenced"  // another claim of the workflow is in force
)

// Error returns the text of the refusal, without its kind.
func (r *Refusal) Error() string { return r.Text }

// NewRefusal returns a refusal of a kind with a formatted text.
func NewRefusal(kind, format string, args ...any) *Refusal {
	return &Refusal{kind, fmt.Sprintf(format, args...)}
}

// Begin returns a new active workflow. deadline and at are Unix times in milliseconds,
// leaseDuration is in milliseconds. maxAttempts is how many failed attempts of an undo make the
// workflow stuck; 0 stands for DefaultAttempts.
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

// Register adds step n, counted from 1, before its job is sent. effectUntil is the Unix time in
// milliseconds from which the job can't take effect. Registering step n+1 marks step n as done. The
// last step may be registered again while it is Open or NoEffect, with the same undo or without
// one, so that a client can repeat a call whose response was lost.
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
		f.Steps[last-1].State = Done // clients send a step only once the one before is done
	}
	f.Steps = append(f.Steps, Step{Undo: *u, State: Open, EffectUntil: effectUntil})
	f.extendLease(at)
	return nil
}

// valid returns nil if the undo is well-formed and within the limits, and the refusal otherwise.
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

// sameUndo reports whether two undos are the same job. Unsafe is not compared, as the class
// determines it.
func sameUndo(a, b *Undo) bool {
	return a.Class == b.Class && a.Path == b.Path && a.Key == b.Key && slices.Equal(a.Body, b.Body)
}

// extendLease lets the lease last for its full duration from the given time.
func (f *Flow) extendLease(at int64) { f.LeaseUntil = at + f.LeaseDuration }

// RenewLease extends the lease of an active workflow. In another phase it is refused as OutOfOrder.
func (f *Flow) RenewLease(at int64) *Refusal {
	if f.Phase != Active {
		return NewRefusal(OutOfOrder, "the workflow is %s", f.Phase)
	}
	f.extendLease(at)
	return nil
}

// EndStep records the outcome of the job of step n: Done, NoEffect or InDoubt. If failed is true,
// the job has failed permanently and an active workflow is undone. An outcome is final, except that
// InDoubt may be replaced.
func (f *Flow) EndStep(n int, outcome State, failed bool, at int64) *Refusal {
	if n < 1 || n > len(f.Steps) {
		return NewRefusal(NotFound, "there is no step %d", n)
	}
	step := &f.Steps[n-1]
	if step.State != Open && step.State != InDoubt {
		return NewRefusal(OutOfOrder, "step %d is %s", n, step.State)
	}
	if outcome != Done && outcome != NoEffect && outcome != InDoubt {
		return NewRefusal(Invalid, "a step does not settle as %s", outcome)
	}
	step.State = outcome
	switch {
	case f.Phase == Active && failed:
		f.setPhase(Undoing, fmt.Sprintf("step %d failed", n), at)
	// The undo that was next is not needed.
	case f.Phase == Undoing && f.NextUndo() == 0, f.Phase == Stuck && f.NextUndo() < n:
		f.setPhase(Undoing, f.Reason, at)
	}
	return nil
}

// Commit ends an active workflow whose client has seen all steps done. steps is the number of steps
// that the client has sent and must equal the number of registered ones. Committing again has no
// effect and is not refused.
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

// Overdue returns the reason to undo an active workflow at the given time: its deadline has passed
// or its lease has expired. It returns the empty string if neither is so.
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

// The outcomes of an attempt to run an undo. They are stored and sent between members.
const (
	Succeeded  Outcome = "ok"
	NotApplied Outcome = "not done" // it certainly had no effect
	Uncertain  Outcome = "maybe"    // it may have taken effect
	Unusable   Outcome = "useless"  // no runner can run it, so it is not retried
)

// Bytes estimates the memory that the workflow takes.
func (f *Flow) Bytes() int {
	n := 256 + len(f.ID)
	for i := range f.Steps {
		n += f.Steps[i].Undo.Bytes()
		for _, d := range f.Steps[i].Destinations { // only undos that were sent have some
			n += 64 + len(d.Zone) + 8*len(d.Entries)
		}
	}
	return n
}

// Clone returns a copy. It shares with f only what is never modified in place: the bodies of undos
// and the Entries of destinations.
func (f *Flow) Clone() *Flow {
	c := *f
	c.Steps = slices.Clone(f.Steps)
	for i := range c.Steps {
		c.Steps[i].Destinations = slices.Clone(c.Steps[i].Destinations)
	}
	return &c
}
