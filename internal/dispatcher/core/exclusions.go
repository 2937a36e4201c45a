package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
)

// Exclusion is an operator's decision on a worker: to exclude it from new work, regardless of its
// state in discovery's list, or to reinstate it. Processes of one dispatcher and members of a
// cluster exchange exclusions as JSON.
type Exclusion struct {
	UID string        `json:"uid"`
	Out bool          `json:"out"` // true to exclude, false to reinstate
	At  time.Duration `json:"at"`  // time of the decision since 1970
}

// Exclude excludes a worker, or reinstates it if out is false, and calls done with whether the
// worker is listed or excluded. Once the deadline has passed it does nothing and does not call
// done, because its caller has reported the failure by then.
func (c *Core) Exclude(uid string, out bool, deadline time.Time, done func(known bool)) {
	c.mailbox.Put(func(c *Core) {
		if time.Now().Before(deadline) {
			done(c.exclude(uid, out))
		}
	})
}

// IsKnown calls done with whether a worker is listed or excluded.
func (c *Core) IsKnown(uid string, done func(bool)) {
	c.mailbox.Put(func(c *Core) { done(c.workers[uid] != nil || c.excluded[uid]) })
}

// SetExclusionHook sets the function that receives the decisions made through Exclude. It must be
// called before Run, and the hook must not block.
func (c *Core) SetExclusionHook(onExclusion func(Exclusion)) { c.onExclusion = onExclusion }

// ApplyExclusion applies a decision made at another process or member. It does not call the hook of
// SetExclusionHook.
func (c *Core) ApplyExclusion(e Exclusion) { c.mailbox.Put(func(c *Core) { c.applyExclusion(e) }) }

// exclude excludes or reinstates a worker, and reports whether the worker is listed or excluded.
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

// applyExclusion applies an operator's decision. A reinstated worker is treated as warming up,
// because operators restart workers while these are excluded, and discovery may not report the time
// of the restart.
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
