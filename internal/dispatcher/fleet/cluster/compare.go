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
	wait := soon
	for {
		t := time.NewTimer(jitter(wait))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-c.hurry:
			t.Stop()
		case <-t.C:
		}
		wait = compareEvery
		others := slices.DeleteFunc(c.list.Alive(), func(i members.Info) bool { return i.Name == c.cfg.Name || i.Goes })
		if len(others) == 0 {
			continue
		}
		informed := c.informed.Load()
		with, knows := c.donor(others, informed)
		more, err := c.compareWith(ctx, with)
		if err != nil {
			c.box.Put(func(c *Cluster) { c.told.Unreached++ })
			c.log.WithError(err).WithField("member", with.Name).Debug("copies were not compared")
		}
		if !informed && knows && err == nil && !more {
			c.informed.Store(true)
		}
		if more || !informed && err != nil {
			wait = soon
		}
	}
}

// donor returns the member whose copies are compared next. Until this one is informed that is
// one that is back itself, the one that has been there longest first, and only where none is
// anybody who was there before. Knows is set where all that it has is all that there is.
func (c *Cluster) donor(others []members.Info, informed bool) (with members.Info, knows bool) {
	with = others[rand.IntN(len(others))]
	if informed {
		return with, true
	}
	pool := slices.DeleteFunc(slices.Clone(others), func(i members.Info) bool { return !recalls(i) })
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
