package core

import (
	"maps"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/monotime"
	"frosttide/internal/dispatcher/trace"
)

// Snapshot is what the core tells a newer process of its dispatcher. Times are of the core's
// clock, since 1970; health is by uid.
type Snapshot struct {
	Offset   time.Duration              `json:"offset,omitempty"` // of that clock to the machine's monotonic one; 0 for not told
	Excluded []string                   `json:"excluded"`
	PutBack  map[string]time.Duration   `json:"put_back"`
	Health   map[string]decision.Health `json:"health"`
	Runs     []time.Duration            `json:"runs"` // mean run times by class
	Starts   map[string]Start           `json:"starts,omitempty"`
}

// Start is a worker's last start: as discovery tells it, by the wall clock, and when that was by the
// core's.
type Start struct {
	Boot time.Duration `json:"boot"`
	At   time.Duration `json:"at"`
}

// Snapshot tells what the core knows beside the list.
func (c *Core) Snapshot(to func(Snapshot)) {
	c.box.Put(func(c *Core) {
		s := Snapshot{Offset: c.offset(), PutBack: maps.Clone(c.putBack), Health: map[string]decision.Health{}, Starts: map[string]Start{}}
		for uid := range c.excluded {
			s.Excluded = append(s.Excluded, uid)
		}
		for uid, w := range c.workers {
			s.Health[uid] = c.module.Health(w.number)
			if w.boot > 0 {
				s.Starts[uid] = Start{Boot: w.boot, At: w.member.StartedAt}
			}
		}
		s.Runs = c.module.Runs()
		to(s)
	})
}

// Restore takes over a snapshot. It comes before the first list.
func (c *Core) Restore(s Snapshot) {
	c.box.Put(func(c *Core) {
		for _, uid := range s.Excluded {
			c.move(Exclusion{UID: uid, Out: true})
		}
		shift := time.Duration(0)
		if s.Offset != 0 {
			shift = c.offset() - s.Offset
		}
		for uid, at := range s.PutBack {
			c.excluded[uid] = true
			c.move(Exclusion{UID: uid, At: at + shift})
		}
		for uid, h := range s.Health {
			h.RestUntil += shift
			h.PaceAt += shift
			s.Health[uid] = h
		}
		c.health = s.Health
		for uid, start := range s.Starts {
			start.At += shift
			s.Starts[uid] = start
		}
		c.starts = s.Starts
	})
}

// Processes tells how many processes of this dispatcher share what it may send to cold
// runners: to the module they are that many instances.
func (c *Core) Processes(n int) {
	c.box.Put(func(c *Core) {
		c.processes = n
		c.configure()
	})
}

// offset returns how far the core's clock is ahead of the machine's monotonic one, which another
// process reads as well. Guards times that are told to it against a wall clock that is set between
// the starts of the two.
func (c *Core) offset() time.Duration { return c.clock(time.Now()) - monotime.Now() }

// Moved is what another process of the dispatcher needs to go on with a request. Its times are of the
// machine's monotonic clock, but for the story's.
type Moved struct {
	Deadline time.Duration `json:"deadline"`
	Hops     []MovedHop    `json:"hops"`
	Story    *trace.Story  `json:"story,omitempty"`
}

// MovedHop is an attempt of such a request.
type MovedHop struct {
	UID  string        `json:"uid"`
	Past decision.Past `json:"past"`
}

// Release gives up a request to another process, once all its hops that are out have
// been taken by their runners: until then what becomes of them comes here. Done is told
// what goes along, or nil if the request has its answer; then it was not released.
func (c *Core) Release(job *Job, done func(*Moved)) {
	c.box.Put(func(c *Core) {
		if r := c.byID[job.ID]; r != nil && r.job == job && !r.answered {
			c.releasing[r] = done
		} else {
			done(nil)
		}
	})
}

// release lets go of the requests that are ready for it. It recalls nothing: their
// hops go on.
func (c *Core) release() {
	for r, done := range c.releasing {
		if r.answered {
			delete(c.releasing, r)
			done(nil)
			continue
		}
		offset := c.offset()
		m := &Moved{Deadline: r.deadline - offset, Story: r.story}
		past := c.module.Past(r.ref)
		ready := len(past) == len(r.hops)
		for i := range r.hops {
			h := &r.hops[i]
			ready = ready && (h.ended || h.taken || h.reported)
			// A worker that is connected to this process tells it alone how its job ends.
			ready = ready && (h.ended || h.to == nil || h.to.source == 0)
			if ready {
				m.Hops = append(m.Hops, MovedHop{UID: h.uid(), Past: shifted(past[i], -offset)})
			}
		}
		if !ready {
			continue
		}
		delete(c.releasing, r)
		r.story = nil // the other process goes on with it
		c.settle(r)
		c.event(decision.Event{Type: decision.RequestGone, Request: r.ref})
		for i := range r.hops {
			c.end(r, i, decision.Canceled, nil)
		}
		c.forget(r)
		c.step()
		done(m)
	}
}

// Adopt goes on with a request that another process has released.
func (c *Core) Adopt(job *Job, m *Moved, ingress Ingress) {
	c.box.Put(func(c *Core) {
		if c.byID[job.ID] != nil {
			c.duplicate(job, ingress)
			return
		}
		r := c.take(job, ingress)
		ev := c.arrival(r)
		offset := c.offset()
		for _, h := range m.Hops {
			h.Past = shifted(h.Past, offset)
			w := c.workers[h.UID]
			if w == nil { // it has left the list
				c.lastTo++
				w = &worker{number: c.lastTo, uid: h.UID, target: gone{}}
			}
			h.Past.Worker = w.number
			ev.Past = append(ev.Past, h.Past)
			r.hops = append(r.hops, hop{number: w.number, to: w, deadline: r.deadline, taken: true, ended: h.Past.Ended})
		}
		if r.story != nil {
			c.adoptStory(r, m)
		}
		c.event(ev)
	})
}

// shifted returns what is known of an attempt by another clock.
func shifted(p decision.Past, by time.Duration) decision.Past {
	p.SentAt += by
	if p.Started {
		p.StartedAt += by
	}
	return p
}

// gone is the target of a hop whose runner has left the list.
type gone struct{}

func (gone) Send(Hop)        {}
func (gone) GiveUp(Hop)      {}
func (gone) Probe(time.Time) {}
func (gone) Move(string)     {}
func (gone) Close()          {}
