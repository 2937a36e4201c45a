package jobs

import (
	"maps"
	"slices"
	"unicode/utf8"

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

// ErrUnencodable marks the errors of changes that the log can't hold: protobuf encodes a key, and the
// strings of a record, only if they are valid UTF-8.
var ErrUnencodable = errors.New("jobs: the change can't be encoded")

// Writes collects changes to the store. The newest change of a key replaces earlier ones. The zero
// value is empty. It is not safe for concurrent use.
type Writes struct {
	puts    map[string][]byte
	deletes map[string]struct{}
	bytes   int   // of all changes that were made, replaced ones included
	err     error // of the first change that can't be encoded
}

// Err returns the error of the first change that can't be encoded, marked with ErrUnencodable, or nil.
// With such a change, none of the collected ones may be written.
func (w *Writes) Err() error { return w.err }

// Bytes returns an upper bound of the encoded size of the changes, in bytes.
func (w *Writes) Bytes() int { return w.bytes }

// changeOverhead is the most that a change takes in an entry beside its key and value, in bytes.
const changeOverhead = 16

// fail records that the change of a key can't be encoded.
func (w *Writes) fail(key string, err error) {
	if w.err == nil {
		w.err = errors.Mark(errors.Wrapf(err, "jobs: encode the item %q", key), ErrUnencodable)
	}
}

// errKey is the reason why a key can't be encoded.
var errKey = errors.New("the key is not valid UTF-8")

// Put records that the item with the given key is set to body. If that can't be encoded, Err returns
// the reason.
func (w *Writes) Put(key string, body proto.Message) {
	value, err := proto.Marshal(body)
	if err == nil && !utf8.ValidString(key) {
		err = errKey
	}
	if err != nil {
		w.fail(key, err)
		return
	}
	if w.puts == nil {
		w.puts = make(map[string][]byte)
	}
	w.puts[key] = value
	w.bytes += len(key) + len(value) + changeOverhead
	delete(w.deletes, key)
}

// Delete records that the item with the given key is removed. If the key can't be encoded, Err returns
// the reason.
func (w *Writes) Delete(key string) {
	if !utf8.ValidString(key) {
		w.fail(key, errKey)
		return
	}
	if w.deletes == nil {
		w.deletes = make(map[string]struct{})
	}
	delete(w.puts, key)
	w.deletes[key] = struct{}{}
	w.bytes += len(key) + changeOverhead
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
	w.Put(statusPrefix+j.ID, &protocol.StatusRecord{State: uint32(j.State), EndedMs: j.EndedMs, Queue: j.Queue, Content: j.ContentDigest, CanceledMs: j.CanceledMs})
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
	State     State
	Queue     string
	Tombstone bool // there is no job with the ID, see Table.AddTombstone
}

// ParseStatus decodes the value of the item under StatusKey. It returns an error if the value is
// not a valid record.
func ParseStatus(value []byte) (StatusItem, error) {
	var r protocol.StatusRecord
	if err := proto.Unmarshal(value, &r); err != nil {
		return StatusItem{}, errors.Wrap(err, "jobs: decode job status")
	}
	return StatusItem{State: State(r.GetState()), Queue: r.GetQueue(), Tombstone: r.GetTombstone()}, nil
}
