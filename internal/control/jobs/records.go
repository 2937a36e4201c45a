package jobs

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// The prefixes of the items' keys.
const (
	jobPrefix    = "j/"
	statusPrefix = "s/"
	taskPrefix   = "t/"
)

// Writes gathers what is to be written to the store. The newest write of a key counts.
type Writes struct {
	puts    map[string][]byte
	deletes map[string]struct{}
}

// Put sets an item.
func (w *Writes) Put(key string, body proto.Message) {
	value, err := proto.Marshal(body)
	if err != nil {
		panic("jobs: a record can't be encoded: " + err.Error()) // only for invalid UTF-8, which acceptance rules out
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

// Empty tells whether there is nothing to write.
func (w *Writes) Empty() bool { return len(w.puts) == 0 && len(w.deletes) == 0 }

// Entry returns the writes as an entry of the chain, by key, so that equal states write equal entries.
func (w *Writes) Entry() *protocol.Entry {
	e := &protocol.Entry{}
	for _, key := range slices.Sorted(maps.Keys(w.puts)) {
		e.Puts = append(e.Puts, &protocol.Put{Key: key, Value: w.puts[key]})
	}
	e.Deletes = slices.Sorted(maps.Keys(w.deletes))
	return e
}

// putStatus writes a job's state.
func (w *Writes) putStatus(j *Job) {
	w.Put(statusPrefix+j.ID, &protocol.StatusRecord{State: uint32(j.State), EndedMs: j.EndedMs, Queue: j.Queue, Content: j.ContentDigest})
}

// putTask writes a task.
func (w *Writes) putTask(s *Step, index int) {
	t := &s.Tasks[index]
	w.Put(taskPrefix+s.TaskID(index), &protocol.TaskRecord{Run: t.Run, Runner: t.Runner, State: uint32(t.Phase), Failures: uint32(t.Failures),
		Saved: t.Checkpoint, LastFailed: t.LastFailed, GangFailures: uint32(s.gangFailures), GangFailed: s.lastFailedRun})
}

// StatusKey returns the key of a job's state.
func StatusKey(id string) string { return statusPrefix + id }

// StatusItem is what a job's state item says.
type StatusItem struct {
	State State
	Queue string
}

// ParseStatus reads a job's state item.
func ParseStatus(value []byte) (StatusItem, error) {
	var r protocol.StatusRecord
	if err := proto.Unmarshal(value, &r); err != nil {
		return StatusItem{}, errors.Wrap(err, "jobs: a job's state can't be read")
	}
	return StatusItem{State: State(r.GetState()), Queue: r.GetQueue()}, nil
}
