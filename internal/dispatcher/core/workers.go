package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
)

// worker is an egress target as the core knows it.
type worker struct {
	number          decision.WorkerID
	uid             string
	addr            string
	zone            string          // its name
	source          uint8           // who lists it
	member          decision.Member // as discovery lists it
	backend         Backend
	epoch           epoch           // passes when attempts on their way there must not begin any more
	boot            time.Duration   // its last start, by the wall clock of who lists it
	reportedMember  decision.Member // as the module was told last
	hasEndedAttempt bool            // a job from here has ended there
}

// ProbeEnded tells what a probe found.
func (c *Core) ProbeEnded(number decision.WorkerID, outcome decision.Outcome, load []float32) {
	c.mailbox.Put(func(c *Core) {
		ev := decision.Event{Type: decision.ProbeEnded, Worker: number, Outcome: outcome}
		ev.LoadCount = uint8(copy(ev.Load[:], load))
		c.addEvent(ev)
	})
}

// RoutesReplaced tells the whole route table.
func (c *Core) RoutesReplaced(routes []Route) {
	c.mailbox.Put(func(c *Core) { c.updateMembers(decision.MembersReplaced, routes) })
}

// RoutesChanged tells the entries of the route table that have changed.
func (c *Core) RoutesChanged(routes []Route) {
	c.mailbox.Put(func(c *Core) { c.updateMembers(decision.MembersChanged, routes) })
}

// DiscoveryFailed tells that a call to discovery has failed or a watch has ended.
func (c *Core) DiscoveryFailed() {
	c.mailbox.Put(func(c *Core) { c.addEvent(decision.Event{Type: decision.MembersFailed}) })
}

// updateMembers takes in entries of the route table. A target that leaves is closed at
// once for new hops; the module learns of it in the same moment.
func (c *Core) updateMembers(kind decision.EventType, routes []Route) {
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
			c.lastWorkerID++
			w = &worker{number: c.lastWorkerID, uid: t.UID, addr: t.Addr}
			w.backend = c.backends.Open(w.number, w.uid, w.addr)
			c.workers[w.uid], c.workersByNumber[w.number] = w, w
			c.log.WithFields(logrus.Fields{"target": w.uid, "addr": w.addr}).Info("egress target listed")
			if h, ok := c.restoredHealth[w.uid]; ok {
				known = append(known, decision.Event{Type: decision.HealthRestored, Worker: w.number, Health: h})
				delete(c.restoredHealth, w.uid)
			}
		}
		if t.Addr != "" && t.Addr != w.addr {
			c.log.WithFields(logrus.Fields{"target": w.uid, "addr": t.Addr}).Info("egress target moved")
			w.addr = t.Addr
			w.epoch.advance()
			w.backend.SetAddress(t.Addr)
		}
		if t.State == decision.Draining && w.member.State != t.State && !t.Withheld {
			c.log.WithField("target", w.uid).Info("egress target drains")
		}
		startedAt := w.member.StartedAt
		if t.StartedAt != w.boot {
			startedAt = c.startedAt(t.UID, t.StartedAt)
		}
		w.member, w.zone, w.source, w.boot = t.Member, t.ZoneName, t.Source, t.StartedAt
		w.member.Worker, w.member.StartedAt = w.number, startedAt
		ev.Members = append(ev.Members, c.effectiveMember(w))
		if t.State == decision.Removed {
			c.removeWorker(w)
		}
	}
	if kind == decision.MembersReplaced {
		for uid, w := range c.workers {
			switch {
			case named[uid]:
			case w.source == 0:
				c.removeWorker(w)
			default: // the module takes a whole list as it is
				ev.Members = append(ev.Members, c.effectiveMember(w))
			}
		}
	}
	c.addEvent(ev)
	c.events = append(c.events, known...)
}

// startedAt turns a worker's start by the wall clock into the core's time, when it is first told. It
// is kept until another start is told, also by a newer process, so that a clock that is set later
// changes nothing. Where the wall clock was set between this process's start and now, the younger of
// the two ages that it gives counts: a worker that is taken for older than it is would be sent more
// than it bears.
func (c *Core) startedAt(uid string, boot time.Duration) time.Duration {
	if boot == 0 {
		return 0
	}
	known, ok := c.restoredStarts[uid]
	delete(c.restoredStarts, uid)
	if ok && known.Boot == boot {
		return known.At
	}
	age := min(c.now, c.wall()) - boot
	return c.now - max(age, 0)
}

// effectiveMember returns a worker as the module is to see it: as discovery lists it, but for
// what operators have said. Guards what they said against every later list.
func (c *Core) effectiveMember(w *worker) decision.Member {
	m := w.member
	if c.excluded[w.uid] && m.State == decision.Ready {
		m.State = decision.Draining
	}
	m.WarmUpPeers *= c.processCount
	if at, ok := c.reinstated[w.uid]; ok {
		m.StartedAt, m.Reinstated = max(m.StartedAt, at), true
	}
	if w.reportedMember.State == decision.Ready && (m.State != decision.Ready || m.StartedAt > w.reportedMember.StartedAt) {
		w.epoch.advance()
	}
	w.reportedMember = m
	return m
}

// removeWorker lets a target go that has left the route table. Hops that it still has
// are matched by its uid until they end.
func (c *Core) removeWorker(w *worker) {
	c.log.WithField("target", w.uid).Info("egress target gone from the list")
	w.epoch.advance()
	w.backend.Close()
	delete(c.workers, w.uid)
	delete(c.workersByNumber, w.number)
}
