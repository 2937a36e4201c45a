package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
)

// worker is a worker of the route table as the core knows it.
type worker struct {
	number          decision.WorkerID
	uid             string
	addr            string
	zone            string // name of its zone
	source          uint8  // who lists it, as in Route
	backend         Backend
	epoch           epoch           // advances when attempts on their way there must not start any more
	boot            time.Duration   // its last start, by the wall clock of whoever lists it
	member          decision.Member // as it is listed
	reportedMember  decision.Member // as the decision module last learned it
	hasEndedAttempt bool            // an attempt of this dispatcher has ended there
}

// SetWorkerObserver sets who learns what jobs show of workers. It must be called
// before Run.
func (c *Core) SetWorkerObserver(o WorkerObserver) { c.observer = o }

// ProbeEnded reports the result of a probe.
func (c *Core) ProbeEnded(number decision.WorkerID, outcome decision.Outcome, load []float32) {
	c.mailbox.Put(func(c *Core) {
		ev := decision.Event{Type: decision.ProbeEnded, Worker: number, Outcome: outcome}
		ev.LoadCount = uint8(copy(ev.Load[:], load))
		c.addEvent(ev)
	})
}

// RoutesReplaced replaces the whole route table.
func (c *Core) RoutesReplaced(routes []Route) {
	c.mailbox.Put(func(c *Core) { c.updateMembers(decision.MembersReplaced, routes) })
}

// RoutesChanged changes entries of the route table.
func (c *Core) RoutesChanged(routes []Route) {
	c.mailbox.Put(func(c *Core) { c.updateMembers(decision.MembersChanged, routes) })
}

// DiscoveryFailed reports that a call to discovery has failed or a watch has ended.
func (c *Core) DiscoveryFailed() {
	c.mailbox.Put(func(c *Core) { c.addEvent(decision.Event{Type: decision.MembersFailed}) })
}

// updateMembers applies entries of the route table. The backend of a worker that
// leaves is closed for new attempts at once, and the decision module learns of it
// in the same turn.
func (c *Core) updateMembers(kind decision.EventType, routes []Route) {
	ev := decision.Event{Type: kind}
	var restored []decision.Event
	listed := map[string]bool{}
	for i := range routes {
		route := &routes[i]
		listed[route.UID] = true
		w := c.workers[route.UID]
		if w == nil {
			if route.State == decision.Removed {
				continue
			}
			w = c.addWorker(route)
			if health, ok := c.restoredHealth[w.uid]; ok {
				restored = append(restored, decision.Event{Type: decision.HealthRestored, Worker: w.number, Health: health})
				delete(c.restoredHealth, w.uid)
			}
		}
		c.updateWorker(w, route)
		ev.Members = append(ev.Members, c.effectiveMember(w))
		if route.State == decision.Removed {
			c.removeWorker(w)
		}
	}
	if kind == decision.MembersReplaced {
		for uid, w := range c.workers {
			switch {
			case listed[uid]:
			case w.source == 0:
				c.removeWorker(w)
			default: // the module takes a whole list as it is
				ev.Members = append(ev.Members, c.effectiveMember(w))
			}
		}
	}
	c.addEvent(ev)
	c.events = append(c.events, restored...)
}

// addWorker adds a worker that is listed for the first time.
func (c *Core) addWorker(route *Route) *worker {
	c.lastWorkerID++
	w := &worker{number: c.lastWorkerID, uid: route.UID, addr: route.Addr}
	w.backend = c.backends.Open(w.number, w.uid, w.addr)
	c.workers[w.uid], c.workersByNumber[w.number] = w, w
	c.log.WithFields(logrus.Fields{"target": w.uid, "addr": w.addr}).Info("egress target listed")
	return w
}

// updateWorker applies an entry of the route table to its worker.
func (c *Core) updateWorker(w *worker, route *Route) {
	if route.Addr != "" && route.Addr != w.addr {
		c.log.WithFields(logrus.Fields{"target": w.uid, "addr": route.Addr}).Info("egress target moved")
		w.addr = route.Addr
		w.epoch.advance()
		w.backend.SetAddress(route.Addr)
	}
	if route.State == decision.Draining && w.member.State != route.State && !route.Withheld {
		c.log.WithField("target", w.uid).Info("egress target drains")
	}
	startedAt := w.member.StartedAt
	if route.StartedAt != w.boot {
		startedAt = c.startedAt(route.UID, route.StartedAt)
	}
	w.member, w.zone, w.source, w.boot = route.Member, route.ZoneName, route.Source, route.StartedAt
	w.member.Worker, w.member.StartedAt = w.number, startedAt
}

// startedAt converts a worker's start by the wall clock into the core's time, when
// it is first listed. The result is kept until another start is listed, also by a
// newer process, so that setting the clock later changes nothing. Where the wall
// clock was set between the start of this process and now, it gives two ages, and
// the younger counts: a worker that is taken for older than it is would get more
// work than it can bear.
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

// effectiveMember returns a worker as the decision module is to see it: as it is
// listed, but for what operators have decided, which holds against every later
// list. It also advances the worker's epoch where attempts must not start any more.
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

// removeWorker removes a worker that has left the route table. Attempts that are
// still out there are matched by its UID until they end.
func (c *Core) removeWorker(w *worker) {
	c.log.WithField("target", w.uid).Info("egress target gone from the list")
	w.epoch.advance()
	w.backend.Close()
	delete(c.workers, w.uid)
	delete(c.workersByNumber, w.number)
}
