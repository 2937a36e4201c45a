package core

import (
	"maps"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/monotime"
	"frosttide/internal/dispatcher/trace"
)

// Snapshot is the state that the core passes to a newer process of its dispatcher; package roster
// also stores parts of it. Workers are identified by UID, and points in time are since 1970 by the
// core's clock.
type Snapshot struct {
	// Offset is how far the core's clock is ahead of the machine's monotonic clock; 0 for unknown.
	Offset       time.Duration              `json:"offset,omitempty"`
	Excluded     []string                   `json:"excluded"`
	Reinstated   map[string]time.Duration   `json:"put_back"`
	Health       map[string]decision.Health `json:"health"`
	MeanRunTimes []time.Duration            `json:"runs"` // by index of the class
	Starts       map[string]WorkerStart     `json:"starts,omitempty"`
}

// WorkerStart is the time of a worker's last start: Boot as listed, by the wall clock, and At by
// the core's clock.
type WorkerStart struct {
	Boot time.Duration `json:"boot"`
	At   time.Duration `json:"at"`
}

// MovedRequest is the state with which another process of the dispatcher continues a request. Its
// times are by the machine's monotonic clock, except for those in Record.
type MovedRequest struct {
	Deadline time.Duration  `json:"deadline"`
	Attempts []MovedAttempt `json:"hops"`
	Record   *trace.Record  `json:"story,omitempty"`
}

// MovedAttempt is an attempt of a request that is transferred to another process.
type MovedAttempt struct {
	UID    string                 `json:"uid"`
	Record decision.AttemptRecord `json:"past"`
}

// Snapshot calls receive with the core's state, except for the list of workers, later on the
// goroutine of Run.
func (c *Core) Snapshot(receive func(Snapshot)) {
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
		receive(s)
	})
}

// Restore takes over the state in a snapshot. It must be called before the first list of workers is
// passed to the core.
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

// SetProcessCount sets how many processes of this dispatcher share the workers that are warming up.
// The decision module counts them as that many instances.
func (c *Core) SetProcessCount(count int) {
	c.mailbox.Put(func(c *Core) {
		c.processCount = count
		c.applyConfig()
	})
}

// clockOffset returns how far the core's clock is ahead of the machine's monotonic clock, which
// other processes read as well. Times that are passed between processes are converted to the
// latter, so that they are right even if the wall clock was set between the starts of the two
// processes.
func (c *Core) clockOffset() time.Duration { return c.moduleTime(time.Now()) - monotime.Now() }

// Release transfers a request to another process once its workers have accepted all open attempts;
// before that, the outcome of an attempt is reported to this process only. It calls done with the
// state that the other process needs, or with nil if the request has been answered and is therefore
// not transferred.
func (c *Core) Release(job *Job, done func(*MovedRequest)) {
	c.mailbox.Put(func(c *Core) {
		if r := c.requestsByJobID[job.ID]; r != nil && r.job == job && !r.answered {
			c.releasing[r] = done
		} else {
			done(nil)
		}
	})
}

// releaseReady releases the requests that can be transferred now. It does not cancel their
// attempts, which continue.
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
		c.releasedIDs[r.job.ID] = true
		r.record = nil // the other process continues it
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

// movedRequest returns the state with which a request is transferred, and whether it can be
// transferred now.
func (c *Core) movedRequest(r *request) (m *MovedRequest, ready bool) {
	offset := c.clockOffset()
	m = &MovedRequest{Deadline: r.deadline - offset, Record: r.record}
	prior := c.module.PriorAttempts(r.id)
	if len(prior) != len(r.attempts) {
		return nil, false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		acceptedOrEnded := a.ended || a.accepted || a.reported
		// A worker that is connected to this process reports to this process only.
		transferable := a.ended || a.worker == nil || a.worker.source == 0
		if !acceptedOrEnded || !transferable {
			return nil, false
		}
		m.Attempts = append(m.Attempts, MovedAttempt{UID: a.workerUID(), Record: shiftClock(prior[i], -offset)})
	}
	return m, true
}

// Adopt continues a request that another process has released.
func (c *Core) Adopt(job *Job, m *MovedRequest, ingress Ingress) {
	c.mailbox.Put(func(c *Core) {
		if c.requestsByJobID[job.ID] != nil {
			c.rejectDuplicate(job, ingress)
			return
		}
		r := c.newRequest(job, ingress)
		ev := c.arrivalEvent(r)
		offset := c.clockOffset()
		for _, moved := range m.Attempts {
			w := c.workerOrPlaceholder(moved.UID)
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

// workerOrPlaceholder returns a listed worker, or a placeholder for a worker that has left the
// list.
func (c *Core) workerOrPlaceholder(uid string) *worker {
	if w := c.workers[uid]; w != nil {
		return w
	}
	c.lastWorkerID++
	return &worker{number: c.lastWorkerID, uid: uid, backend: noopBackend{}}
}

// shiftClock converts an attempt's record to a clock that is ahead by the given duration.
func shiftClock(record decision.AttemptRecord, by time.Duration) decision.AttemptRecord {
	record.SentAt += by
	if record.Started {
		record.StartedAt += by
	}
	return record
}

// noopBackend is the Backend of a worker that has left the list. Its methods do nothing.
type noopBackend struct{}

// Send implements Backend.
func (noopBackend) Send(Attempt) {}

// Cancel implements Backend.
func (noopBackend) Cancel(Attempt) {}

// Probe implements Backend.
func (noopBackend) Probe(time.Time) {}

// SetAddress implements Backend.
func (noopBackend) SetAddress(string) {}

// Close implements Backend.
func (noopBackend) Close() {}
