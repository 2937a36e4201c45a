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
	Offset       time.Duration              `json:"offset,omitempty"` // of that clock to the machine's monotonic one; 0 for not told
	Excluded     []string                   `json:"excluded"`
	Reinstated   map[string]time.Duration   `json:"put_back"`
	Health       map[string]decision.Health `json:"health"`
	MeanRunTimes []time.Duration            `json:"runs"` // mean run times by class
	Starts       map[string]WorkerStart     `json:"starts,omitempty"`
}

// WorkerStart is a worker's last start: as discovery tells it, by the wall clock, and when that was by the
// core's.
type WorkerStart struct {
	Boot time.Duration `json:"boot"`
	At   time.Duration `json:"at"`
}

// Snapshot tells what the core knows beside the list.
func (c *Core) Snapshot(to func(Snapshot)) {
	c.mailbox.Put(func(c *Core) {
		s := Snapshot{Offset: c.clockOffset(), Reinstated: maps.Clone(c.reinstated), Health: map[string]decision.Health{}, Starts: map[string]WorkerStart{}}
		for uid := range c.excluded {
			s.Excluded = append(s.Excluded, uid)
		}
		for uid, w := range c.workers {
			s.Health[uid] = c.module.Health(w.number)
			if w.boot > 0 {
				s.Starts[uid] = WorkerStart{Boot: w.boot, At: w.member.StartedAt}
			}
		}
		s.MeanRunTimes = c.module.MeanRunTimes()
		to(s)
	})
}

// Restore takes over a snapshot. It comes before the first list.
func (c *Core) Restore(s Snapshot) {
	c.mailbox.Put(func(c *Core) {
		for _, uid := range s.Excluded {
			c.applyExclusion(Exclusion{UID: uid, Out: true})
		}
		shift := time.Duration(0)
		if s.Offset != 0 {
			shift = c.clockOffset() - s.Offset
		}
		for uid, at := range s.Reinstated {
			c.excluded[uid] = true
			c.applyExclusion(Exclusion{UID: uid, At: at + shift})
		}
		for uid, h := range s.Health {
			h.RestUntil += shift
			h.PaceAt += shift
			s.Health[uid] = h
		}
		c.restoredHealth = s.Health
		for uid, start := range s.Starts {
			start.At += shift
			s.Starts[uid] = start
		}
		c.restoredStarts = s.Starts
	})
}

// SetProcessCount tells how many processes of this dispatcher share what it may send to cold
// runners: to the module they are that many instances.
func (c *Core) SetProcessCount(n int) {
	c.mailbox.Put(func(c *Core) {
		c.processCount = n
		c.applyConfig()
	})
}

// clockOffset returns how far the core's clock is ahead of the machine's monotonic one, which another
// process reads as well. Guards times that are told to it against a wall clock that is set between
// the starts of the two.
func (c *Core) clockOffset() time.Duration { return c.moduleTime(time.Now()) - monotime.Now() }

// MovedRequest is what another process of the dispatcher needs to go on with a request. Its times are of the
// machine's monotonic clock, but for the story's.
type MovedRequest struct {
	Deadline time.Duration  `json:"deadline"`
	Attempts []MovedAttempt `json:"hops"`
	Record   *trace.Record  `json:"story,omitempty"`
}

// MovedAttempt is an attempt of such a request.
type MovedAttempt struct {
	UID    string                 `json:"uid"`
	Record decision.AttemptRecord `json:"past"`
}

// Release gives up a request to another process, once all its hops that are out have
// been taken by their runners: until then what becomes of them comes here. Done is told
// what goes along, or nil if the request has its answer; then it was not released.
func (c *Core) Release(job *Job, done func(*MovedRequest)) {
	c.mailbox.Put(func(c *Core) {
		if r := c.byID[job.ID]; r != nil && r.job == job && !r.answered {
			c.releasing[r] = done
		} else {
			done(nil)
		}
	})
}

// releaseReady lets go of the requests that are ready for it. It recalls nothing: their
// hops go on.
func (c *Core) releaseReady() {
	for r, done := range c.releasing {
		if r.answered {
			delete(c.releasing, r)
			done(nil)
			continue
		}
		offset := c.clockOffset()
		m := &MovedRequest{Deadline: r.deadline - offset, Record: r.record}
		past := c.module.PriorAttempts(r.id)
		ready := len(past) == len(r.attempts)
		for i := range r.attempts {
			h := &r.attempts[i]
			ready = ready && (h.ended || h.accepted || h.reported)
			// A worker that is connected to this process tells it alone how its job ends.
			ready = ready && (h.ended || h.worker == nil || h.worker.source == 0)
			if ready {
				m.Attempts = append(m.Attempts, MovedAttempt{UID: h.workerUID(), Record: shiftClock(past[i], -offset)})
			}
		}
		if !ready {
			continue
		}
		delete(c.releasing, r)
		r.record = nil // the other process goes on with it
		c.closeRequest(r)
		c.addEvent(decision.Event{Type: decision.RequestCanceled, Request: r.id})
		for i := range r.attempts {
			c.endAttempt(r, i, decision.Canceled, nil)
		}
		c.removeIfDone(r)
		c.step()
		done(m)
	}
}

// Adopt goes on with a request that another process has released.
func (c *Core) Adopt(job *Job, m *MovedRequest, ingress Ingress) {
	c.mailbox.Put(func(c *Core) {
		if c.byID[job.ID] != nil {
			c.rejectDuplicate(job, ingress)
			return
		}
		r := c.newRequest(job, ingress)
		ev := c.arrivalEvent(r)
		offset := c.clockOffset()
		for _, h := range m.Attempts {
			h.Record = shiftClock(h.Record, offset)
			w := c.workers[h.UID]
			if w == nil { // it has left the list
				c.lastWorkerID++
				w = &worker{number: c.lastWorkerID, uid: h.UID, backend: departedBackend{}}
			}
			h.Record.Worker = w.number
			ev.PriorAttempts = append(ev.PriorAttempts, h.Record)
			r.attempts = append(r.attempts, attemptState{workerNumber: w.number, worker: w, deadline: r.deadline, accepted: true, ended: h.Record.Ended})
		}
		if r.record != nil {
			c.adoptRecord(r, m)
		}
		c.addEvent(ev)
	})
}

// shiftClock returns what is known of an attempt by another clock.
func shiftClock(p decision.AttemptRecord, by time.Duration) decision.AttemptRecord {
	p.SentAt += by
	if p.Started {
		p.StartedAt += by
	}
	return p
}

// departedBackend is the target of a hop whose runner has left the list.
type departedBackend struct{}

func (departedBackend) Send(Attempt)      {}
func (departedBackend) Cancel(Attempt)    {}
func (departedBackend) Probe(time.Time)   {}
func (departedBackend) SetAddress(string) {}
func (departedBackend) Close()            {}
