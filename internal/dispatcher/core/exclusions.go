package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
)

// Exclusion is what operators decide on a worker: that it gets no work, whatever
// discovery lists, or that it gets work again. Processes of one dispatcher and
// members of a cluster exchange it.
type Exclusion struct {
	UID string        `json:"uid"`
	Out bool          `json:"out"`
	At  time.Duration `json:"at"` // since 1970
}

// Exclude excludes a worker, or reinstates it with out false, and passes to done
// whether anybody has the worker. From the deadline on it does nothing and does
// not call done, because its caller has reported the failure by then.
func (c *Core) Exclude(uid string, out bool, deadline time.Time, done func(known bool)) {
	c.mailbox.Put(func(c *Core) {
		if time.Now().Before(deadline) {
			done(c.exclude(uid, out))
		}
	})
}

// IsKnown passes to known whether a worker is listed or excluded.
func (c *Core) IsKnown(uid string, known func(bool)) {
	c.mailbox.Put(func(c *Core) { known(c.workers[uid] != nil || c.excluded[uid]) })
}

// SetExclusionHook sets who receives what operators decide at this process. It
// must be called before Run, and the hook must not block.
func (c *Core) SetExclusionHook(onExclusion func(Exclusion)) { c.onExclusion = onExclusion }

// ApplyExclusion applies what operators decided elsewhere. The hook of
// SetExclusionHook is not called.
func (c *Core) ApplyExclusion(e Exclusion) { c.mailbox.Put(func(c *Core) { c.applyExclusion(e) }) }

// exclude excludes or reinstates a worker, and reports whether anybody has it.
func (c *Core) exclude(uid string, out bool) bool {
	w := c.workers[uid]
	if w == nil && !c.excluded[uid] {
		return false
	}
	if c.excluded[uid] == out {
		return true
	}
	e := Exclusion{UID: uid, Out: out, At: c.now}
	c.applyExclusion(e)
	c.onExclusion(e)
	return true
}

// applyExclusion applies what operators have decided on a worker. A reinstated
// worker counts as warming: operators restart workers that are excluded, and
// discovery may not say when.
func (c *Core) applyExclusion(e Exclusion) {
	if c.excluded[e.UID] == e.Out {
		return
	}
	c.log.WithFields(logrus.Fields{"target": e.UID, "out": e.Out}).Info("operators have moved a runner")
	if e.Out {
		c.excluded[e.UID] = true
		delete(c.reinstated, e.UID)
	} else {
		delete(c.excluded, e.UID)
		c.reinstated[e.UID] = min(e.At, c.now)
		c.addTimer(&timerEntry{at: c.reinstated[e.UID] + c.cfg.Rules.WarmUp, reinstatedUID: e.UID})
	}
	if w := c.workers[e.UID]; w != nil {
		c.addEvent(decision.Event{Type: decision.MembersChanged, Members: []decision.Member{c.effectiveMember(w)}})
	}
}
