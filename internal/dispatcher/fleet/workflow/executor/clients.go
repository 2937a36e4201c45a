package executor

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/workflow/flow"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

// ErrDisabled is reported to clients where workflows are not configured.
var ErrDisabled = errors.New("workflows need [cluster], and enabled = true in [workflow]")

// Propose proposes a command of a client or an operator and returns once it is agreed on. A
// *flow.Refusal means that it changed nothing. Any other error means that its outcome is unknown;
// repeating the command is harmless.
func (e *Executor) Propose(ctx context.Context, c *statetable.Command) error {
	done, err := e.log.Propose(ctx, ledger.Entry{Op: ledger.Flow, UID: c.ID, Flow: c})
	if err != nil {
		return err
	}
	if done.Refused != "" {
		return &flow.Refusal{Kind: done.Kind, Text: done.Refused}
	}
	return nil
}

// Register proposes step n of a workflow before its job is sent. The job can have no effect after
// until. Errors are those of Propose.
func (e *Executor) Register(ctx context.Context, id string, n int, u *flow.Undo, until time.Time) error {
	if u != nil {
		class, ok := e.cfg.Class(u.Class)
		if !ok {
			return flow.NewRefusal(flow.Invalid, "the undo's class %q is not known", u.Class)
		}
		u.Unsafe = class.Unsafe
	}
	at := e.log.Now() + time.Until(until)
	return e.Propose(ctx, &statetable.Command{Kind: statetable.Step, ID: id, N: n, Undo: u, Until: at.Milliseconds()})
}

// EndStep queues the outcome of a step's job. It does not block.
func (e *Executor) EndStep(id string, n int, v core.Verdict) {
	w := statetable.Update{ID: id, Step: n}
	switch v {
	case core.Served:
		w.State = flow.Done
	case core.Rejected, core.Duplicate:
		w.State = flow.NoEffect
	case core.Unusable:
		w.State, w.Failed = flow.NoEffect, true
	default:
		w.State, w.Failed = flow.InDoubt, true
	}
	e.enqueue(pendingUpdate{kind: statetable.EndSteps, Update: w})
}

// Find returns a copy of a workflow as far as this member knows it, nil if it is not known.
func (e *Executor) Find(id string) (f *flow.Flow) {
	e.log.Flows(func(b *statetable.Table) {
		if x := b.Find(id); x != nil {
			f = x.Clone()
		}
	})
	return f
}

// List returns copies of the live workflows that this member knows, how many ended ones it
// remembers, and the bytes that the live ones take.
func (e *Executor) List() (live []*flow.Flow, ended, bytes int) {
	e.log.Flows(func(b *statetable.Table) {
		for _, f := range b.Live {
			live = append(live, f.Clone())
		}
		ended, bytes = len(b.Ended), b.Bytes
	})
	return live, ended, bytes
}
