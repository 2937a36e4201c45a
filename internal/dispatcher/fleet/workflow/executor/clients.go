package executor

import (
	"context"
	"errors"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/workflow/flow"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

// ErrOff is told where there are no workflows.
var ErrOff = errors.New("workflows need [cluster], and enabled = true in [workflow]")

// Do has a client's or an operator's word written and returns once it is agreed on, with what
// it came to. A refusal is a *flow.Refusal; any other error means that nobody knows, and saying
// the same again is harmless.
func (d *Desk) Do(ctx context.Context, c *statetable.Command) error {
	done, err := d.log.Propose(ctx, ledger.Entry{Op: ledger.Flow, UID: c.ID, Flow: c})
	if err != nil {
		return err
	}
	if done.Refused != "" {
		return &flow.Refusal{Kind: done.Kind, Text: done.Refused}
	}
	return nil
}

// Register has a step agreed on before its job is sent. Until is when its job can't have an
// effect any more.
func (d *Desk) Register(ctx context.Context, id string, n int, u *flow.Undo, until time.Time) error {
	if u != nil {
		class, ok := d.cfg.Class(u.Class)
		if !ok {
			return flow.No(flow.Bad, "the undo's class %q is not known", u.Class)
		}
		u.Unsafe = class.Unsafe
	}
	at := d.log.Now() + time.Until(until)
	return d.Do(ctx, &statetable.Command{Kind: statetable.Step, ID: id, N: n, Undo: u, Until: at.Milliseconds()})
}

// Settled makes known what became of a step's job. It does not block.
func (d *Desk) Settled(id string, n int, v core.Verdict) {
	w := statetable.Word{ID: id, N: n}
	switch v {
	case core.Served:
		w.State = flow.Done
	case core.Rejected, core.Duplicate:
		w.State = flow.Never
	case core.Unusable:
		w.State, w.Failed = flow.Never, true
	default:
		w.State, w.Failed = flow.Doubt, true
	}
	d.put(word{kind: statetable.Settle, Word: w})
}

// Find returns a copy of a workflow as far as it is known here, nil for none.
func (d *Desk) Find(id string) (f *flow.Flow) {
	d.log.Flows(func(b *statetable.Book) {
		if x := b.Find(id); x != nil {
			f = x.Clone()
		}
	})
	return f
}

// List returns what is known here of all: those that are live, and how many have ended.
func (d *Desk) List() (live []*flow.Flow, over, bytes int) {
	d.log.Flows(func(b *statetable.Book) {
		for _, f := range b.Live {
			live = append(live, f.Clone())
		}
		over, bytes = len(b.Ended), b.Bytes
	})
	return live, over, bytes
}
