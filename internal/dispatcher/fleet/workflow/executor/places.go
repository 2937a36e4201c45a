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

// places has agreed on where one undo goes before it is sent there. It is the job's: there are no
// more of them than undos under way.
type places struct {
	d   *Desk
	run assignment.Run
	by  time.Time // the job's own time

	mu   sync.Mutex
	went map[core.OutcomeRecord]uint64 // groups of this run, and by which entry
}

// Previous tells where the log has it that the undo may have run.
func (p *places) Previous() (out []core.OutcomeRecord) {
	now := p.d.log.Now()
	for _, w := range p.run.Went {
		out = append(out, core.OutcomeRecord{Zone: w.Zone, Cell: w.Cell, Age: max(now-time.Duration(w.At)*time.Millisecond, 0)})
	}
	return out
}

// Propose has the log say that it goes to a group. A group that this run has gone to, and that was
// not taken back, needs no second word. An entry that comes to be after it was given up binds the undo
// for its window, as nobody can tell it from one that was sent by.
func (p *places) Propose(group core.OutcomeRecord, left time.Duration, send func(bool)) {
	p.mu.Lock()
	_, there := p.went[group]
	p.mu.Unlock()
	if there {
		send(true)
		return
	}
	go func() { // it ends with the job's time at the latest
		by := time.Now().Add(writeTime)
		if p.by.Before(by) {
			by = p.by
		}
		ctx, cancel := context.WithDeadline(context.Background(), by)
		defer cancel()
		done, err := p.d.log.Propose(ctx, ledger.Entry{Op: ledger.Flow, UID: p.run.ID, Flow: &statetable.Command{Kind: statetable.Goes, ID: p.run.ID, N: p.run.N, Fence: p.run.Fence,
			Place: flow.Place{Zone: group.Zone, Cell: group.Cell, Until: (p.d.log.Now() + left).Milliseconds()}}})
		agreed := err == nil && done.Refused == ""
		if agreed {
			p.mu.Lock()
			p.went[group] = done.Index
			p.mu.Unlock()
		}
		send(agreed)
	}()
}

// Withdraw takes the word back. One that finds no room stays: the undo is bound to the group for its
// window.
func (p *places) Withdraw(group core.OutcomeRecord) {
	p.mu.Lock()
	entry := p.went[group]
	delete(p.went, group)
	p.mu.Unlock()
	if entry > 0 {
		p.d.put(word{kind: statetable.Stays, Word: statetable.Word{ID: p.run.ID, N: p.run.N, Fence: p.run.Fence, Entry: entry}})
	}
}
