// Package statetable implements the replicated state machine of workflows. Each log entry about
// workflows is a command, and members that apply the same commands in the same order have equal
// tables. The package bounds the number of workflows and the memory that they take.
//
// The package is pure: it does no I/O and reads no clock. Package quorum applies the entries and
// serialises all calls; a Table is not safe for concurrent use. The JSON forms of Table, Command
// and Update are stored and sent between members, so their tags and the strings of Kind must not
// change.
package statetable

import (
	"cmp"
	"encoding/json"
	"slices"

	"frosttide/internal/dispatcher/fleet/workflow/flow"
)

// Limits of a table. They must be the same at all members, because the effect of a command depends
// on them.
const (
	MaxFlows = 10_000   // live workflows; a further one is refused
	MaxBytes = 32 << 20 // estimated bytes of live workflows; a step that would exceed it is refused
	MaxEnded = 4096     // ended workflows that are retained; the oldest are dropped first
	MaxBatch = 256      // updates of one command; one with more is refused
)

// Kind is the kind of a command.
type Kind string

// The kinds of commands. Those with Updates act on several workflows, the others on the one that
// Command.ID names.
const (
	Begin         Kind = "begin"
	Step          Kind = "step"
	EndSteps      Kind = "settle" // Updates are the outcomes of the jobs of steps
	Commit        Kind = "commit"
	Undo          Kind = "undo"   // requested by a client or an operator
	Expire        Kind = "expire" // Updates name workflows that are overdue at the time of the entry
	RenewLease    Kind = "touch"
	Claim         Kind = "take"  // Updates name workflows that the member By claims until Until
	EndUndos      Kind = "took"  // Updates are the outcomes of undos
	SendUndo      Kind = "goes"  // the undo of step N will be sent to Destination under FencingToken
	WithdrawUndos Kind = "stays" // Updates name SendUndo entries whose undo certainly never ran
	Skip          Kind = "skip"  // Skip, Retry and GiveUp are requested by operators
	Retry         Kind = "again"
	GiveUp        Kind = "give-up"
)

// Update is the part of a command that concerns one of several workflows. Which fields count
// depends on the kind of the command.
type Update struct {
	ID           string       `json:"id"`
	Step         int          `json:"n,omitempty"`
	State        flow.State   `json:"state,omitempty"`
	Failed       bool         `json:"failed,omitempty"`
	FencingToken uint64       `json:"fence,omitempty"`
	Outcome      flow.Outcome `json:"outcome,omitempty"`
	Reason       string       `json:"why,omitempty"`
	Entry        uint64       `json:"entry,omitempty"` // log index of the SendUndo to withdraw
}

// Command is a log entry about workflows. Which fields count depends on its kind. Deadline and
// Until are Unix times in milliseconds, LeaseDuration is in milliseconds.
type Command struct {
	Kind          Kind             `json:"kind"`
	ID            string           `json:"id,omitempty"`
	N             int              `json:"n,omitempty"`
	Deadline      int64            `json:"deadline,omitempty"`
	LeaseDuration int64            `json:"lease_for,omitempty"`
	Until         int64            `json:"until,omitempty"`
	MaxAttempts   int              `json:"tries,omitempty"`
	Undo          *flow.Undo       `json:"undo,omitempty"`
	By            string           `json:"by,omitempty"`
	Reason        string           `json:"why,omitempty"`
	Updates       []Update         `json:"words,omitempty"`
	FencingToken  uint64           `json:"fence,omitempty"`
	Destination   flow.Destination `json:"place,omitzero"`
}

// Table is the state of all workflows. The zero value is an empty table.
type Table struct {
	Live      map[string]*flow.Flow `json:"live"`  // workflows that have not ended, by id
	Ended     []*flow.Flow          `json:"ended"` // the last MaxEnded ended ones, the oldest first
	Bytes     int                   `json:"bytes"` // sum of Flow.Bytes over Live
	endedByID map[string]*flow.Flow // index of Ended, built on first use
}

// Apply applies the command of the log entry with the given index. at is the time of the entry as
// Unix time in milliseconds. changed reports whether the command had an effect. refusal is the
// reason if a command about one workflow was refused, or one with too many updates. Of a command
// about several workflows, updates that are refused are skipped.
func (t *Table) Apply(index uint64, at int64, c *Command) (changed bool, refusal *flow.Refusal) {
	if t.Live == nil {
		t.Live = map[string]*flow.Flow{}
	}
	if len(c.Updates) > MaxBatch {
		return false, flow.NewRefusal(flow.TooMany, "%d words in one entry, %d is the most", len(c.Updates), MaxBatch)
	}
	switch c.Kind {
	case Begin:
		return t.begin(at, c)
	case EndSteps, Expire, Claim, EndUndos, WithdrawUndos:
		for i := range c.Updates {
			changed = t.applyUpdate(index, at, c, &c.Updates[i]) == nil || changed
		}
		return changed, nil
	}
	f := t.Live[c.ID]
	if f == nil {
		return t.refuseEnded(c)
	}
	return t.modify(f, func() *flow.Refusal { return t.applyToFlow(f, index, at, c) })
}

// applyToFlow applies a command about one workflow, other than Begin, to that live workflow.
func (t *Table) applyToFlow(f *flow.Flow, index uint64, at int64, c *Command) *flow.Refusal {
	switch c.Kind {
	case Step:
		if c.Undo != nil && c.N == len(f.Steps)+1 && t.Bytes+c.Undo.Bytes() > MaxBytes {
			return flow.NewRefusal(flow.TooMany, "all undos together take %d bytes, %d is the most", t.Bytes, MaxBytes)
		}
		return f.Register(c.N, c.Undo, c.Until, at)
	case SendUndo:
		return f.SendUndo(c.N, c.FencingToken, index, c.Destination, at)
	case Commit:
		return f.Commit(c.N, at)
	case Undo:
		return f.StartUndo(cmp.Or(c.Reason, "its client said so"), at)
	case RenewLease:
		return f.RenewLease(at)
	case Skip:
		return f.Skip(c.N, at)
	case Retry:
		return f.Retry(at)
	case GiveUp:
		return f.GiveUp(at)
	}
	return flow.NewRefusal(flow.Invalid, "%q is no command of this build", c.Kind)
}

// begin applies a Begin command. An id can be used again once its ended workflow is not retained.
func (t *Table) begin(at int64, c *Command) (bool, *flow.Refusal) {
	if t.Find(c.ID) != nil {
		return false, flow.NewRefusal(flow.OutOfOrder, "there is a workflow %s already", c.ID)
	}
	if len(t.Live) >= MaxFlows {
		return false, flow.NewRefusal(flow.TooMany, "%d workflows have not ended, that is the most", MaxFlows)
	}
	f, refusal := flow.Begin(c.ID, c.Deadline, c.LeaseDuration, c.MaxAttempts, at)
	if refusal != nil {
		return false, refusal
	}
	t.Live[f.ID] = f
	t.Bytes += f.Bytes()
	return true, nil
}

// applyUpdate applies one update of a command about several workflows.
func (t *Table) applyUpdate(index uint64, at int64, c *Command, update *Update) *flow.Refusal {
	f := t.Live[update.ID]
	if f == nil {
		return flow.NewRefusal(flow.NotFound, "there is no workflow %s", update.ID)
	}
	_, refusal := t.modify(f, func() *flow.Refusal {
		switch c.Kind {
		case EndSteps:
			return f.EndStep(update.Step, update.State, update.Failed, at)
		case Expire:
			if reason := f.Overdue(at); reason != "" {
				return f.StartUndo(reason, at)
			}
			return flow.NewRefusal(flow.OutOfOrder, "it is not over")
		case Claim:
			return f.Claim(c.By, index, c.Until, at)
		case WithdrawUndos:
			return f.WithdrawUndo(update.Step, update.FencingToken, update.Entry, at)
		}
		return f.EndUndo(update.Step, update.FencingToken, update.Outcome, update.Reason, at)
	})
	return refusal
}

// modify applies a change to a live workflow, adjusts Table.Bytes, and retires the workflow if it
// has ended.
func (t *Table) modify(f *flow.Flow, change func() *flow.Refusal) (bool, *flow.Refusal) {
	before := f.Bytes()
	refusal := change()
	t.Bytes += f.Bytes() - before
	if f.Phase.Ended() {
		t.retire(f)
	}
	return refusal == nil, refusal
}

// retire moves a workflow from Live to Ended and drops the oldest ended one beyond MaxEnded.
func (t *Table) retire(f *flow.Flow) {
	t.Bytes -= f.Bytes()
	delete(t.Live, f.ID)
	t.Find("") // builds endedByID if it is nil
	t.endedByID[f.ID] = f
	if t.Ended = append(t.Ended, f); len(t.Ended) > MaxEnded {
		delete(t.endedByID, t.Ended[0].ID)
		t.Ended = slices.Clone(t.Ended[1:])
	}
}

// refuseEnded returns the result of a command about a workflow that is not live. A repeated Commit
// of a committed workflow, or Undo of an undone one, has no effect and is not refused.
func (t *Table) refuseEnded(c *Command) (bool, *flow.Refusal) {
	f := t.Find(c.ID)
	switch {
	case f == nil:
		return false, flow.NewRefusal(flow.NotFound, "there is no workflow %s", c.ID)
	case c.Kind == Commit && f.Phase == flow.Committed, c.Kind == Undo && f.Phase == flow.Undone:
		return false, nil
	}
	return false, flow.NewRefusal(flow.OutOfOrder, "the workflow is %s", f.Phase)
}

// Find returns the live or retained ended workflow with an id, and nil if there is none.
func (t *Table) Find(id string) *flow.Flow {
	if f := t.Live[id]; f != nil {
		return f
	}
	if t.endedByID == nil {
		t.endedByID = map[string]*flow.Flow{}
		for _, f := range t.Ended {
			t.endedByID[f.ID] = f
		}
	}
	return t.endedByID[id]
}

// Clone returns a copy that can be changed independently. It shares the ended workflows, which
// never change.
func (t *Table) Clone() *Table {
	c := &Table{Live: make(map[string]*flow.Flow, len(t.Live)), Ended: slices.Clone(t.Ended), Bytes: t.Bytes}
	for id, f := range t.Live {
		c.Live[id] = f.Clone()
	}
	return c
}

// Parse decodes a table from its JSON form, as in a snapshot.
func Parse(text []byte) (*Table, error) {
	var t Table
	if err := json.Unmarshal(text, &t); err != nil {
		return nil, err
	}
	return &t, nil
}
