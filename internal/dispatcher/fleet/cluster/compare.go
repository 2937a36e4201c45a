package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/recovery"
)

// compare has copies compared with a random member's until the context ends.
func (c *Cluster) compare(ctx context.Context) {
	wait := hurriedInterval
	for {
		t := time.NewTimer(jitter(wait))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-c.compareNow:
			t.Stop()
		case <-t.C:
		}
		wait = compareInterval
		others := slices.DeleteFunc(c.members.Alive(), func(i members.Info) bool { return i.Name == c.cfg.Name || i.Leaving })
		if len(others) == 0 {
			continue
		}
		informed := c.informed.Load()
		with, complete := c.donor(others, informed)
		more, err := c.compareWith(ctx, with)
		if err != nil {
			c.mailbox.Put(func(c *Cluster) { c.counts.Failed++ })
			c.log.WithError(err).WithField("member", with.Name).Debug("copies were not compared")
		}
		if !informed && complete && err == nil && !more {
			c.informed.Store(true)
		}
		if more || !informed && err != nil {
			wait = hurriedInterval
		}
	}
}

// donor returns the member whose copies are compared next. Until this one is informed that is
// one that is back itself, the one that has been there longest first, and only where none is
// anybody who was there before. Knows is set where all that it has is all that there is.
func (c *Cluster) donor(others []members.Info, informed bool) (with members.Info, complete bool) {
	with = others[rand.IntN(len(others))]
	if informed {
		return with, true
	}
	pool := slices.DeleteFunc(slices.Clone(others), func(i members.Info) bool { return !outcomesComplete(i) })
	mine := ^uint64(0) // anybody who is back knows more than one that is not
	if len(pool) == 0 {
		pool, mine = others, c.epoch()
	}
	epochs := make([]uint64, len(pool))
	for i, o := range pool {
		epochs[i] = o.Epoch
	}
	if at := recovery.Donor(mine, epochs); at >= 0 {
		return pool[at], true
	}
	return with, true // all came back together
}
