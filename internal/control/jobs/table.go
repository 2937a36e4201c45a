package jobs

import (
	"bytes"
	"container/heap"
	"crypto/sha256"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

// Table holds all jobs. It is not safe for concurrent use.
type Table struct {
	jobs     map[string]*Job
	sequence uint64
	schedule scheduleHeap // jobs with times that have not fallen due
	ended    []*Job       // in the order of their ends
	Writes   *Writes      // what has been changed since it was last taken

	ready  []*Step  // steps that have become ready since they were last taken
	toStop []RunRef // runs that have lost their reason since they were last taken
}

// RunRef names a run of a task.
type RunRef struct {
	Task   string
	Number uint32
	Runner string
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{jobs: make(map[string]*Job), Writes: &Writes{}} }

// TakeWrites returns what has been changed since the last call.
func (t *Table) TakeWrites() *Writes {
	w := t.Writes
	t.Writes = &Writes{}
	return w
}

// TakeReady returns the steps that have got tasks to start since the last call; a step may come again.
func (t *Table) TakeReady() []*Step {
	out := t.ready
	t.ready = nil
	return out
}

// TakeStops returns the runs that are to be stopped since the last call.
func (t *Table) TakeStops() []RunRef {
	out := t.toStop
	t.toStop = nil
	return out
}

// Get returns a job, nil if it is not known.
func (t *Table) Get(id string) *Job { return t.jobs[id] }

// Len returns how many jobs are known.
func (t *Table) Len() int { return len(t.jobs) }

// Each calls f with every job, in no order.
func (t *Table) Each(visit func(*Job)) {
	for _, j := range t.jobs {
		visit(j)
	}
}

// Accept takes a job in that was not known.
func (t *Table) Accept(s *protocol.Submit, service string, nowMs int64) *Job {
	t.sequence++
	j := newJob(&protocol.JobRecord{Submit: s, Service: service, Sequence: t.sequence, AcceptedMs: nowMs})
	j.ContentDigest = contentDigest(s)
	t.jobs[j.ID] = j
	t.Writes.Put(jobPrefix+j.ID, &protocol.JobRecord{Submit: s, Service: service, Sequence: j.Sequence, AcceptedMs: nowMs})
	t.setState(j, Pending, nowMs)
	heap.Push(&t.schedule, j)
	t.ReleaseOccurrences(nowMs)
	return j
}

// digestLength is how many bytes of a digest are kept with a job.
const digestLength = 16

// contentDigest returns a digest of what a job's client sent, whichever queue it came by.
func contentDigest(s *protocol.Submit) []byte {
	body := proto.Clone(s).(*protocol.Submit)
	body.Queue, body.AgeMs = "", 0
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(body)
	if err != nil {
		panic("jobs: a job can't be encoded: " + err.Error()) // only for invalid UTF-8, which acceptance rules out
	}
	sum := sha256.Sum256(encoded)
	return sum[:digestLength]
}

// SameContent tells whether a client has sent the very job that was accepted. Jobs that an earlier program has
// accepted are not known well enough to tell.
func (j *Job) SameContent(s *protocol.Submit) bool {
	return len(j.ContentDigest) == 0 || encodable(s) && bytes.Equal(j.ContentDigest, contentDigest(s))
}

// encodable tells whether a job's texts can be encoded; Check says so of each that is accepted.
func encodable(s *protocol.Submit) bool { return Validate(s) == "" }

func newJob(r *protocol.JobRecord) *Job {
	s := r.GetSubmit()
	return &Job{ID: s.GetId(), Queue: s.GetQueue(), Service: r.GetService(), Spec: s.GetSpec(), Stages: s.GetStages(), OccurrenceCount: max(1, int(s.GetMaxRuns())),
		StartAtMs: s.GetStartAtMs(), IntervalMs: s.GetIntervalMs(), Sequence: r.GetSequence(), AcceptedMs: r.GetAcceptedMs(), State: Pending}
}

// setState is the one place where a job's state changes.
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

// stopRuns has all runs of a job that has ended stopped.
func (t *Table) stopRuns(j *Job) {
	for _, o := range j.occurrences {
		for _, s := range o.Steps {
			for i := range s.Tasks {
				if s.Tasks[i].Phase == Live {
					t.toStop = append(t.toStop, RunRef{Task: s.TaskID(i), Number: s.Tasks[i].Run, Runner: s.Tasks[i].Runner})
				}
			}
		}
	}
}

// pruneEnded removes all but the state of a job that has ended and runs nothing any more.
func (t *Table) pruneEnded(j *Job) {
	if !j.State.Final() || j.liveRuns > 0 || j.Stages == nil {
		return
	}
	t.Writes.Delete(jobPrefix + j.ID)
	for _, o := range j.occurrences {
		for _, s := range o.Steps {
			for i := range s.Tasks {
				if s.Tasks[i].Run > 0 {
					t.Writes.Delete(taskPrefix + s.TaskID(i))
				}
			}
		}
	}
	j.Stages, j.occurrences, j.Spec = nil, nil, ""
}

// Cancel ends a job at its client's wish; it returns false where the job is not known.
func (t *Table) Cancel(id string, nowMs int64) bool {
	j := t.jobs[id]
	if j == nil {
		return false
	}
	t.setState(j, Canceled, nowMs)
	return true
}

// Expire removes jobs that ended before a time of day, up to a number of them.
func (t *Table) Expire(cutoffMs int64, limit int) {
	for ; limit > 0 && len(t.ended) > 0 && t.ended[0].EndedMs < cutoffMs && t.ended[0].liveRuns == 0; limit-- {
		j := t.ended[0]
		t.ended = t.ended[1:]
		delete(t.jobs, j.ID)
		t.Writes.Delete(statusPrefix + j.ID)
	}
}

// ReleaseOccurrences makes the times that have fallen due.
func (t *Table) ReleaseOccurrences(nowMs int64) {
	for t.schedule.Len() > 0 {
		j := t.schedule[0]
		if !j.State.Final() && len(j.occurrences) < j.OccurrenceCount && j.ScheduledMs(len(j.occurrences)) > nowMs {
			return
		}
		if j.State.Final() || len(j.occurrences) == j.OccurrenceCount {
			heap.Pop(&t.schedule)
			continue
		}
		o := t.addOccurrence(j)
		heap.Fix(&t.schedule, 0)
		for _, s := range o.Steps {
			t.enqueueReady(s)
		}
	}
}

// NextScheduledMs returns when the next time falls due, as a time of day, and false where none does.
func (t *Table) NextScheduledMs() (int64, bool) {
	if t.schedule.Len() == 0 {
		return 0, false
	}
	j := t.schedule[0]
	return j.ScheduledMs(len(j.occurrences)), true
}

func (t *Table) addOccurrence(j *Job) *Occurrence {
	o := &Occurrence{Job: j, Number: len(j.occurrences)}
	for i, stage := range j.Stages {
		o.Steps = append(o.Steps, &Step{Job: j, Occurrence: o, Number: i, Stage: stage, Tasks: make([]Task, stage.GetCount()), Waiting: int(stage.GetCount())})
	}
	j.occurrences = append(j.occurrences, o)
	return o
}

// enqueueReady notes a step whose tasks may be started.
func (t *Table) enqueueReady(s *Step) {
	if s.Waiting > 0 && s.Ready() {
		t.ready = append(t.ready, s)
	}
}

// FindStep returns the step of a task, nil where the job, time, step or task is not known.
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

// scheduleHeap orders jobs by when their next time falls due.
type scheduleHeap []*Job

func (h scheduleHeap) Len() int { return len(h) }
func (h scheduleHeap) Less(a, b int) bool {
	return h[a].ScheduledMs(len(h[a].occurrences)) < h[b].ScheduledMs(len(h[b].occurrences))
}
func (h scheduleHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push is part of heap.Interface.
func (h *scheduleHeap) Push(x any) { *h = append(*h, x.(*Job)) }

// Pop is part of heap.Interface.
func (h *scheduleHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Load makes the table of what a store holds.
func Load(s *store.Store) (*Table, error) {
	t := NewTable()
	var problem error
	tasks := make(map[string]*protocol.TaskRecord)
	statuses := make(map[string]*protocol.StatusRecord)
	s.Each(func(key string, value []byte) {
		switch {
		case strings.HasPrefix(key, jobPrefix):
			var r protocol.JobRecord
			problem = errors.CombineErrors(problem, proto.Unmarshal(value, &r))
			j := newJob(&r)
			t.jobs[j.ID] = j
			t.sequence = max(t.sequence, j.Sequence)
		case strings.HasPrefix(key, statusPrefix):
			r := &protocol.StatusRecord{}
			problem = errors.CombineErrors(problem, proto.Unmarshal(value, r))
			statuses[strings.TrimPrefix(key, statusPrefix)] = r
		case strings.HasPrefix(key, taskPrefix):
			r := &protocol.TaskRecord{}
			problem = errors.CombineErrors(problem, proto.Unmarshal(value, r))
			tasks[strings.TrimPrefix(key, taskPrefix)] = r
		}
	})
	if problem != nil {
		return nil, errors.Wrap(problem, "jobs: the stored state can't be read")
	}
	t.loadStatuses(statuses)
	t.loadTasks(tasks)
	t.deriveState()
	return t, nil
}

func (t *Table) loadStatuses(statuses map[string]*protocol.StatusRecord) {
	for id, r := range statuses {
		j := t.jobs[id]
		if j == nil {
			j = &Job{ID: id, Queue: r.GetQueue()}
			t.jobs[id] = j
		}
		j.State, j.EndedMs, j.ContentDigest = State(r.GetState()), r.GetEndedMs(), r.GetContent()
		if j.State.Final() {
			t.ended = append(t.ended, j)
		}
	}
	slices.SortFunc(t.ended, func(a, b *Job) int { return int(a.EndedMs - b.EndedMs) })
}

func (t *Table) loadTasks(tasks map[string]*protocol.TaskRecord) {
	for id, r := range tasks {
		name, ok := ParseTask(id)
		j := t.jobs[name.Job]
		if !ok || j == nil || j.Stages == nil {
			continue
		}
		for len(j.occurrences) <= name.Occurrence {
			t.addOccurrence(j)
		}
		s := t.FindStep(name)
		if s == nil {
			continue
		}
		s.gangFailures, s.lastFailedRun = max(s.gangFailures, int(r.GetGangFailures())), max(s.lastFailedRun, r.GetGangFailed())
		s.maxRun = max(s.maxRun, r.GetRun())
		task := &s.Tasks[name.Index]
		*task = Task{Phase: Phase(r.GetState()), Run: r.GetRun(), Runner: r.GetRunner(), Failures: int(r.GetFailures()), Checkpoint: r.GetSaved(), LastFailed: r.GetLastFailed()}
		if task.Phase != Waiting {
			s.Waiting--
		}
		if task.Phase == Done || task.Phase == DoneLive {
			s.doneTasks++
		}
		if task.Phase == Live || task.Phase == DoneLive {
			j.liveRuns++
		}
	}
}

// deriveState derives what is not stored: what is finished and what is ready.
func (t *Table) deriveState() {
	for _, id := range slices.Sorted(maps.Keys(t.jobs)) {
		j := t.jobs[id]
		if j.Stages == nil {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.Steps {
				if s.doneTasks == len(s.Tasks) {
					o.doneSteps++
				}
				t.enqueueReady(s)
			}
			if o.doneSteps == len(o.Steps) {
				j.finishedOccurrences++
			}
		}
		if !j.State.Final() {
			t.schedule = append(t.schedule, j)
		} else {
			t.stopRuns(j)
		}
	}
	heap.Init(&t.schedule)
}
