package executor

import (
	"context"
	"sync"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/workflow/assignment"
	"frosttide/internal/dispatcher/fleet/workflow/flow"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

// destinations has the log agree on each group of runners before one undo is sent there, so that
// no other member can send it to a second group while it may run in the first. It belongs to the
// undo's job, which calls it (core.Placements).
type destinations struct {
	executor *Executor
	run      assignment.Run
	deadline time.Time // of the job

	mu      sync.Mutex
	entries map[core.OutcomeRecord]uint64 // index of the entry for each group of this run
}

// Previous returns the groups in which the undo may have run according to the log.
func (p *destinations) Previous() (out []core.OutcomeRecord) {
	now := p.executor.log.Now()
	for _, w := range p.run.Destinations {
		out = append(out, core.OutcomeRecord{Zone: w.Zone, Cell: w.Cell, Age: max(now-time.Duration(w.FirstSentAt)*time.Millisecond, 0)})
	}
	return out
}

// Propose proposes that the undo goes to a group for which left remains of the window, and calls
// send with the outcome. A group that this run has proposed and not withdrawn needs no second
// entry. If an entry is agreed on only after this call has given up, it binds the undo to the
// group for its window, as it can't be told from the entry of an undo that was sent.
func (p *destinations) Propose(group core.OutcomeRecord, left time.Duration, send func(bool)) {
	p.mu.Lock()
	_, agreedBefore := p.entries[group]
	p.mu.Unlock()
	if agreedBefore {
		send(true)
		return
	}
	go func() { // ends at the job's deadline at the latest
		deadline := time.Now().Add(proposeTimeout)
		if p.deadline.Before(deadline) {
			deadline = p.deadline
		}
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		done, err := p.executor.log.Propose(ctx, ledger.Entry{Op: ledger.Flow, UID: p.run.ID, Flow: p.sendCommand(group, left)})
		agreed := err == nil && done.Refused == ""
		if agreed {
			p.mu.Lock()
			p.entries[group] = done.Index
			p.mu.Unlock()
		}
		send(agreed)
	}()
}

// sendCommand returns the command that the undo goes to a group for which left remains of the window.
func (p *destinations) sendCommand(group core.OutcomeRecord, left time.Duration) *statetable.Command {
	return &statetable.Command{
		Kind:         statetable.SendUndo,
		ID:           p.run.ID,
		N:            p.run.Step,
		FencingToken: p.run.FencingToken,
		Destination: flow.Destination{
			Zone:  group.Zone,
			Cell:  group.Cell,
			Until: (p.executor.log.Now() + left).Milliseconds(),
		},
	}
}

// Withdraw withdraws the entry for a group in which the undo certainly never ran. If the queue is
// full the entry stays, and the undo is bound to the group for its window.
func (p *destinations) Withdraw(group core.OutcomeRecord) {
	p.mu.Lock()
	entry := p.entries[group]
	delete(p.entries, group)
	p.mu.Unlock()
	if entry > 0 {
		update := statetable.Update{ID: p.run.ID, Step: p.run.Step, FencingToken: p.run.FencingToken, Entry: entry}
		p.executor.enqueue(pendingUpdate{kind: statetable.WithdrawUndos, Update: update})
	}
}
