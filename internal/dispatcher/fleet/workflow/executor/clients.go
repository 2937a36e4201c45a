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

// ErrDisabled is the error that clients get if the dispatcher's settings don't enable workflows.
var ErrDisabled = errors.New("workflows need [cluster], and enabled = true in [workflow]")

// Propose proposes a command of a client or an operator and returns once its log entry is
// committed. A *flow.Refusal means that the command had no effect. Any other error means that the
// outcome is unknown; repeating the command is harmless.
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

// Register proposes step n of a workflow, with its undo u, before the step's job is sent. The job
// can't take effect from the time until on. The errors are those of Propose, and a *flow.Refusal if
// the class of the undo is not known. It sets u.Unsafe.
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

// EndStep queues the outcome of the job of step n of a workflow to be proposed. It does not block.
func (e *Executor) EndStep(id string, n int, v core.Verdict) {
	update := statetable.Update{ID: id, Step: n}
	switch v {
	case core.Served:
		update.State = flow.Done
	case core.Rejected, core.Duplicate:
		update.State = flow.NoEffect
	case core.Unusable:
		update.State, update.Failed = flow.NoEffect, true
	default:
		update.State, update.Failed = flow.InDoubt, true
	}
	e.enqueue(pendingUpdate{kind: statetable.EndSteps, Update: update})
}

// Find returns a copy of a workflow as of the last entry that this member has applied, and nil if
// it has no workflow with that id.
func (e *Executor) Find(id string) (f *flow.Flow) {
	e.log.Flows(func(table *statetable.Table) {
		if stored := table.Find(id); stored != nil {
			f = stored.Clone()
		}
	})
	return f
}

// List returns copies of the live workflows as of the last entry that this member has applied, the
// number of ended workflows that it retains, and the estimated bytes that the live ones take.
func (e *Executor) List() (live []*flow.Flow, ended, bytes int) {
	e.log.Flows(func(table *statetable.Table) {
		for _, f := range table.Live {
			live = append(live, f.Clone())
		}
		ended, bytes = len(table.Ended), table.Bytes
	})
	return live, ended, bytes
}
