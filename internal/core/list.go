package core

import (
	"github.com/sirupsen/logrus"

	"frosttide/decision"
)

// worker is an egress target as the core knows it.
type worker struct {
	number decision.WorkerID
	uid    string
	addr   string
	zone   string          // its name
	source uint8           // who lists it
	member decision.Member // as discovery lists it
	target Target
	met    bool // a job from here has ended there
}

// ProbeEnded tells what a probe found.
func (c *Core) ProbeEnded(number decision.WorkerID, outcome decision.Outcome, load []float32) {
	c.box.Put(func(c *Core) {
		ev := decision.Event{Type: decision.ProbeEnded, Worker: number, Outcome: outcome}
		ev.Loads = uint8(copy(ev.Load[:], load))
		c.event(ev)
	})
}

// ListReplaced tells the whole route table.
func (c *Core) ListReplaced(routes []Route) {
	c.box.Put(func(c *Core) { c.listed(decision.MembersReplaced, routes) })
}

// ListChanged tells the entries of the route table that have changed.
func (c *Core) ListChanged(routes []Route) {
	c.box.Put(func(c *Core) { c.listed(decision.MembersChanged, routes) })
}

// ListFailed tells that a call to discovery has failed or a watch has ended.
func (c *Core) ListFailed() {
	c.box.Put(func(c *Core) { c.event(decision.Event{Type: decision.MembersFailed}) })
}

// listed takes in entries of the route table. A target that leaves is closed at
// once for new hops; the module learns of it in the same moment.
func (c *Core) listed(kind decision.EventType, routes []Route) {
	ev := decision.Event{Type: kind}
	var known []decision.Event
	named := map[string]bool{}
	for i := range routes {
		t := &routes[i]
		named[t.UID] = true
		w := c.workers[t.UID]
		if w == nil {
			if t.State == decision.Removed {
				continue
			}
			c.lastTo++
			w = &worker{number: c.lastTo, uid: t.UID, addr: t.Addr}
			w.target = c.targets.Open(w.number, w.uid, w.addr)
			c.workers[w.uid], c.byNumber[w.number] = w, w
			c.log.WithFields(logrus.Fields{"target": w.uid, "addr": w.addr}).Info("egress target listed")
			if h, ok := c.health[w.uid]; ok {
				known = append(known, decision.Event{Type: decision.HealthKnown, Worker: w.number, Health: h})
				delete(c.health, w.uid)
			}
		}
		if t.Addr != "" && t.Addr != w.addr {
			c.log.WithFields(logrus.Fields{"target": w.uid, "addr": t.Addr}).Info("egress target moved")
			w.addr = t.Addr
			w.target.Move(t.Addr)
		}
		if t.State == decision.Draining && w.member.State != t.State && !t.Withheld {
			c.log.WithField("target", w.uid).Info("egress target drains")
		}
		w.member, w.zone, w.source = t.Member, t.ZoneName, t.Source
		w.member.Worker = w.number
		ev.Members = append(ev.Members, c.shown(w))
		if t.State == decision.Removed {
			c.drop(w)
		}
	}
	if kind == decision.MembersReplaced {
		for uid, w := range c.workers {
			switch {
			case named[uid]:
			case w.source == 0:
				c.drop(w)
			default: // the module takes a whole list as it is
				ev.Members = append(ev.Members, c.shown(w))
			}
		}
	}
	c.event(ev)
	c.events = append(c.events, known...)
}

// shown returns a worker as the module is to see it: as discovery lists it, but for
// what operators have said. Guards what they said against every later list.
func (c *Core) shown(w *worker) decision.Member {
	m := w.member
	if c.excluded[w.uid] && m.State == decision.Ready {
		m.State = decision.Draining
	}
	m.Sharers *= c.processes
	if at, ok := c.putBack[w.uid]; ok {
		m.StartedAt, m.Returned = max(m.StartedAt, at), true
	}
	return m
}

// drop lets a target go that has left the route table. Hops that it still has
// are matched by its uid until they end.
func (c *Core) drop(w *worker) {
	c.log.WithField("target", w.uid).Info("egress target gone from the list")
	w.target.Close()
	delete(c.workers, w.uid)
	delete(c.byNumber, w.number)
}
