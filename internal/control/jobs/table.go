package jobs

import (
	"container/heap"

	"frosttide/internal/protocol"
)

// Table holds all jobs that are known. The package comment gives its invariants. It is not safe for concurrent use.
type Table struct {
	jobs     map[string]*Job // by ID
	sequence uint64          // of the newest job
	schedule scheduleHeap    // jobs with occurrences that have not been released
	ended    []*Job          // in the order of their ends

	// Output that waits to be taken.
	Writes *Writes  // what has changed
	ready  []*Step  // steps that have got tasks to start
	toStop []RunRef // runs whose jobs have ended
}

// RunRef names a run of a task, with its runner.
type RunRef struct {
	Task   string
	Number uint32
	Runner string
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{jobs: make(map[string]*Job), Writes: &Writes{}} }

// TakeWrites returns what has changed since the last call, to be written to the store.
func (t *Table) TakeWrites() *Writes {
	w := t.Writes
	t.Writes = &Writes{}
	return w
}

// TakeReady returns the steps that have got tasks to start since the last call. A step may be among them more than
// once.
func (t *Table) TakeReady() []*Step {
	ready := t.ready
	t.ready = nil
	return ready
}

// TakeStops returns the runs that are to be stopped since the last call.
func (t *Table) TakeStops() []RunRef {
	stops := t.toStop
	t.toStop = nil
	return stops
}

// Get returns a job, nil where the ID is not known.
func (t *Table) Get(id string) *Job { return t.jobs[id] }

// Each calls visit with every job, in no order.
func (t *Table) Each(visit func(*Job)) {
	for _, j := range t.jobs {
		visit(j)
	}
}

// FindStep returns the step of a task, nil where the job, occurrence, step or task is not known.
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

// EachLiveRun calls visit with the task of every run that may be under way, in the order of the jobs' IDs.
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

// Accept adds a job whose ID is not known and whose submission is valid, and releases the occurrences whose scheduled
// times have come.
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

// newJob returns the job of a record, before any of it has run.
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

// Cancel ends a job as canceled, unless it has ended. It returns false where the ID is not known.
func (t *Table) Cancel(id string, nowMs int64) bool {
	j := t.jobs[id]
	if j == nil {
		return false
	}
	t.setState(j, Canceled, nowMs)
	return true
}

// Expire forgets jobs that ended before a cut-off and of which no run may be under way, the oldest ends first and at
// most limit.
func (t *Table) Expire(cutoffMs int64, limit int) {
	for ; limit > 0 && len(t.ended) > 0 && t.ended[0].EndedMs < cutoffMs && t.ended[0].liveRuns == 0; limit-- {
		j := t.ended[0]
		t.ended = t.ended[1:]
		delete(t.jobs, j.ID)
		t.Writes.Delete(statusPrefix + j.ID)
	}
}

// setState is the one place where a job's state changes. A final state stops the job's runs.
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

// stopRuns has the runs of a job that has ended stopped.
func (t *Table) stopRuns(j *Job) {
	j.EachStep(func(s *Step) {
		for i := range s.Tasks {
			if s.Tasks[i].Phase == Live {
				t.toStop = append(t.toStop, RunRef{Task: s.TaskID(i), Number: s.Tasks[i].Run, Runner: s.Tasks[i].Runner})
			}
		}
	})
}

// pruneEnded removes all but the state of a job that has ended and of which no run may be under way.
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
