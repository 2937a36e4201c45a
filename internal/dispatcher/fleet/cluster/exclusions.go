package cluster

import (
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

// out carries out what was agreed on a runner, as it comes by the log.
func (c *Cluster) applyExclusion(d ledger.Done) {
	c.logIndex = max(c.logIndex, d.Index)
	if c.agreedAhead[d.UID] > d.Index {
		return // a later word is in force already
	}
	// What the log has passed binds nothing more, also a word that changed nothing, which does not
	// come here: so these are no more than were told since the log's last word.
	maps.DeleteFunc(c.agreedAhead, func(_ string, index uint64) bool { return index <= c.logIndex })
	c.carryOut(d, d.Index)
}

// sooner carries out at once what an operator was told here to be agreed on. Guards rule 3: the
// leader may stand still, or be cut off, before the log has brought it here, which goes so far.
func (c *Cluster) applyAhead(d ledger.Done, applied uint64) {
	if d.Index <= max(c.logIndex, c.agreedAhead[d.UID]) {
		return
	}
	c.agreedAhead[d.UID] = d.Index
	c.carryOut(d, applied) // a mark past its own log would have its disk set aside
}

// carry has the dispatcher act, and keeps that the log had gone so far.
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
	c.storeExclusions(index)
	c.dispatcher.Exclude(d.UID, out, time.UnixMilli(d.At))
}

// settle puts back, once the log is known here as far as it goes, what was left out at the
// start and is not any more: that may have been agreed while the member was away.
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

// caughtUp tells whether all that was agreed on before the leader was asked is known here; reaches is how
// far its log went, 0 for unknown. Guards rule 3 at a member that starts again behind the others: what
// its operators were told, and its own log has not yet, would be put back until that comes. And before
// the log has its name it may have to say yet what was kept of another.
func caughtUp(s *quorum.Status, log string, reaches uint64) bool {
	return s.Leader != "" && s.Contact >= 0 && reaches > 0 && s.Applied >= max(s.Last, reaches) && log != ""
}

// askHowFar has the leader asked how far its log goes; what it says comes before the next look.
func (c *Cluster) queryLeaderLast() {
	_, addr := c.quorum.Leader()
	if addr == "" {
		return
	}
	c.goroutines.Add(1)
	go func() { // one at a time, as it ends before the next look
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

// left is what is left out here, as the log would have it.
func (c *Cluster) exclusions() map[string]ledger.Done {
	out := map[string]ledger.Done{}
	for uid := range c.excluded {
		out[uid] = ledger.Done{}
	}
	return out
}

// Propose has an entry written, by whoever leads. Its error says why it was not, or that
// nobody knows; then the same entry can be proposed again.
func (c *Cluster) Propose(ctx context.Context, e ledger.Entry) (ledger.Done, error) {
	if e.ID == "" {
		e.ID = fmt.Sprintf("%s-%x-%x", c.cfg.Name, c.startedAt.UnixMilli(), rand.Uint64())
	}
	if c.nameTaken.Load() {
		return ledger.Done{}, errNameTaken
	}
	if err := c.quorum.LostError(); err != nil {
		return ledger.Done{}, err
	}
	e.By, e.At = c.cfg.Name, c.now()
	var err error
	for ctx.Err() == nil {
		var d ledger.Done
		if c.quorum.IsLeader() {
			d, err = c.quorum.Propose(ctx, e)
		} else {
			d, err = c.forward(ctx, e)
		}
		if err == nil || !errors.Is(err, quorum.ErrNoLeader) && !errors.Is(err, quorum.ErrForming) {
			return d, err
		}
		select { // a leader may be chosen in time
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
	return ledger.Done{}, err
}

// errLate is told where nobody knows whether it is in force here yet.
var errNotYetInForce = errors.New("it is agreed on, and not known to be in force here yet")

// Exclude leaves a runner out at all members, or puts it back. Done is told before the
// deadline or a little after it.
func (c *Cluster) Exclude(uid string, out bool, why string, by time.Time, done func(error)) {
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), by)
		defer cancel()
		op := ledger.Include
		if out {
			op = ledger.Exclude
		}
		d, err := c.Propose(ctx, ledger.Entry{Op: op, UID: uid, Why: why})
		if err == nil {
			if _, ok := query(ctx, c, func(c *Cluster) bool { c.applyAhead(d, c.quorum.State().Index); return true }); !ok {
				err = errNotYetInForce
			}
		}
		done(err)
	}()
}

// Out tells whether the log leaves a runner out.
func (c *Cluster) IsExcluded(uid string) bool {
	s := c.quorum.State()
	_, out := s.Excluded[uid]
	return out
}
