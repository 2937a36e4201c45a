package core

import (
	"slices"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/trace"
)

// OutcomeRecord is where another dispatcher has sent a job with the same key.
type OutcomeRecord struct {
	Zone string // of the group that drops its repeats; empty for all runners
	Cell int
	Age  time.Duration // since then
}

// OutcomeStore remembers, together with other dispatchers, where jobs with keys were sent. None of
// its methods blocks.
type OutcomeStore interface {
	// Lookup tells where a job was sent, by this process too, and may have run. Told is called once,
	// from any goroutine, soon: where others don't answer in time by what is known here.
	Lookup(job *Job, lookedUp func([]OutcomeRecord))
	// RecordSending makes known that a job is about to go to a runner of a group, whose window ends so
	// long from now. Send is called once, from any goroutine, when another dispatcher knows it,
	// or soon where none answers.
	RecordSending(job *Job, group OutcomeRecord, left time.Duration, send func())
	// RecordNeverRan makes known that what was said to go there surely never ran.
	RecordNeverRan(job *Job, group OutcomeRecord)
	// RecordDone makes known that it was done there.
	RecordDone(job *Job, group OutcomeRecord, left time.Duration, result []byte)
}

// Placements remembers for one job where it was sent, in what all members agree on. None of its methods
// blocks.
type Placements interface {
	// Previous tells where it may have run.
	Previous() []OutcomeRecord
	// Propose has agreed on that the job goes to a group, whose window ends so long from now. Send is
	// called once, from any goroutine: with true once it is, else it is not sent.
	Propose(group OutcomeRecord, left time.Duration, send func(agreed bool))
	// Withdraw takes back what was agreed on: it surely never ran there.
	Withdraw(group OutcomeRecord)
}

// SetOutcomeStore names who remembers the fates of jobs; nil for nobody. It is called before Run.
func (c *Core) SetOutcomeStore(records OutcomeStore) { c.outcomeStore = records }

// recordsOutcome tells whether others have to know of a job.
func (c *Core) recordsOutcome(job *Job) bool {
	return c.outcomeStore != nil && job.Key != "" && c.cfg.Classes[job.Class].Effect != decision.Safe
}

// lookUpOutcomes has the fate of a job found out before it is taken in. Guards against a client that
// leaves meanwhile: its job is not taken in any more.
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

// mergeRecords adds fates to others; of two of a group the older counts, as its window ends first.
func mergeRecords(records, more []OutcomeRecord) []OutcomeRecord {
	for _, more := range more {
		i := slices.IndexFunc(records, func(other OutcomeRecord) bool { return other.Zone == more.Zone && other.Cell == more.Cell })
		if i < 0 {
			records = append(records, more)
		} else {
			records[i].Age = max(records[i].Age, more.Age)
		}
	}
	return records
}

// admitResent takes in a job that was sent before, here or by another dispatcher: for the module it is one whose
// attempts may have run. What must not run twice fails, and what only runners of a group
// drop that is not listed here is refused, to be tried again.
func (c *Core) admitResent(job *Job, ingress Ingress, fates []OutcomeRecord) {
	r := c.newRequest(job, ingress)
	ev := c.arrivalEvent(r)
	if c.cfg.Classes[job.Class].Effect == decision.Unsafe {
		c.respond(r.id, Response{Verdict: Failed}, reasonAlreadySent)
		c.removeIfDone(r)
		return
	}
	for _, records := range fates {
		w := c.representative(job, records)
		if w == nil {
			c.respond(r.id, Response{Verdict: Rejected, RetryAfter: c.cfg.Limits.MaxRetryAfter}, reasonGroupNotListed)
			c.removeIfDone(r)
			return
		}
		ev.PriorAttempts = append(ev.PriorAttempts, decision.AttemptRecord{Worker: w.number, SentAt: c.now - records.Age, Ended: true, Outcome: decision.TimedOut})
		r.attempts = append(r.attempts, attemptState{workerNumber: w.number, worker: w, deadline: r.deadline, accepted: true, ended: true})
		if r.record != nil { // a story has a place for each hop
			r.record.StartAttempt(trace.Attempt{Backend: w.uid, Sent: c.now - records.Age, Ended: c.now, Outcome: outcomeNames[decision.TimedOut]})
		}
	}
	c.addEvent(ev)
}

// Why a job that was sent before is not sent again.
const (
	reasonAlreadySent    = "it was sent before, and it must not run twice"
	reasonGroupNotListed = "it was sent before to runners that are not listed here"
)

// representative returns a runner that stands for a group: one that gets no work if there is one, as the
// module sends no job again to where it was, and the first listed of those.
func (c *Core) representative(job *Job, records OutcomeRecord) (found *worker) {
	better := func(a, b *worker) bool {
		if x, y := a.member.State == decision.Ready, b.member.State == decision.Ready; x != y {
			return y
		}
		return a.number < b.number
	}
	for _, w := range c.workers {
		if c.dedupGroup(job, w) == (OutcomeRecord{Zone: records.Zone, Cell: records.Cell}) && (found == nil || better(w, found)) {
			found = w
		}
	}
	return found
}

// dedupGroup returns the group of a runner that drops the repeats of a job.
func (c *Core) dedupGroup(job *Job, w *worker) OutcomeRecord {
	switch c.cfg.Classes[job.Class].DedupScope {
	case decision.ScopeZone:
		return OutcomeRecord{Zone: w.zone}
	case decision.ScopeCell:
		return OutcomeRecord{Zone: w.zone, Cell: w.member.Cell}
	}
	return OutcomeRecord{}
}

// dedupWindow returns how long the window of a job is whose first attempt is sent now. What must not
// run twice is remembered for as long as its client may come again.
func (c *Core) dedupWindow(job *Job) time.Duration {
	class := c.cfg.Classes[job.Class]
	if class.Effect == decision.Unsafe {
		return class.ClientTimeout + c.cfg.Limits.MaxRetryAfter
	}
	return class.DedupWindow
}

// sendRecorded sends a hop once others know of it.
func (c *Core) sendRecorded(r *request, attempt int, w *worker) {
	r.attempts[attempt].recorded = true
	group, left := c.dedupGroup(r.job, w), c.dedupWindow(r.job)
	tell := func() {
		c.outcomeStore.RecordSending(r.job, group, left, func() {
			c.mailbox.Put(func(c *Core) {
				if c.requests[r.id] == r && !r.attempts[attempt].ended {
					if c.stalled() { // it stood still since
						c.endAttempt(r, attempt, decision.NotSent, nil)
						return
					}
					w.backend.Send(c.newAttempt(r, attempt))
				}
			})
		})
	}
	if r.job.Placements == nil {
		tell()
		return
	}
	r.job.Placements.Propose(group, left, func(agreed bool) {
		if agreed {
			tell()
			return
		}
		c.mailbox.Put(func(c *Core) {
			if c.requests[r.id] == r {
				c.endAttempt(r, attempt, decision.NotSent, nil)
			}
		})
	})
}

// recordNeverRan has others forget a hop that surely never ran, unless another of the request may have
// run in its group. Guards a client that was refused, as trying again is harmless, from being
// bound for a whole window to runners that nobody reaches.
func (c *Core) recordNeverRan(r *request, attempt int) {
	h := &r.attempts[attempt]
	if !h.recorded || !h.neverRan {
		return
	}
	group := c.dedupGroup(r.job, h.worker)
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

// recordDone makes known that a job was done by a hop.
func (c *Core) recordDone(r *request, h *attemptState, result []byte) {
	if c.recordsOutcome(r.job) && h.worker != nil {
		c.outcomeStore.RecordDone(r.job, c.dedupGroup(r.job, h.worker), c.dedupWindow(r.job), result)
	}
}
