package core

import (
	"slices"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/trace"
)

// Why a job that was sent before is not sent again. The words are part of span
// records.
const (
	reasonAlreadySent    = "it was sent before, and it must not run twice"
	reasonGroupNotListed = "it was sent before to runners that are not listed here"
)

// OutcomeRecord says that a job with the same key was sent to a group of workers
// that drops repeats among themselves. Without an age it names the group alone.
type OutcomeRecord struct {
	Zone string // of the group; empty for all workers
	Cell int
	Age  time.Duration // time since the job was sent
}

// OutcomeStore remembers, together with other dispatchers, where jobs with keys
// were sent. None of its methods blocks.
type OutcomeStore interface {
	// Lookup finds where a job was sent, by this process too, and may have run.
	// It calls found once, soon, from any goroutine; where other dispatchers don't
	// answer in time, with what is known here.
	Lookup(job *Job, found func([]OutcomeRecord))
	// RecordSending records that a job is about to be sent to a group whose
	// deduplication window ends after the given time. It calls send once, from any
	// goroutine, when another dispatcher has the record, or soon where none answers.
	RecordSending(job *Job, group OutcomeRecord, window time.Duration, send func())
	// RecordNeverRan records that a job that was to be sent to a group surely never
	// ran there.
	RecordNeverRan(job *Job, group OutcomeRecord)
	// RecordDone records that a group has done a job.
	RecordDone(job *Job, group OutcomeRecord, window time.Duration, result []byte)
}

// Placements remembers in the agreed log of the cluster where one job was sent.
// None of its methods blocks.
type Placements interface {
	// Previous returns the groups where the job may have run.
	Previous() []OutcomeRecord
	// Propose has the members agree that the job goes to a group whose deduplication
	// window ends after the given time. It calls decided once, from any goroutine;
	// the job is sent only if agreed is true.
	Propose(group OutcomeRecord, window time.Duration, decided func(agreed bool))
	// Withdraw takes back an agreed group where the job surely never ran.
	Withdraw(group OutcomeRecord)
}

// SetOutcomeStore sets the store of outcome records; nil for none. It must be
// called before Run.
func (c *Core) SetOutcomeStore(store OutcomeStore) { c.outcomeStore = store }

// recordsOutcome reports whether other dispatchers have to know of a job.
func (c *Core) recordsOutcome(job *Job) bool {
	return c.outcomeStore != nil && job.Key != "" && c.cfg.Classes[job.Class].Effect != decision.Safe
}

// lookUpOutcomes finds out where a job was sent before, and then takes it in. A
// job whose client leaves meanwhile is not taken in.
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
			if len(records) == 0 || c.byID[job.ID] != nil {
				c.handleArrival(job, ingress)
				return
			}
			c.admitResent(job, ingress, records)
		})
	})
}

// mergeRecords adds records to others. Of two records of one group the older
// counts, as its window ends first.
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

// admitResent takes in a job that was sent before, by this or another dispatcher;
// to the decision module its earlier attempts may have run. A job that must not
// run twice fails. One that only a group without a listed worker would drop is
// rejected, so that its client tries again.
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

// addPriorAttempt adds an attempt of another dispatcher to a request and returns
// it in the decision module's form. The span record has an entry for each attempt,
// so it gets one too.
func (c *Core) addPriorAttempt(r *request, w *worker, sentAt time.Duration) decision.AttemptRecord {
	r.attempts = append(r.attempts, attemptState{workerNumber: w.number, worker: w, deadline: r.deadline, accepted: true, ended: true})
	if r.record != nil {
		r.record.StartAttempt(trace.Attempt{Backend: w.uid, Sent: sentAt, Ended: c.now, Outcome: outcomeNames[decision.TimedOut]})
	}
	return decision.AttemptRecord{Worker: w.number, SentAt: sentAt, Ended: true, Outcome: decision.TimedOut}
}

// representative returns a worker that stands for a group, nil if none is listed.
// It prefers one that gets no work, because the module never sends a job again to
// a worker where it was, and among those the one listed first.
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

// dedupGroup returns the group of a worker that drops repeats of a job.
func (c *Core) dedupGroup(job *Job, w *worker) OutcomeRecord {
	switch c.cfg.Classes[job.Class].DedupScope {
	case decision.ScopeZone:
		return OutcomeRecord{Zone: w.zone}
	case decision.ScopeCell:
		return OutcomeRecord{Zone: w.zone, Cell: w.member.Cell}
	}
	return OutcomeRecord{}
}

// dedupWindow returns the deduplication window of a job whose first attempt is
// sent now. A job that must not run twice is remembered for as long as its client
// may retry it.
func (c *Core) dedupWindow(job *Job) time.Duration {
	class := c.cfg.Classes[job.Class]
	if class.Effect == decision.Unsafe {
		return class.ClientTimeout + c.cfg.Limits.MaxRetryAfter
	}
	return class.DedupWindow
}

// sendRecorded sends an attempt once the members have agreed on its group, where
// that is needed, and another dispatcher has its record.
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

// sendAfterRecord sends an attempt that others know of, unless it has ended or the
// process has stalled since it was decided on.
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

// recordNeverRan has other dispatchers forget an attempt that surely never ran,
// unless another attempt of the request may have run in the same group. Otherwise
// a client that is rejected, and so invited to retry, would be bound for a whole
// window to workers that nothing reaches.
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

// recordDone records that an attempt has done its job.
func (c *Core) recordDone(r *request, a *attemptState, result []byte) {
	if c.recordsOutcome(r.job) && a.worker != nil {
		c.outcomeStore.RecordDone(r.job, c.dedupGroup(r.job, a.worker), c.dedupWindow(r.job), result)
	}
}
