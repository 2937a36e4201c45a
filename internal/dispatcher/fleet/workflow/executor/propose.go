package executor

import (
	"context"
	"time"

	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/workflow/assignment"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

// proposePlans proposes the claims and expirations of plans.
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

// proposeForAll proposes one command about several workflows and remembers the entry's index.
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

// propose returns the index of a command's entry, 0 if it is not known whether it was agreed on.
func (e *Executor) propose(ctx context.Context, c *statetable.Command) (index uint64) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(proposeTimeout))
	defer cancel()
	done, err := e.log.Propose(ctx, ledger.Entry{Op: ledger.Flow, Flow: c})
	if err != nil {
		e.logger.WithError(err).WithField("kind", c.Kind).Debug("a word on workflows was not written")
		return 0
	}
	return done.Index
}

// proposeUpdates proposes the outcomes of steps and undos in batches, one entry for each kind.
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
			agreed := e.propose(ctx, c) > 0
			if kind != statetable.EndUndos {
				continue
			}
			for _, update := range updates {
				end := undoEnd{id: update.ID, attempts: update.attempts}
				if agreed { // it may not be applied here yet
					end.agreed = &update.Update
				}
				e.undoEnds <- end // never blocks: it has room for all running undos
			}
		}
	}
}

// enqueue queues an update and reports whether there was room. It does not block.
func (e *Executor) enqueue(update pendingUpdate) bool {
	select {
	case e.updates <- update:
		return true
	default:
		if n := e.dropped.Add(1); n&(n-1) == 0 { // log only the 1st, 2nd, 4th, ...
			e.logger.WithField("count", n).Warn("too much waits to be written about workflows; a word is lost")
		}
		return false
	}
}
