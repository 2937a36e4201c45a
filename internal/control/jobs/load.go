package jobs

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

// Load builds the table from the records in a store. It returns an error if a record can't be
// decoded. Ready steps and runs that have to be stopped are in the first output of TakeReady and
// TakeStops; there is nothing to write.
func Load(state *store.Store) (*Table, error) {
	t := NewTable()
	var err error
	tasks := make(map[string]*protocol.TaskRecord)
	statuses := make(map[string]*protocol.StatusRecord)
	state.ForEach(func(key string, value []byte) {
		switch {
		case strings.HasPrefix(key, jobPrefix):
			var r protocol.JobRecord
			err = errors.CombineErrors(err, proto.Unmarshal(value, &r))
			j := newJob(&r)
			t.jobs[j.ID] = j
			t.sequence = max(t.sequence, j.Sequence)
		case strings.HasPrefix(key, statusPrefix):
			r := &protocol.StatusRecord{}
			err = errors.CombineErrors(err, proto.Unmarshal(value, r))
			statuses[strings.TrimPrefix(key, statusPrefix)] = r
		case strings.HasPrefix(key, taskPrefix):
			r := &protocol.TaskRecord{}
			err = errors.CombineErrors(err, proto.Unmarshal(value, r))
			tasks[strings.TrimPrefix(key, taskPrefix)] = r
		}
	})
	if err != nil {
		return nil, errors.Wrap(err, "jobs: the stored state can't be read")
	}
	t.loadStatuses(statuses)
	t.loadTasks(tasks)
	t.deriveState()
	return t, nil
}

// loadStatuses sets the states of the jobs. It adds a job for a status without a job record: the
// status is all that is stored of a job that has ended and has no runs left. A tombstone has no job.
func (t *Table) loadStatuses(statuses map[string]*protocol.StatusRecord) {
	for id, r := range statuses {
		if r.GetTombstone() {
			t.tombstones[id] = r.GetEndedMs()
			continue
		}
		j := t.jobs[id]
		if j == nil {
			j = &Job{ID: id, Queue: r.GetQueue()}
			t.jobs[id] = j
		}
		j.State, j.EndedMs, j.ContentDigest, j.CanceledMs = State(r.GetState()), r.GetEndedMs(), r.GetContent(), r.GetCanceledMs()
		if j.State.Final() {
			t.ended = append(t.ended, j)
		}
	}
	slices.SortFunc(t.ended, func(a, b *Job) int { return cmp.Compare(a.retainedFromMs(), b.retainedFromMs()) })
}

// loadTasks restores the tasks that have been started, and creates the occurrences that they belong
// to. Records of jobs without stages are ignored.
func (t *Table) loadTasks(tasks map[string]*protocol.TaskRecord) {
	for id, r := range tasks {
		name, ok := ParseTask(id)
		j := t.jobs[name.Job]
		if !ok || j == nil || j.Stages == nil {
			continue
		}
		for len(j.occurrences) <= name.Occurrence {
			j.addOccurrence()
		}
		if s := t.FindStep(name); s != nil {
			t.loadTask(s, name.Index, r)
		}
	}
}

// loadTask restores one task from its record.
func (t *Table) loadTask(s *Step, index int, r *protocol.TaskRecord) {
	s.gangFailures, s.lastFailedRun = max(s.gangFailures, int(r.GetGangFailures())), max(s.lastFailedRun, r.GetGangFailed())
	s.maxRun = max(s.maxRun, r.GetRun())
	t.setPhase(s, index, Phase(r.GetState()))
	task := &s.Tasks[index]
	task.Run, task.Runner = r.GetRun(), r.GetRunner()
	task.Failures, task.LastFailed = int(r.GetFailures()), r.GetLastFailed()
	task.Checkpoint = r.GetSaved()
}

// deriveState computes what is not stored: the counts of done steps and finished occurrences, the
// ready steps, the schedule, and the runs to stop.
func (t *Table) deriveState() {
	for _, j := range t.sorted() {
		if j.Stages == nil {
			continue
		}
		for _, o := range j.occurrences {
			o.countDone()
			for _, s := range o.Steps {
				t.enqueueReady(s)
			}
		}
		j.countFinished()
		if !j.State.Final() {
			t.schedule = append(t.schedule, j)
		} else {
			t.stopRuns(j)
		}
	}
	heap.Init(&t.schedule)
}

// sorted returns all jobs, ordered by ID, so that iteration is deterministic.
func (t *Table) sorted() []*Job {
	all := make([]*Job, 0, len(t.jobs))
	for _, id := range slices.Sorted(maps.Keys(t.jobs)) {
		all = append(all, t.jobs[id])
	}
	return all
}
