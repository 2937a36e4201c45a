package jobs

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// Prefixes of the keys under which the store holds a job.
const (
	jobPrefix    = "j/" // followed by the job ID: protocol.JobRecord
	statusPrefix = "s/" // followed by the job ID: protocol.StatusRecord
	taskPrefix   = "t/" // followed by Step.TaskID: protocol.TaskRecord of a task that has been started
)

// Writes collects changes to the store. The newest change of a key replaces earlier ones. The zero
// value is empty. It is not safe for concurrent use.
type Writes struct {
	puts    map[string][]byte
	deletes map[string]struct{}
}

// Put records that the item with the given key is set to body.
func (w *Writes) Put(key string, body proto.Message) {
	value, err := proto.Marshal(body)
	if err != nil {
		// Encoding fails only for invalid UTF-8, which Validate rejects.
		panic("jobs: encode record: " + err.Error())
	}
	if w.puts == nil {
		w.puts = make(map[string][]byte)
	}
	w.puts[key] = value
	delete(w.deletes, key)
}

// Delete records that the item with the given key is removed.
func (w *Writes) Delete(key string) {
	if w.deletes == nil {
		w.deletes = make(map[string]struct{})
	}
	delete(w.puts, key)
	w.deletes[key] = struct{}{}
}

// Entry returns the writes as a log entry, sorted by key so that equal writes yield equal entries.
func (w *Writes) Entry() *protocol.Entry {
	e := &protocol.Entry{}
	for _, key := range slices.Sorted(maps.Keys(w.puts)) {
		e.Puts = append(e.Puts, &protocol.Put{Key: key, Value: w.puts[key]})
	}
	e.Deletes = slices.Sorted(maps.Keys(w.deletes))
	return e
}

// putStatus records the current state of a job.
func (w *Writes) putStatus(j *Job) {
	w.Put(statusPrefix+j.ID, &protocol.StatusRecord{State: uint32(j.State), EndedMs: j.EndedMs, Queue: j.Queue, Content: j.ContentDigest})
}

// putTask records the current state of the step's task with the given index.
func (w *Writes) putTask(s *Step, index int) {
	t := &s.Tasks[index]
	w.Put(taskPrefix+s.TaskID(index), &protocol.TaskRecord{
		Run: t.Run, Runner: t.Runner, State: uint32(t.Phase), Failures: uint32(t.Failures),
		Saved: t.Checkpoint, LastFailed: t.LastFailed, GangFailures: uint32(s.gangFailures), GangFailed: s.lastFailedRun,
	})
}

// StatusKey returns the store key of a job's state.
func StatusKey(id string) string { return statusPrefix + id }

// StatusItem is the decoded value of the item under StatusKey.
type StatusItem struct {
	State State
	Queue string
}

// ParseStatus decodes the value of the item under StatusKey. It returns an error if the value is
// not a valid record.
func ParseStatus(value []byte) (StatusItem, error) {
	var r protocol.StatusRecord
	if err := proto.Unmarshal(value, &r); err != nil {
		return StatusItem{}, errors.Wrap(err, "jobs: decode job status")
	}
	return StatusItem{State: State(r.GetState()), Queue: r.GetQueue()}, nil
}
