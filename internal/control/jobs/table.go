package jobs

import (
	"container/heap"
	"slices"

	"frosttide/internal/protocol"
)

// Table holds all known jobs. The package comment lists its invariants. It is not safe for
// concurrent use.
type Table struct {
	jobs     map[string]*Job // by ID
	sequence uint64          // sequence number of the newest job
	schedule scheduleHeap    // jobs that may have occurrences to release
	ended    []*Job          // ended jobs, ordered by Job.retainedFromMs

	tombstones tombstones // IDs that were canceled before a job with them was accepted

	// Output that the caller has not taken yet.
	Writes *Writes  // changed records
	ready  []*Step  // steps that have tasks to start
	toStop []RunRef // runs whose jobs have ended
}

// RunRef identifies a run by its task (see Step.TaskID) and number, and names its runner.
type RunRef struct {
	Task   string
	Number uint32
	Runner string
}

// NewTable returns a table without jobs.
func NewTable() *Table {
	return &Table{jobs: make(map[string]*Job), tombstones: make(tombstones), Writes: &Writes{}}
}

// TakeWrites returns the changes since the last call, which the caller writes to the store.
func (t *Table) TakeWrites() *Writes {
	w := t.Writes
	t.Writes = &Writes{}
	return w
}

// TakeReady returns the steps that have become ready, or got tasks to start again, since the last
// call. A step may be listed more than once.
func (t *Table) TakeReady() []*Step {
	ready := t.ready
	t.ready = nil
	return ready
}

// TakeStops returns the runs that have to be stopped because their jobs have ended since the last
// call.
func (t *Table) TakeStops() []RunRef {
	stops := t.toStop
	t.toStop = nil
	return stops
}

// Get returns the job with the given ID, or nil if the ID is unknown.
func (t *Table) Get(id string) *Job { return t.jobs[id] }

// Each calls visit for every job, in unspecified order.
func (t *Table) Each(visit func(*Job)) {
	for _, j := range t.jobs {
		visit(j)
	}
}

// FindStep returns the step that a task belongs to, or nil if the job, occurrence, step or task is
// unknown.
func (t *Table) FindStep(name TaskName) *Step {
	j := t.jobs[name.Job]
	if j == nil || name.Occurrence >= len(j.occurrences) || name.Step >= len(j.Stages) {
		return nil
	}
	s := j.occurrences[name.Occurrence].Steps[name.Step]
	if name.Index >= len(s.Tasks) {
		return nil
	}
	return s
}

// EachLiveRun calls visit for the task of every run that may be in progress, ordered by job ID.
func (t *Table) EachLiveRun(visit func(s *Step, index int)) {
	for _, j := range t.sorted() {
		j.EachStep(func(s *Step) {
			for i := range s.Tasks {
				if p := s.Tasks[i].Phase; p == Live || p == DoneLive {
					visit(s, i)
				}
			}
		})
	}
}

// Accept adds a job and releases the occurrences that are already due. The submission must be valid
// (see Validate) and its ID must be unknown to the table.
func (t *Table) Accept(s *protocol.Submit, service string, nowMs int64) *Job {
	t.sequence++
	record := &protocol.JobRecord{Submit: s, Service: service, Sequence: t.sequence, AcceptedMs: nowMs}
	j := newJob(record)
	j.ContentDigest = contentDigest(s)
	t.jobs[j.ID] = j
	t.Writes.Put(jobPrefix+j.ID, record)
	t.setState(j, Pending, nowMs)
	heap.Push(&t.schedule, j)
	t.ReleaseOccurrences(nowMs)
	return j
}

// newJob returns the job that a record describes, pending and without occurrences.
func newJob(r *protocol.JobRecord) *Job {
	s := r.GetSubmit()
	return &Job{
		ID:              s.GetId(),
		Queue:           s.GetQueue(),
		Service:         r.GetService(),
		Spec:            s.GetSpec(),
		Stages:          s.GetStages(),
		OccurrenceCount: max(1, int(s.GetMaxRuns())),
		StartAtMs:       s.GetStartAtMs(),
		IntervalMs:      s.GetIntervalMs(),
		Sequence:        r.GetSequence(),
		AcceptedMs:      r.GetAcceptedMs(),
		State:           Pending,
	}
}

// Cancel ends a job as canceled; the state of a job that has already ended is left unchanged. It
// returns false if the ID is unknown.
func (t *Table) Cancel(id string, nowMs int64) bool {
	j := t.jobs[id]
	if j == nil {
		return false
	}
	if j.State.Final() {
		t.Retain(j, nowMs)
		return true
	}
	t.setState(j, Canceled, nowMs)
	return true
}

// Retain has a job that has ended expire as if it had ended now, so that a submission of its ID that
// was given up now is not accepted as a new job. It does nothing if the job has not ended.
func (t *Table) Retain(j *Job, nowMs int64) {
	if !j.State.Final() {
		return
	}
	j.CanceledMs = nowMs
	t.ended = slices.DeleteFunc(t.ended, func(other *Job) bool { return other == j })
	t.ended = append(t.ended, j)
	t.Writes.putStatus(j)
}

// Expire removes jobs that ended, and tombstones that were set, before cutoffMs, in this order. It
// removes at most limit of each and stops at the first job of which a run may be in progress.
func (t *Table) Expire(cutoffMs int64, limit int) {
	t.expireTombstones(cutoffMs, limit)
	for ; limit > 0 && len(t.ended) > 0 && t.ended[0].retainedFromMs() < cutoffMs && t.ended[0].liveRuns == 0; limit-- {
		j := t.ended[0]
		t.ended = t.ended[1:]
		delete(t.jobs, j.ID)
		t.Writes.Delete(statusPrefix + j.ID)
	}
}

// setState sets the state of a job unless the job has already ended. No other function changes a
// job's state. Entering a final state has the job's runs stopped.
func (t *Table) setState(j *Job, s State, nowMs int64) {
	if j.State.Final() {
		return
	}
	j.State = s
	if s.Final() {
		j.EndedMs = nowMs
		t.ended = append(t.ended, j)
		t.stopRuns(j)
	}
	t.Writes.putStatus(j)
	t.pruneEnded(j)
}

// stopRuns queues the runs of an ended job for TakeStops.
func (t *Table) stopRuns(j *Job) {
	j.EachStep(func(s *Step) {
		for i := range s.Tasks {
			if s.Tasks[i].Phase == Live {
				t.toStop = append(t.toStop, RunRef{Task: s.TaskID(i), Number: s.Tasks[i].Run, Runner: s.Tasks[i].Runner})
			}
		}
	})
}

// pruneEnded removes everything but the state of a job that has ended and has no run that may be in
// progress.
func (t *Table) pruneEnded(j *Job) {
	if !j.State.Final() || j.liveRuns > 0 || j.Stages == nil {
		return
	}
	t.Writes.Delete(jobPrefix + j.ID)
	j.EachStep(func(s *Step) {
		for i := range s.Tasks {
			if s.Tasks[i].Run > 0 {
				t.Writes.Delete(taskPrefix + s.TaskID(i))
			}
		}
	})
	j.Stages, j.occurrences, j.Spec = nil, nil, ""
}
