package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
)

// worker is the core's state of a worker in the route table.
type worker struct {
	number  decision.WorkerID
	uid     string
	addr    string
	zone    string // name of its zone
	source  uint8  // who lists it; see Route.Source
	backend Backend
	// epoch advances when attempts that have been decided on must no longer start.
	epoch epoch
	// boot is the time of the worker's last start by the wall clock of whoever lists it.
	boot            time.Duration
	member          decision.Member // as listed
	reportedMember  decision.Member // as last passed to the decision module
	hasEndedAttempt bool            // an attempt of this dispatcher has ended at the worker
}

// SetWorkerObserver sets the observer of workers; nil for none. It must be called before Run.
func (c *Core) SetWorkerObserver(o WorkerObserver) { c.observer = o }

// ProbeEnded reports the result of a probe. The values of load are in the order of
// decision.Config.Metrics.
func (c *Core) ProbeEnded(number decision.WorkerID, outcome decision.Outcome, load []float32) {
	c.mailbox.Put(func(c *Core) {
		ev := decision.Event{Type: decision.ProbeEnded, Worker: number, Outcome: outcome}
		ev.LoadCount = uint8(copy(ev.Load[:], load))
		c.addEvent(ev)
	})
}

// RoutesReplaced replaces the complete list of discovery. Workers of other sources stay.
func (c *Core) RoutesReplaced(routes []Route) {
	c.mailbox.Put(func(c *Core) { c.updateMembers(decision.MembersReplaced, routes) })
}

// RoutesChanged adds, changes or removes entries of the route table.
func (c *Core) RoutesChanged(routes []Route) {
	c.mailbox.Put(func(c *Core) { c.updateMembers(decision.MembersChanged, routes) })
}

// DiscoveryFailed reports that a request to discovery has failed or that a watch has ended.
func (c *Core) DiscoveryFailed() {
	c.mailbox.Put(func(c *Core) { c.addEvent(decision.Event{Type: decision.MembersFailed}) })
}

// updateMembers applies entries of the route table. The backend of a removed worker is closed to
// new attempts at once, and the decision module learns of the removal in the same turn.
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
			default: // the module takes the list as complete, including other sources' workers
				ev.Members = append(ev.Members, c.effectiveMember(w))
			}
		}
	}
	c.addEvent(ev)
	c.events = append(c.events, restored...)
}

// addWorker adds a newly listed worker and opens its backend.
func (c *Core) addWorker(route *Route) *worker {
	c.lastWorkerID++
	w := &worker{number: c.lastWorkerID, uid: route.UID, addr: route.Addr}
	w.backend = c.backends.Open(w.number, w.uid, w.addr)
	c.workers[w.uid], c.workersByNumber[w.number] = w, w
	c.log.WithFields(logrus.Fields{"target": w.uid, "addr": w.addr}).Info("egress target listed")
	return w
}

// updateWorker applies an entry of the route table to a worker.
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

// startedAt converts a worker's start time, by the wall clock, to the core's clock. It is called
// when a start is first listed; the result is kept, also by successor processes, until another
// start is listed, so that setting the clock later has no effect. If the wall clock was set since
// this process started, the two clocks give different ages. The lower one counts, because a worker
// that is taken to be older than it is would get more work than it can handle while it warms up.
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

// effectiveMember returns a worker as the decision module should see it: as listed, except for
// operators' exclusions and reinstatements, which take precedence over every later list. It
// advances the worker's epoch if attempts that have been decided on must no longer start.
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

// removeWorker removes a worker that has left the route table. Reports on its open attempts are
// still matched by its UID until these end.
func (c *Core) removeWorker(w *worker) {
	c.log.WithField("target", w.uid).Info("egress target gone from the list")
	w.epoch.advance()
	w.backend.Close()
	delete(c.workers, w.uid)
	delete(c.workersByNumber, w.number)
}
