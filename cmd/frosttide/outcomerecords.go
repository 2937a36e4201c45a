package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/cluster"
	"frosttide/internal/dispatcher/fleet/replica"
)

// maxKey is how long a key may be to be told as it is; a longer one is told by its digest.
const maxKey = 160

// outcomeRecords tells the others of keyed jobs in terms of names, as numbers differ between members.
type outcomeRecords struct{ *peers }

// recordName is what a job's key goes by among members.
func (f outcomeRecords) recordName(job *core.Job) string {
	key := job.Key
	if len(key) > maxKey {
		key = fmt.Sprintf("%s %016x %d", key[:maxKey/2], xxhash.Sum64String(key), len(key))
	}
	return (*f.classes.Load())[job.Class] + "/" + key
}

func formatGroup(g core.OutcomeRecord) string { return g.Zone + "#" + strconv.Itoa(g.Cell) }

func parseGroup(text string) core.OutcomeRecord {
	zone, cell, _ := strings.Cut(text, "#")
	if i := strings.LastIndex(text, "#"); i >= 0 {
		zone, cell = text[:i], text[i+1:]
	}
	n, _ := strconv.Atoi(cell) // of a member that says it otherwise: 0
	return core.OutcomeRecord{Zone: zone, Cell: n}
}

// Lookup tells where a job has been sent.
func (f outcomeRecords) Lookup(job *core.Job, found func([]core.OutcomeRecord)) {
	m := f.currentMember()
	if m == nil {
		found(nil)
		return
	}
	m.Ask(f.recordName(job), job.Deadline, func(facts []replica.Fact) {
		var out []core.OutcomeRecord
		for _, fact := range facts {
			g := parseGroup(fact.Scope)
			g.Age = max(m.Now()-time.Duration(fact.At)*time.Millisecond, 0)
			out = append(out, g)
		}
		found(out)
	})
}

// RecordSending makes known that a job is about to go to a runner of a group.
func (f outcomeRecords) RecordSending(job *core.Job, group core.OutcomeRecord, window time.Duration, send func()) {
	f.record(job, group, replica.Sent, window, "", send)
}

// RecordNeverRan makes known that it surely never ran there.
func (f outcomeRecords) RecordNeverRan(job *core.Job, group core.OutcomeRecord) {
	f.record(job, group, replica.Free, 0, "", nil)
}

// RecordDone makes known that it was done there.
func (f outcomeRecords) RecordDone(job *core.Job, group core.OutcomeRecord, window time.Duration, result []byte) {
	f.record(job, group, replica.Done, window, fmt.Sprintf("%016x", xxhash.Sum64(result)), nil)
}

func (f outcomeRecords) record(job *core.Job, group core.OutcomeRecord, state replica.State, window time.Duration, sum string, then func()) {
	m := f.currentMember()
	if m == nil {
		if then != nil {
			then()
		}
		return
	}
	m.Tell(cluster.Fate{Name: f.recordName(job), Group: formatGroup(group)}, state, window, sum, job.Deadline, then)
}
