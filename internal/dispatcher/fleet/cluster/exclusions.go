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

// applyExclusion applies a committed exclusion or inclusion that the log brings.
func (c *Cluster) applyExclusion(d ledger.Done) {
	c.logIndex = max(c.logIndex, d.Index)
	if c.agreedAhead[d.UID] > d.Index {
		return // a later entry is already in force
	}
	// Entries that the log has passed are obsolete, also those without effect, which are not
	// reported here. So the map holds only entries ahead of the log's last one.
	maps.DeleteFunc(c.agreedAhead, func(_ string, index uint64) bool { return index <= c.logIndex })
	c.carryOut(d, d.Index)
}

// applyAhead applies a committed entry on which this member's operator was just answered, before
// the log has brought it here; applied is the index that the log has reached here. The leader may
// stall or be partitioned in between, and the runner must receive no job meanwhile.
func (c *Cluster) applyAhead(d ledger.Done, applied uint64) {
	if d.Index <= max(c.logIndex, c.agreedAhead[d.UID]) {
		return
	}
	c.agreedAhead[d.UID] = d.Index
	c.carryOut(d, applied) // a watermark past the own log would make the disk look outdated
}

// carryOut changes the exclusion at the dispatcher, and has it stored with the log's index.
func (c *Cluster) carryOut(d ledger.Done, index uint64) {
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

// reconcileExclusions includes the runners that were excluded at the start and are not any more,
// once all of the log is known here: an operator may have included them while this member was
// away.
func (c *Cluster) reconcileExclusions() {
	if c.reconciled {
		return
	}
	s := c.quorum.Status()
	state := c.quorum.State()
	c.queryLeaderLast()
	if !caughtUp(&s, state.Log, c.leaderLast) {
		return
	}
	c.reconciled = true
	other := c.startWatermark != nil && c.startWatermark.Log != "" && c.startWatermark.Log != state.Log
	for _, d := range ledger.Differences(&ledger.State{Excluded: c.exclusions()}, &state) {
		if c.agreedAhead[d.UID] > s.Applied {
			continue
		}
		if other && d.Op == ledger.Include {
			c.log.WithFields(logrus.Fields{"target": d.UID, "lost": c.startWatermark.Log, "log": state.Log}).Warn("left out by the log that is lost, and not by the one in force: it is put back")
		}
		c.applyExclusion(d)
	}
	c.storeExclusions(s.Applied)
}

// caughtUp reports whether all entries committed before the leader was queried are applied here;
// leaderLast is the last index of the leader's log then, 0 if unknown. A member that starts behind
// the others must not include a runner that its operators were told is excluded. A log without a
// name may still have to receive its initial entries.
func caughtUp(s *quorum.Status, log string, leaderLast uint64) bool {
	return s.Leader != "" && s.Contact >= 0 && leaderLast > 0 && s.Applied >= max(s.Last, leaderLast) && log != ""
}

// queryLeaderLast asks the leader for the last index of its log. The result arrives before the
// next call.
func (c *Cluster) queryLeaderLast() {
	_, addr := c.quorum.Leader()
	if addr == "" {
		return
	}
	c.goroutines.Add(1)
	go func() { // one at a time: it ends before the next call
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

// exclusions returns the runners excluded here in the form of the log's state.
func (c *Cluster) exclusions() map[string]ledger.Done {
	out := map[string]ledger.Done{}
	for uid := range c.excluded {
		out[uid] = ledger.Done{}
	}
	return out
}

// Propose writes an entry through whichever member leads, waiting for a leader until ctx ends. After
// an error that wraps ledger.ErrUnclear the entry may still be committed; after any other nothing was
// written, nor will be.
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
	var unclear error // of the first attempt after which the entry may be committed
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
		select { // a leader may be elected in time
		case <-ctx.Done():
		case <-time.After(proposeInterval):
		}
	}
	return ledger.Done{}, cmp.Or(unclear, err)
}

// proposeInterval is the interval between attempts to have an entry written.
const proposeInterval = 20 * time.Millisecond

// proposeOnce proposes an entry here if this member leads, else at the leader.
func (c *Cluster) proposeOnce(ctx context.Context, e ledger.Entry) (ledger.Done, error) {
	if !c.quorum.IsLeader() {
		return c.forward(ctx, e)
	}
	return c.quorum.Propose(ctx, e)
}

// newEntryID draws an ID that no other entry has.
func (c *Cluster) newEntryID() string {
	return fmt.Sprintf("%s-%x-%x", c.cfg.Name, c.startedAt.UnixMilli(), rand.Uint64())
}

// orderIDPrefix begins the IDs of entries whose rest an operator has chosen.
const orderIDPrefix = "order/"

// Order is what an operator asks for.
type Order struct {
	Runner string // its UID
	Out    bool   // exclude it; otherwise include it again
	Why    string
	// ID names the order: sent again under its ID it has its effect once, at whichever member.
	// One is drawn where it is empty.
	ID string
}

// Exclude excludes a runner at all members, or includes it again, and calls done with the result at
// about the deadline at the latest. After an error that wraps ledger.ErrUnclear the order
// may be in force; it can be sent again under its ID.
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

// The reasons for which a committed order is not acknowledged.
var (
	errNotYetInForce = fmt.Errorf("%w: it is agreed on, and not known to be in force here yet", ledger.ErrUnclear)
	errNotYetStored  = fmt.Errorf("%w: it is agreed on and in force here, and not kept on this member's disk yet", ledger.ErrUnclear)
)

// execute executes an order: it is committed, in force here, and kept here so that it is in force
// from the next start on.
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
