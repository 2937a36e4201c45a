// Package flow is one workflow: steps that are jobs, each with an undo that was agreed on before
// the step was sent, and what becomes of them. A workflow ends committed, or undone from its
// last step to its first, or stuck with a name. The package is pure: no I/O; times are those of
// the entries that it is told of.
package flow

import (
	"cmp"
	"fmt"
	"slices"
)

// The bounds of a workflow.
const (
	MostSteps = 64
	MostBody  = 64 << 10 // of an undo's body, the protocol's own bound
	MostText  = 256      // of each name, path and key
	// Tries is how often an undo is tried before its workflow is stuck, where nobody says
	// otherwise, and MostTries the most that may be said.
	Tries     = 8
	MostTries = 64
	firstWait = 500    // ms before an undo that failed is tried again, doubled each time
	mostWait  = 60_000 // up to this
	longest   = 24 * 3600 * 1000
)

// Phase is where a workflow is.
type Phase string

// The phases.
const (
	Active    Phase = "active"    // its client takes it on
	Undoing   Phase = "undoing"   // it is taken back
	Stuck     Phase = "stuck"     // an undo has failed for good: an operator speaks
	Committed Phase = "committed" // it has ended, and nothing is undone
	Undone    Phase = "undone"    // it has ended, and all that was done is undone
	GivenUp   Phase = "given up"  // an operator has left it as it is
)

// Ended tells whether nothing more becomes of it.
func (p Phase) Ended() bool { return p == Committed || p == Undone || p == GivenUp }

// State is where a step is.
type State string

// The states of steps.
const (
	Open    State = "open"    // its job may be under way
	Done    State = "done"    // it has had its effect
	Never   State = "never"   // it surely had none
	Doubt   State = "doubt"   // it may have had one, or may yet, until its time is over
	Taken   State = "undone"  // its undo was done
	Skipped State = "skipped" // an operator has passed over its undo
)

// Undo is the job that takes a step's effect back.
type Undo struct {
	Class  string `json:"class"`
	Path   string `json:"path"`
	Key    string `json:"key,omitempty"`
	Body   []byte `json:"body,omitempty"`
	Unsafe bool   `json:"unsafe,omitempty"` // it must not run twice: one that may have run is not tried again
}

// Bytes is about how many it takes.
func (u *Undo) Bytes() int {
	return len(u.Class) + len(u.Path) + len(u.Key) + len(u.Body) + 64
}

// Step is one of a workflow.
type Step struct {
	Undo  Undo   `json:"undo"`
	State State  `json:"state"`
	Until int64  `json:"until"`           // ms since 1970 from which on its job can't have an effect any more
	Tries int    `json:"tries,omitempty"` // of its undo, that failed
	Next  int64  `json:"next,omitempty"`  // its undo is not tried before
	Why   string `json:"why,omitempty"`   // of the last failure
	// Went is where its undo was sent, and may have had its effect.
	Went []Place `json:"went,omitempty"`
}

// Flow is a workflow.
type Flow struct {
	ID       string `json:"id"`
	Phase    Phase  `json:"phase"`
	Why      string `json:"why,omitempty"` // why it is undone, stuck or given up
	Deadline int64  `json:"deadline"`      // ms since 1970
	LeaseFor int64  `json:"lease_for"`     // ms for which each word of its client's holds it
	Lease    int64  `json:"lease"`         // until then
	Since    int64  `json:"since"`         // when it came to its phase
	Tries    int    `json:"tries"`         // of an undo, before it is stuck
	Steps    []Step `json:"steps"`
	Holder   string `json:"holder,omitempty"` // the member that undoes it
	Fence    uint64 `json:"fence,omitempty"`  // the entry by which it was taken: a word with an older one counts for nothing
	Held     int64  `json:"held,omitempty"`   // until when
}

// Refusal is why a word on a workflow has no effect.
type Refusal struct {
	Kind string // one of the kinds below
	Text string
}

// The kinds of refusals.
const (
	Unknown = "unknown" // there is no such workflow or step
	Order   = "order"   // not now, or not in this order
	Large   = "large"   // past a bound of one workflow
	Many    = "many"    // past a bound of all
	Bad     = "bad"     // it can't be meant
	Fenced  = "fenced"  // another member has it by now
)

// Error returns the text of the refusal.
func (r *Refusal) Error() string { return r.Text }

// No makes a refusal.
func No(kind, format string, args ...any) *Refusal {
	return &Refusal{kind, fmt.Sprintf(format, args...)}
}

// Begin makes a workflow at a time, whose undos are tried so often; 0 for Tries.
func Begin(id string, deadline, leaseFor int64, tries int, at int64) (*Flow, *Refusal) {
	switch {
	case id == "" || len(id) > MostText:
		return nil, No(Bad, "the id is missing or longer than %d bytes", MostText)
	case deadline <= at || deadline > at+longest:
		return nil, No(Bad, "the deadline is over, or more than a day away")
	case tries < 0 || tries > MostTries:
		return nil, No(Bad, "an undo is to be tried %d times, which is not from 1 to %d", tries, MostTries)
	case leaseFor <= 0 || leaseFor > longest:
		return nil, No(Bad, "the lease is not from 1 ms to a day")
	}
	return &Flow{ID: id, Phase: Active, Tries: cmp.Or(tries, Tries), Deadline: deadline, LeaseFor: leaseFor, Lease: at + leaseFor, Since: at}, nil
}

// Register takes in a step before its job is sent, counted from 1, and until when the job may
// have an effect. The step before has been done, by its client's word. The last step may come
// again while it is open, with the same undo or without one.
func (f *Flow) Register(n int, u *Undo, until, at int64) *Refusal {
	last := len(f.Steps)
	switch {
	case f.Phase != Active:
		return No(Order, "the workflow is %s", f.Phase)
	case at >= f.Deadline:
		return No(Order, "the workflow's deadline is over")
	case n == last && last > 0:
		s := &f.Steps[last-1]
		if s.State != Open && s.State != Never {
			return No(Order, "step %d is %s", n, s.State)
		}
		if u != nil && !same(u, &s.Undo) {
			return No(Order, "step %d was registered with another undo", n)
		}
		s.State, s.Until = Open, max(s.Until, until)
		f.touch(at)
		return nil
	case n != last+1:
		return No(Order, "step %d is out of order, %d is next", n, last+1)
	case n > MostSteps:
		return No(Large, "%d steps, %d is the most", n, MostSteps)
	case u == nil:
		return No(Bad, "the undo of step %d is missing", n)
	case last > 0 && f.Steps[last-1].State == Never:
		return No(Order, "step %d was not done", last)
	}
	if no := u.valid(); no != nil {
		return no
	}
	if last > 0 {
		f.Steps[last-1].State = Done // its client would not go on otherwise
	}
	f.Steps = append(f.Steps, Step{Undo: *u, State: Open, Until: until})
	f.touch(at)
	return nil
}

func (u *Undo) valid() *Refusal {
	switch {
	case u.Class == "" || len(u.Path) == 0 || u.Path[0] != '/':
		return No(Bad, "the undo names no class, or no path")
	case len(u.Class) > MostText || len(u.Path) > 4*MostText || len(u.Key) > MostText:
		return No(Large, "a name of the undo is too long")
	case len(u.Body) > MostBody:
		return No(Large, "the undo's body has %d bytes, %d is the most", len(u.Body), MostBody)
	case u.Unsafe && u.Key == "":
		return No(Bad, "the undo must not run twice and has no key")
	}
	return nil
}

func same(a, b *Undo) bool {
	return a.Class == b.Class && a.Path == b.Path && a.Key == b.Key && slices.Equal(a.Body, b.Body)
}

func (f *Flow) touch(at int64) { f.Lease = at + f.LeaseFor }

// Touch has its client hold it on.
func (f *Flow) Touch(at int64) *Refusal {
	if f.Phase != Active {
		return No(Order, "the workflow is %s", f.Phase)
	}
	f.touch(at)
	return nil
}

// Settle takes in what became of a step's job. Failed is set where it failed for good: the
// workflow is undone. What is settled stays so.
func (f *Flow) Settle(n int, s State, failed bool, at int64) *Refusal {
	if n < 1 || n > len(f.Steps) {
		return No(Unknown, "there is no step %d", n)
	}
	x := &f.Steps[n-1]
	if x.State != Open && x.State != Doubt {
		return No(Order, "step %d is %s", n, x.State)
	}
	if s != Done && s != Never && s != Doubt {
		return No(Bad, "a step does not settle as %s", s)
	}
	x.State = s
	switch {
	case f.Phase == Active && failed:
		f.enter(Undoing, fmt.Sprintf("step %d failed", n), at)
	case f.Phase == Undoing && f.Next() == 0, f.Phase == Stuck && f.Next() < n: // what was to be undone next surely never was
		f.enter(Undoing, f.Why, at)
	}
	return nil
}

// Commit ends it by its client's word, which has seen so many steps done.
func (f *Flow) Commit(steps int, at int64) *Refusal {
	switch {
	case f.Phase == Committed:
		return nil
	case f.Phase != Active:
		return No(Order, "the workflow is %s", f.Phase)
	case steps != len(f.Steps):
		return No(Order, "%d steps were registered, and %d are said to be done", len(f.Steps), steps)
	case at >= f.Deadline:
		return No(Order, "the workflow's deadline is over")
	}
	for i := range f.Steps {
		if s := f.Steps[i].State; s == Doubt || s == Never {
			return No(Order, "step %d is %s", i+1, s)
		}
	}
	f.enter(Committed, "", at)
	return nil
}

// Overdue returns why it is to be undone by now, empty for no reason.
func (f *Flow) Overdue(at int64) string {
	switch {
	case f.Phase != Active:
		return ""
	case at >= f.Deadline:
		return "its deadline is over"
	case at >= f.Lease:
		return "its client has said nothing for as long as its lease"
	}
	return ""
}

// The outcomes.
const (
	OK      Outcome = "ok"
	NotDone Outcome = "not done" // it surely had no effect
	Maybe   Outcome = "maybe"    // it may have had one
	Useless Outcome = "useless"  // nobody can use it: trying again is of no use
)

// Bytes is about how many it takes.
func (f *Flow) Bytes() int {
	n := 256 + len(f.ID)
	for i := range f.Steps {
		n += f.Steps[i].Undo.Bytes()
		for _, p := range f.Steps[i].Went { // of one step at a time: the next
			n += 64 + len(p.Zone) + 8*len(p.Entries)
		}
	}
	return n
}

// Clone returns a copy; bodies are shared, as nobody writes to them.
func (f *Flow) Clone() *Flow {
	c := *f
	c.Steps = slices.Clone(f.Steps)
	for i := range c.Steps {
		c.Steps[i].Went = slices.Clone(c.Steps[i].Went)
	}
	return &c
}
