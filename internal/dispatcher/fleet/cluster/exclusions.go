package cluster

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/quorum"
)

// applyExclusion applies a committed exclusion or inclusion that the local log delivers.
func (c *Cluster) applyExclusion(d ledger.Done) {
	c.logIndex = max(c.logIndex, d.Index)
	if c.appliedAhead[d.UID] > d.Index {
		return // a later entry was already applied
	}
	// Indexes that the log has passed are obsolete, also those of entries without effect, which
	// are not delivered here. The map therefore holds only entries ahead of the log's last one.
	maps.DeleteFunc(c.appliedAhead, func(_ string, index uint64) bool { return index <= c.logIndex })
	c.setExclusion(d, d.Index)
}

// applyAhead applies the committed entry of an order to this member before the local log delivers
// it; applied is the last index applied here. The leader may stall or be partitioned after it has
// acknowledged the order, and an excluded runner must not receive a job meanwhile.
func (c *Cluster) applyAhead(d ledger.Done, applied uint64) {
	if d.Index <= max(c.logIndex, c.appliedAhead[d.UID]) {
		return
	}
	c.appliedAhead[d.UID] = d.Index
	c.setExclusion(d, applied) // a watermark beyond the local log would make the disk look outdated
}

// setExclusion excludes or includes a runner at the dispatcher, and has the exclusions stored with
// the log's index.
func (c *Cluster) setExclusion(d ledger.Done, index uint64) {
	out := d.Op == ledger.Exclude
	if c.excluded[d.UID] == out {
		return
	}
	if out {
		c.excluded[d.UID] = true
	} else {
		delete(c.excluded, d.UID)
	}
	c.dispatcher.Exclude(d.UID, out, time.UnixMilli(d.At))
	c.storeExclusions(index)
}

// reconcileExclusions includes the runners that were excluded at the start and are not excluded by
// the log, once all of the log is known here: an operator may have included them while this member
// was down.
func (c *Cluster) reconcileExclusions() {
	if c.reconciled {
		return
	}
	status := c.quorum.Status()
	state := c.quorum.State()
	c.queryLeaderLast()
	if !caughtUp(&status, state.Log, c.leaderLast) {
		return
	}
	c.reconciled = true
	newLog := c.startWatermark != nil && c.startWatermark.Log != "" && c.startWatermark.Log != state.Log
	for _, d := range ledger.Differences(&ledger.State{Excluded: c.exclusions()}, &state) {
		if c.appliedAhead[d.UID] > status.Applied {
			continue
		}
		if newLog && d.Op == ledger.Include {
			c.log.WithFields(logrus.Fields{"target": d.UID, "lost": c.startWatermark.Log, "log": state.Log}).Warn("runner was excluded by the lost log and is not by the current one; including it again")
		}
		c.applyExclusion(d)
	}
	c.storeExclusions(status.Applied)
}

// caughtUp reports whether all entries that were committed before the leader was queried are
// applied here; leaderLast is the last index of the leader's log at that time, 0 if unknown. A
// member that starts behind the others must not include a runner whose exclusion was acknowledged
// to an operator. A log without a name may still have to receive its initial entries.
func caughtUp(status *quorum.Status, logName string, leaderLast uint64) bool {
	return status.Leader != "" && status.Contact >= 0 && leaderLast > 0 && status.Applied >= max(status.Last, leaderLast) && logName != ""
}

// queryLeaderLast asks the leader for the last index of its log, and stores it in leaderLast before
// the next call.
func (c *Cluster) queryLeaderLast() {
	_, addr := c.quorum.Leader()
	if addr == "" {
		return
	}
	c.goroutines.Add(1)
	go func() { // bounded by expireInterval, the interval of the calls: one query at a time
		defer c.goroutines.Done()
		ctx, cancel := context.WithDeadline(c.ctx, time.Now().Add(expireInterval))
		defer cancel()
		last := c.quorum.Last()
		if !c.quorum.IsLeader() {
			var err error
			if last, err = c.lastIndexOf(ctx, addr); err != nil {
				return
			}
		}
		c.mailbox.Put(func(c *Cluster) { c.leaderLast = last })
	}()
}

// exclusions returns the runners excluded here, as in ledger.State.Excluded but without details.
func (c *Cluster) exclusions() map[string]ledger.Done {
	out := map[string]ledger.Done{}
	for uid := range c.excluded {
		out[uid] = ledger.Done{}
	}
	return out
}

// Propose has the current leader, which may be any member, write an entry; it waits for a leader
// until ctx ends. After an error that wraps ledger.ErrUnclear the entry may still be committed;
// after any other error it was not written and will not be.
func (c *Cluster) Propose(ctx context.Context, e ledger.Entry) (ledger.Done, error) {
	if e.ID == "" {
		e.ID = c.newEntryID()
	}
	if c.nameTaken.Load() {
		return ledger.Done{}, errNameTaken
	}
	if err := c.quorum.LostError(); err != nil {
		return ledger.Done{}, err
	}
	e.By, e.At = c.cfg.Name, c.now()
	var unclear error // error of the first attempt after which the entry may be committed
	err := error(quorum.ErrNoLeader)
	for ctx.Err() == nil {
		var d ledger.Done
		d, err = c.proposeOnce(ctx, e)
		if err == nil {
			return d, nil
		}
		if unclear == nil && errors.Is(err, ledger.ErrUnclear) {
			unclear = err
		}
		if !errors.Is(err, quorum.ErrNoLeader) && !errors.Is(err, quorum.ErrForming) {
			break
		}
		select { // a leader may be elected before the deadline
		case <-ctx.Done():
		case <-time.After(proposeInterval):
		}
	}
	return ledger.Done{}, cmp.Or(unclear, err)
}

// proposeInterval is the interval between attempts to propose an entry.
const proposeInterval = 20 * time.Millisecond

// proposeOnce proposes an entry locally if this member is the leader, otherwise at the leader.
func (c *Cluster) proposeOnce(ctx context.Context, e ledger.Entry) (ledger.Done, error) {
	if !c.quorum.IsLeader() {
		return c.forward(ctx, e)
	}
	return c.quorum.Propose(ctx, e)
}

// newEntryID returns a unique ID for an entry: the member's name, its start and a random number.
func (c *Cluster) newEntryID() string {
	return fmt.Sprintf("%s-%x-%x", c.cfg.Name, c.startedAt.UnixMilli(), rand.Uint64())
}

// orderIDPrefix is the prefix of the IDs of entries that write an order; the order's ID follows.
const orderIDPrefix = "order/"

// Order is an operator's request to exclude a runner or to include it again.
type Order struct {
	Runner string // UID of the runner
	Out    bool   // true to exclude the runner, false to include it again
	Why    string // the operator's reason
	// ID makes the order idempotent: an order that is repeated with its ID, at any member, takes
	// effect once. If it is empty, a unique one is chosen.
	ID string
}

// Exclude excludes a runner at all members, or includes it again, and calls done with the result at
// about the deadline at the latest. After an error that wraps ledger.ErrUnclear the order may be in
// force; it can be repeated with its ID.
func (c *Cluster) Exclude(order Order, deadline time.Time, done func(error)) {
	if order.ID == "" {
		order.ID = c.newEntryID()
	}
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		done(c.execute(ctx, order))
	}()
}

// The errors of orders that are committed and could not be acknowledged before the deadline.
var (
	errNotYetInForce = fmt.Errorf("%w: it is agreed on, and not known to be in force here yet", ledger.ErrUnclear)
	errNotYetStored  = fmt.Errorf("%w: it is agreed on and in force here, and not kept on this member's disk yet", ledger.ErrUnclear)
)

// execute executes an order. It returns nil once the order is committed, applied here and written
// to this member's disk, from which the next start restores it. A failed write counts as done,
// since the log has the order too.
func (c *Cluster) execute(ctx context.Context, order Order) error {
	op := ledger.Include
	if order.Out {
		op = ledger.Exclude
	}
	d, err := c.Propose(ctx, ledger.Entry{ID: orderIDPrefix + order.ID, Op: op, UID: order.Runner, Why: order.Why})
	if err != nil {
		return err
	}
	if d.Refused != "" {
		return errors.New(d.Refused)
	}
	stored, ok := query(ctx, c, func(c *Cluster) <-chan struct{} {
		c.applyAhead(d, c.quorum.State().Index)
		return c.exclusionFiles.stored()
	})
	if !ok {
		return errNotYetInForce
	}
	select {
	case <-stored:
		return nil
	case <-ctx.Done():
		return errNotYetStored
	}
}

// IsExcluded reports whether the log excludes a runner.
func (c *Cluster) IsExcluded(uid string) bool {
	s := c.quorum.State()
	_, out := s.Excluded[uid]
	return out
}
