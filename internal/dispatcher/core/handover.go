package core

import (
	"maps"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/monotime"
	"frosttide/internal/dispatcher/trace"
)

// Snapshot is what the core passes to a newer process of its dispatcher. Points in
// time are of the core's clock, since 1970. Workers are named by UID.
type Snapshot struct {
	Offset       time.Duration              `json:"offset,omitempty"` // of the core's clock to the machine's monotonic one; 0 for unknown
	Excluded     []string                   `json:"excluded"`
	Reinstated   map[string]time.Duration   `json:"put_back"`
	Health       map[string]decision.Health `json:"health"`
	MeanRunTimes []time.Duration            `json:"runs"` // by the number of the class
	Starts       map[string]WorkerStart     `json:"starts,omitempty"`
}

// WorkerStart is a worker's last start: Boot as it is listed, by the wall clock,
// and At by the core's clock.
type WorkerStart struct {
	Boot time.Duration `json:"boot"`
	At   time.Duration `json:"at"`
}

// MovedRequest is what another process of the dispatcher needs to go on with a
// request. Its times are of the machine's monotonic clock, but for the record's.
type MovedRequest struct {
	Deadline time.Duration  `json:"deadline"`
	Attempts []MovedAttempt `json:"hops"`
	Record   *trace.Record  `json:"story,omitempty"`
}

// MovedAttempt is an attempt of a request that moves to another process.
type MovedAttempt struct {
	UID    string                 `json:"uid"`
	Record decision.AttemptRecord `json:"past"`
}

// Snapshot passes on what the core knows beside the list of workers. The core's
// goroutine calls the function soon.
func (c *Core) Snapshot(to func(Snapshot)) {
	c.mailbox.Put(func(c *Core) {
		s := Snapshot{
			Offset:     c.clockOffset(),
			Reinstated: maps.Clone(c.reinstated),
			Health:     map[string]decision.Health{},
			Starts:     map[string]WorkerStart{},
		}
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

// Restore takes over a snapshot. It must come before the first list of workers.
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
		for uid, health := range s.Health {
			health.RestUntil += shift
			health.PaceAt += shift
			s.Health[uid] = health
		}
		c.restoredHealth = s.Health
		for uid, start := range s.Starts {
			start.At += shift
			s.Starts[uid] = start
		}
		c.restoredStarts = s.Starts
	})
}

// SetProcessCount sets how many processes of this dispatcher share the work for
// warming workers. The decision module sees them as that many instances.
func (c *Core) SetProcessCount(count int) {
	c.mailbox.Put(func(c *Core) {
		c.processCount = count
		c.applyConfig()
	})
}

// clockOffset returns how far the core's clock is ahead of the machine's monotonic
// clock, which another process reads as well. Times that are passed between
// processes hold so even if the wall clock is set between the starts of the two.
func (c *Core) clockOffset() time.Duration { return c.moduleTime(time.Now()) - monotime.Now() }

// Release gives a request up to another process once its workers have accepted all
// attempts that are out; until then this process has to learn what becomes of
// them. It passes on what the other process needs, or nil if the request has its
// response and so was not released.
func (c *Core) Release(job *Job, done func(*MovedRequest)) {
	c.mailbox.Put(func(c *Core) {
		if r := c.byID[job.ID]; r != nil && r.job == job && !r.answered {
			c.releasing[r] = done
		} else {
			done(nil)
		}
	})
}

// releaseReady releases the requests that are ready for it. It recalls nothing:
// their attempts go on.
func (c *Core) releaseReady() {
	for r, done := range c.releasing {
		if r.answered {
			delete(c.releasing, r)
			done(nil)
			continue
		}
		m, ready := c.movedRequest(r)
		if !ready {
			continue
		}
		delete(c.releasing, r)
		c.released[r.job.ID] = true
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

// movedRequest returns a request in the form in which it moves, and whether it may
// move now.
func (c *Core) movedRequest(r *request) (m *MovedRequest, ready bool) {
	offset := c.clockOffset()
	m = &MovedRequest{Deadline: r.deadline - offset, Record: r.record}
	prior := c.module.PriorAttempts(r.id)
	if len(prior) != len(r.attempts) {
		return nil, false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		known := a.ended || a.accepted || a.reported
		// A worker that is connected to this process reports to it alone.
		mayMove := a.ended || a.worker == nil || a.worker.source == 0
		if !known || !mayMove {
			return nil, false
		}
		m.Attempts = append(m.Attempts, MovedAttempt{UID: a.workerUID(), Record: shiftClock(prior[i], -offset)})
	}
	return m, true
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
		for _, moved := range m.Attempts {
			w := c.workerOrDeparted(moved.UID)
			record := shiftClock(moved.Record, offset)
			record.Worker = w.number
			ev.PriorAttempts = append(ev.PriorAttempts, record)
			r.attempts = append(r.attempts, attemptState{
				workerNumber: w.number,
				worker:       w,
				deadline:     r.deadline,
				accepted:     true,
				ended:        record.Ended,
			})
		}
		if r.record != nil {
			c.adoptRecord(r, m)
		}
		c.addEvent(ev)
	})
}

// workerOrDeparted returns a listed worker, or one that stands for a worker that
// has left the list.
func (c *Core) workerOrDeparted(uid string) *worker {
	if w := c.workers[uid]; w != nil {
		return w
	}
	c.lastWorkerID++
	return &worker{number: c.lastWorkerID, uid: uid, backend: departedBackend{}}
}

// shiftClock returns an attempt's record by a clock that is ahead by a duration.
func shiftClock(record decision.AttemptRecord, by time.Duration) decision.AttemptRecord {
	record.SentAt += by
	if record.Started {
		record.StartedAt += by
	}
	return record
}

// departedBackend is the Backend of a worker that has left the list. It does
// nothing.
type departedBackend struct{}

// Send implements Backend.
func (departedBackend) Send(Attempt) {}

// Cancel implements Backend.
func (departedBackend) Cancel(Attempt) {}

// Probe implements Backend.
func (departedBackend) Probe(time.Time) {}

// SetAddress implements Backend.
func (departedBackend) SetAddress(string) {}

// Close implements Backend.
func (departedBackend) Close() {}
