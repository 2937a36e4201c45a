package jobs

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// The prefixes of the keys of a job's items in the store.
const (
	jobPrefix    = "j/" // then the ID; protocol.JobRecord
	statusPrefix = "s/" // then the ID; protocol.StatusRecord
	taskPrefix   = "t/" // then the task's name; protocol.TaskRecord, for tasks that have been started
)

// Writes gathers what is to be written to the store. The newest write of a key counts. The zero value is empty. It is
// not safe for concurrent use.
type Writes struct {
	puts    map[string][]byte
	deletes map[string]struct{}
}

// Put sets an item.
func (w *Writes) Put(key string, body proto.Message) {
	value, err := proto.Marshal(body)
	if err != nil {
		panic("jobs: a record can't be encoded: " + err.Error()) // only for invalid UTF-8, which Validate rules out
	}
	if w.puts == nil {
		w.puts = make(map[string][]byte)
	}
	w.puts[key] = value
	delete(w.deletes, key)
}

// Delete removes an item.
func (w *Writes) Delete(key string) {
	if w.deletes == nil {
		w.deletes = make(map[string]struct{})
	}
	delete(w.puts, key)
	w.deletes[key] = struct{}{}
}

// Entry returns the writes as an entry of the log, by key, so that equal writes lead to equal entries.
func (w *Writes) Entry() *protocol.Entry {
	e := &protocol.Entry{}
	for _, key := range slices.Sorted(maps.Keys(w.puts)) {
		e.Puts = append(e.Puts, &protocol.Put{Key: key, Value: w.puts[key]})
	}
	e.Deletes = slices.Sorted(maps.Keys(w.deletes))
	return e
}

// putStatus writes the state of a job.
func (w *Writes) putStatus(j *Job) {
	w.Put(statusPrefix+j.ID, &protocol.StatusRecord{State: uint32(j.State), EndedMs: j.EndedMs, Queue: j.Queue, Content: j.ContentDigest})
}

// putTask writes a task.
func (w *Writes) putTask(s *Step, index int) {
	t := &s.Tasks[index]
	w.Put(taskPrefix+s.TaskID(index), &protocol.TaskRecord{
		Run: t.Run, Runner: t.Runner, State: uint32(t.Phase), Failures: uint32(t.Failures),
		Saved: t.Checkpoint, LastFailed: t.LastFailed, GangFailures: uint32(s.gangFailures), GangFailed: s.lastFailedRun,
	})
}

// StatusKey returns the key of the item that holds a job's state.
func StatusKey(id string) string { return statusPrefix + id }

// StatusItem is what the item of a job's state says.
type StatusItem struct {
	State State
	Queue string
}

// ParseStatus returns what the item of a job's state says, and an error where it can't be decoded.
func ParseStatus(value []byte) (StatusItem, error) {
	var r protocol.StatusRecord
	if err := proto.Unmarshal(value, &r); err != nil {
		return StatusItem{}, errors.Wrap(err, "jobs: a job's state can't be read")
	}
	return StatusItem{State: State(r.GetState()), Queue: r.GetQueue()}, nil
}
