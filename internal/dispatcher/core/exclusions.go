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
	c.box.Put(func(c *Core) {
		if time.Now().Before(by) {
			done(c.exclude(uid, out))
		}
	})
}

// Lists tells whether anybody has a runner, or operators have left it out.
func (c *Core) Lists(uid string, known func(bool)) {
	c.box.Put(func(c *Core) { known(c.workers[uid] != nil || c.excluded[uid]) })
}

// Exclusion is what operators say of a runner, as one process of a dispatcher tells it
// to the other.
type Exclusion struct {
	UID string        `json:"uid"`
	Out bool          `json:"out"`
	At  time.Duration `json:"at"` // since 1970
}

// Inform names who is told of what operators say to this process; it is called before
// Run. It must not block.
func (c *Core) Inform(inform func(Exclusion)) { c.inform = inform }

// Heed takes over what operators have said to the other process.
func (c *Core) Heed(e Exclusion) { c.box.Put(func(c *Core) { c.move(e) }) }

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
	c.move(e)
	c.inform(e)
	return true
}

// move carries out what operators have said of a runner.
func (c *Core) move(e Exclusion) {
	if c.excluded[e.UID] == e.Out {
		return
	}
	c.log.WithFields(logrus.Fields{"target": e.UID, "out": e.Out}).Info("operators have moved a runner")
	if e.Out {
		c.excluded[e.UID] = true
		delete(c.putBack, e.UID)
	} else {
		delete(c.excluded, e.UID)
		c.putBack[e.UID] = min(e.At, c.now)
		c.wake(&due{at: c.putBack[e.UID] + c.cfg.Rules.WarmUp, putBack: e.UID})
	}
	if w := c.workers[e.UID]; w != nil {
		c.event(decision.Event{Type: decision.MembersChanged, Members: []decision.Member{c.shown(w)}})
	}
}
