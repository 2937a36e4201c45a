package executor

import (
	"context"
	"time"

	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/workflow/assignment"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

// proposePlans proposes the expirations and claims of plans until the context is cancelled.
func (e *Executor) proposePlans(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-e.plans:
			e.proposeForAll(ctx, statetable.Expire, p.Expire)
			e.proposeForAll(ctx, statetable.Claim, p.Claim)
		}
	}
}

// proposeForAll proposes one command about several workflows and records its log index in
// lastProposal.
func (e *Executor) proposeForAll(ctx context.Context, kind statetable.Kind, ids []string) {
	if len(ids) == 0 {
		return
	}
	c := &statetable.Command{Kind: kind}
	if kind == statetable.Claim {
		c.By, c.Until = e.cfg.Name, e.log.Now().Milliseconds()+assignment.LeaseMillis
	}
	for _, id := range ids {
		c.Updates = append(c.Updates, statetable.Update{ID: id})
	}
	if index := e.propose(ctx, c); index > 0 {
		e.lastProposal.Store(&proposal{index, time.Now()})
	}
}

// propose proposes a command and returns the index of its log entry. It returns 0 if the proposal
// failed; the entry may have been committed all the same.
func (e *Executor) propose(ctx context.Context, c *statetable.Command) (index uint64) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(proposeTimeout))
	defer cancel()
	done, err := e.log.Propose(ctx, ledger.Entry{Op: ledger.Flow, Flow: c})
	if err != nil {
		e.logger.WithError(err).WithField("kind", c.Kind).Debug("proposing a workflow command failed")
		return 0
	}
	return done.Index
}

// proposeUpdates proposes pending updates in batches, with one entry for each kind of command,
// until the context is cancelled. It tells decide when the outcome of an undo has been proposed.
func (e *Executor) proposeUpdates(ctx context.Context) {
	for {
		var first pendingUpdate
		select {
		case <-ctx.Done():
			return
		case first = <-e.updates:
		}
		byKind := map[statetable.Kind][]pendingUpdate{first.kind: {first}}
		wait := time.NewTimer(batchDelay)
	gather:
		for n := 1; n < maxBatch; n++ {
			select {
			case update := <-e.updates:
				byKind[update.kind] = append(byKind[update.kind], update)
			case <-wait.C:
				break gather
			}
		}
		wait.Stop()
		for kind, updates := range byKind {
			c := &statetable.Command{Kind: kind}
			for _, update := range updates {
				c.Updates = append(c.Updates, update.Update)
			}
			committed := e.propose(ctx, c) > 0
			if kind != statetable.EndUndos {
				continue
			}
			for _, update := range updates {
				end := undoEnd{id: update.ID, attempts: update.attempts}
				if committed { // but perhaps not applied by this member yet
					end.committed = &update.Update
				}
				e.undoEnds <- end // does not block, as it has room for all running undos
			}
		}
	}
}

// enqueue queues an update to be proposed. It does not block: if the queue is full, it drops the
// update, counts it, and returns false.
func (e *Executor) enqueue(update pendingUpdate) bool {
	select {
	case e.updates <- update:
		return true
	default:
		if n := e.dropped.Add(1); n&(n-1) == 0 { // log only the 1st, 2nd, 4th, 8th, ... drop
			e.logger.WithField("count", n).Warn("queue of workflow updates is full; update dropped")
		}
		return false
	}
}
