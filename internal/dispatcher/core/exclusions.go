package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
)

// Exclude leaves a runner out until it is put back with out false. Done is told whether
// anybody has the runner. Guards a caller who was told no, as the core had no time:
// from the deadline on nothing is done and done is not called.
func (c *Core) Exclude(uid string, out bool, by time.Time, done func(known bool)) {
	c.mailbox.Put(func(c *Core) {
		if time.Now().Before(by) {
			done(c.exclude(uid, out))
		}
	})
}

// IsKnown tells whether anybody has a runner, or operators have left it out.
func (c *Core) IsKnown(uid string, known func(bool)) {
	c.mailbox.Put(func(c *Core) { known(c.workers[uid] != nil || c.excluded[uid]) })
}

// Exclusion is what operators say of a runner, as one process of a dispatcher tells it
// to the other.
type Exclusion struct {
	UID string        `json:"uid"`
	Out bool          `json:"out"`
	At  time.Duration `json:"at"` // since 1970
}

// SetExclusionHook names who is told of what operators say to this process; it is called before
// Run. It must not block.
func (c *Core) SetExclusionHook(inform func(Exclusion)) { c.onExclusion = inform }

// ApplyExclusion takes over what operators have said to the other process.
func (c *Core) ApplyExclusion(e Exclusion) { c.mailbox.Put(func(c *Core) { c.applyExclusion(e) }) }

// exclude leaves a runner out, or puts it back, and reports whether anybody has it.
// Put back it counts as cold: operators restart runners in that time, and discovery
// may not tell when.
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

// applyExclusion carries out what operators have said of a runner.
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
