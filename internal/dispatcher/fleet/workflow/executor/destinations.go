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

// destinations commits each group of runners to the log before one undo is sent there, so that no
// other member can send the undo to a second group while it may run in the first. It implements
// core.Placements for the job of the undo.
type destinations struct {
	executor *Executor
	run      assignment.Run
	deadline time.Time // of the undo's job

	mu      sync.Mutex
	entries map[core.OutcomeRecord]uint64 // log index of this run's entry for each group
}

// Previous returns the groups in which the undo may have run according to the log, as of the scan
// that started this run.
func (d *destinations) Previous() (out []core.OutcomeRecord) {
	now := d.executor.log.Now()
	for _, previous := range d.run.Destinations {
		out = append(out, core.OutcomeRecord{Zone: previous.Zone, Cell: previous.Cell, Age: max(now-time.Duration(previous.FirstSentAt)*time.Millisecond, 0)})
	}
	return out
}

// Propose proposes that the undo is sent to a group, and calls decided with true if the entry was
// committed and not refused. window is the time until the group's deduplication window ends. A
// group that this run has proposed and not withdrawn needs no second entry. If an entry is
// committed only after its proposal has timed out, it binds the undo to the group until the window
// ends, as it can't be told from the entry of an undo that was sent.
func (d *destinations) Propose(group core.OutcomeRecord, window time.Duration, decided func(bool)) {
	d.mu.Lock()
	_, acceptedBefore := d.entries[group]
	d.mu.Unlock()
	if acceptedBefore {
		decided(true)
		return
	}
	go func() { // ends at the deadline of the job or earlier
		deadline := time.Now().Add(proposeTimeout)
		if d.deadline.Before(deadline) {
			deadline = d.deadline
		}
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		done, err := d.executor.log.Propose(ctx, ledger.Entry{Op: ledger.Flow, UID: d.run.ID, Flow: d.sendCommand(group, window)})
		accepted := err == nil && done.Refused == ""
		if accepted {
			d.mu.Lock()
			d.entries[group] = done.Index
			d.mu.Unlock()
		}
		decided(accepted)
	}()
}

// sendCommand returns the command that records that the undo is sent to a group whose deduplication
// window ends after the given time.
func (d *destinations) sendCommand(group core.OutcomeRecord, window time.Duration) *statetable.Command {
	return &statetable.Command{
		Kind:         statetable.SendUndo,
		ID:           d.run.ID,
		N:            d.run.Step,
		FencingToken: d.run.FencingToken,
		Destination: flow.Destination{
			Zone:  group.Zone,
			Cell:  group.Cell,
			Until: (d.executor.log.Now() + window).Milliseconds(),
		},
	}
}

// Withdraw queues the withdrawal of this run's entry for a group in which the undo certainly never
// ran. If the queue is full, the entry stays and binds the undo to the group until the window ends.
func (d *destinations) Withdraw(group core.OutcomeRecord) {
	d.mu.Lock()
	entry := d.entries[group]
	delete(d.entries, group)
	d.mu.Unlock()
	if entry > 0 {
		update := statetable.Update{ID: d.run.ID, Step: d.run.Step, FencingToken: d.run.FencingToken, Entry: entry}
		d.executor.enqueue(pendingUpdate{kind: statetable.WithdrawUndos, Update: update})
	}
}
