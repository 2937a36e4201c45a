package core

import (
	"slices"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/trace"
)

// The reasons in span records why a job that was sent before is not sent again.
const (
	reasonAlreadySent    = "it was sent before, and it must not run twice"
	reasonGroupNotListed = "it was sent before to runners that are not listed here"
)

// OutcomeRecord states that a job with the same key was sent to a group of workers that share their
// duplicate detection. Without Age it only identifies the group.
type OutcomeRecord struct {
	Zone string        // zone of the group; "" if the group is all workers
	Cell int           // cell of the group; 0 if the class's scope is not a cell
	Age  time.Duration // time since the job was sent
}

// OutcomeStore records, shared with other dispatchers, where jobs with keys were sent. Its methods
// must not block.
type OutcomeStore interface {
	// Lookup finds the groups where a job may have run, including those recorded by this process.
	// It calls found exactly once, from any goroutine; if other dispatchers don't answer in time,
	// with the local records alone.
	Lookup(job *Job, found func([]OutcomeRecord))
	// RecordSending records that a job is about to be sent to a group, whose deduplication window
	// lasts for window from now on. It calls send exactly once, from any goroutine: when another
	// dispatcher has the record, or soon after the call if none answers.
	RecordSending(job *Job, group OutcomeRecord, window time.Duration, send func())
	// RecordNeverRan records that a job announced by RecordSending certainly never ran in the
	// group.
	RecordNeverRan(job *Job, group OutcomeRecord)
	// RecordDone records that a group has completed a job, with its result.
	RecordDone(job *Job, group OutcomeRecord, window time.Duration, result []byte)
}

// Placements records in the cluster's replicated log where one job is sent. Its methods must not
// block.
type Placements interface {
	// Previous returns the groups where the job may have run.
	Previous() []OutcomeRecord
	// Propose proposes to the members that the job goes to a group, whose deduplication window
	// lasts for window from now on. It calls decided exactly once, from any goroutine; the job may
	// be sent only if agreed is true.
	Propose(group OutcomeRecord, window time.Duration, decided func(agreed bool))
	// Withdraw removes a group where the job certainly never ran.
	Withdraw(group OutcomeRecord)
}

// SetOutcomeStore sets the outcome store; nil for none. It must be called before Run.
func (c *Core) SetOutcomeStore(store OutcomeStore) { c.outcomeStore = store }

// recordsOutcome reports whether the attempts of a job are recorded in the outcome store.
func (c *Core) recordsOutcome(job *Job) bool {
	return c.outcomeStore != nil && job.Key != "" && c.cfg.Classes[job.Class].Effect != decision.Safe
}

// lookUpOutcomes looks up where a job was sent before, and then admits it. The job is dropped if
// its client disconnects meanwhile.
func (c *Core) lookUpOutcomes(job *Job, ingress Ingress) {
	c.awaitingAdmission[job] = true
	c.outcomeStore.Lookup(job, func(records []OutcomeRecord) {
		c.mailbox.Put(func(c *Core) {
			if !c.awaitingAdmission[job] {
				return
			}
			delete(c.awaitingAdmission, job)
			if job.Placements != nil {
				records = mergeRecords(records, job.Placements.Previous())
			}
			if len(records) == 0 || c.requestsByJobID[job.ID] != nil {
				c.handleArrival(job, ingress)
				return
			}
			c.admitResent(job, ingress, records)
		})
	})
}

// mergeRecords adds records to others. Of two records of the same group the older one counts,
// because its deduplication window ends first.
func mergeRecords(records, added []OutcomeRecord) []OutcomeRecord {
	for _, a := range added {
		i := slices.IndexFunc(records, func(r OutcomeRecord) bool { return r.Zone == a.Zone && r.Cell == a.Cell })
		if i < 0 {
			records = append(records, a)
		} else {
			records[i].Age = max(records[i].Age, a.Age)
		}
	}
	return records
}

// admitResent admits a job that was sent before, by this or another dispatcher. The decision module
// is told of the earlier attempts, which may have run. A job that must not run twice fails. If a
// group where it may have run has no listed worker, the job is rejected for a later retry, because
// no other group would detect the duplicate.
func (c *Core) admitResent(job *Job, ingress Ingress, records []OutcomeRecord) {
	r := c.newRequest(job, ingress)
	ev := c.arrivalEvent(r)
	if c.cfg.Classes[job.Class].Effect == decision.Unsafe {
		c.respond(r.id, Response{Verdict: Failed}, reasonAlreadySent)
		c.removeIfDone(r)
		return
	}
	for _, record := range records {
		w := c.representative(job, record)
		if w == nil {
			c.respond(r.id, Response{Verdict: Rejected, RetryAfter: c.cfg.Limits.MaxRetryAfter}, reasonGroupNotListed)
			c.removeIfDone(r)
			return
		}
		ev.PriorAttempts = append(ev.PriorAttempts, c.addPriorAttempt(r, w, c.now-record.Age))
	}
	c.addEvent(ev)
}

// addPriorAttempt adds an attempt of another dispatcher to a request and returns it in the decision
// module's form. It also adds an entry to the span record, which has one for each attempt.
func (c *Core) addPriorAttempt(r *request, w *worker, sentAt time.Duration) decision.AttemptRecord {
	r.attempts = append(r.attempts, attemptState{workerNumber: w.number, worker: w, deadline: r.deadline, accepted: true, ended: true})
	if r.record != nil {
		r.record.StartAttempt(trace.Attempt{Backend: w.uid, Sent: sentAt, Ended: c.now, Outcome: outcomeNames[decision.TimedOut]})
	}
	return decision.AttemptRecord{Worker: w.number, SentAt: sentAt, Ended: true, Outcome: decision.TimedOut}
}

// representative returns a listed worker of a group to stand for the group, nil if there is none.
// The decision module never sends a job to the same worker twice, so a worker that gets no work is
// preferred, then the one that was listed first.
func (c *Core) representative(job *Job, record OutcomeRecord) (found *worker) {
	better := func(a, b *worker) bool {
		if x, y := a.member.State == decision.Ready, b.member.State == decision.Ready; x != y {
			return y
		}
		return a.number < b.number
	}
	group := OutcomeRecord{Zone: record.Zone, Cell: record.Cell}
	for _, w := range c.workers {
		if c.dedupGroup(job, w) == group && (found == nil || better(w, found)) {
			found = w
		}
	}
	return found
}

// dedupGroup returns the group of workers that detects duplicates of a job sent to w.
func (c *Core) dedupGroup(job *Job, w *worker) OutcomeRecord {
	switch c.cfg.Classes[job.Class].DedupScope {
	case decision.ScopeZone:
		return OutcomeRecord{Zone: w.zone}
	case decision.ScopeCell:
		return OutcomeRecord{Zone: w.zone, Cell: w.member.Cell}
	}
	return OutcomeRecord{}
}

// dedupWindow returns the deduplication window of a job whose first attempt is sent now. A job that
// must not run twice is recorded for as long as its client may retry it.
func (c *Core) dedupWindow(job *Job) time.Duration {
	class := c.cfg.Classes[job.Class]
	if class.Effect == decision.Unsafe {
		return class.ClientTimeout + c.cfg.Limits.MaxRetryAfter
	}
	return class.DedupWindow
}

// sendRecorded sends an attempt once another dispatcher has its record and, if the job has
// Placements, the members have agreed on its group.
func (c *Core) sendRecorded(r *request, attempt int, w *worker) {
	r.attempts[attempt].recorded = true
	group, window := c.dedupGroup(r.job, w), c.dedupWindow(r.job)
	record := func() {
		c.outcomeStore.RecordSending(r.job, group, window, func() {
			c.mailbox.Put(func(c *Core) { c.sendAfterRecord(r, attempt, w) })
		})
	}
	if r.job.Placements == nil {
		record()
		return
	}
	r.job.Placements.Propose(group, window, func(agreed bool) {
		if agreed {
			record()
			return
		}
		c.mailbox.Put(func(c *Core) {
			if c.requests[r.id] == r {
				c.endAttempt(r, attempt, decision.NotSent, nil)
			}
		})
	})
}

// sendAfterRecord sends an attempt that is recorded, unless it has ended meanwhile or the process
// has stalled.
func (c *Core) sendAfterRecord(r *request, attempt int, w *worker) {
	if c.requests[r.id] != r || r.attempts[attempt].ended {
		return
	}
	if c.stalled() {
		c.endAttempt(r, attempt, decision.NotSent, nil)
		return
	}
	w.backend.Send(c.newAttempt(r, attempt))
}

// recordNeverRan withdraws the record of an attempt that certainly never ran, unless another
// attempt of the request may have run in the same group. Otherwise a client that was rejected, and
// may therefore retry, would be restricted for a whole deduplication window to workers that can't
// be reached.
func (c *Core) recordNeverRan(r *request, attempt int) {
	a := &r.attempts[attempt]
	if !a.recorded || !a.neverRan {
		return
	}
	group := c.dedupGroup(r.job, a.worker)
	for i := range r.attempts {
		if other := &r.attempts[i]; other.recorded && !other.neverRan && c.dedupGroup(r.job, other.worker) == group {
			return
		}
	}
	c.outcomeStore.RecordNeverRan(r.job, group)
	if r.job.Placements != nil {
		r.job.Placements.Withdraw(group)
	}
}

// recordDone records that an attempt has completed its job.
func (c *Core) recordDone(r *request, a *attemptState, result []byte) {
	if c.recordsOutcome(r.job) && a.worker != nil {
		c.outcomeStore.RecordDone(r.job, c.dedupGroup(r.job, a.worker), c.dedupWindow(r.job), result)
	}
}
