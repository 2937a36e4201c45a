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

// maxKeyBytes is the length of the longest deduplication key that members exchange unchanged. A
// longer key is replaced by its prefix, a digest and its length.
const maxKeyBytes = 160

// outcomeRecords implements core.OutcomeStore on the cluster. Classes and zones are identified by
// name, because their numbers differ between members.
type outcomeRecords struct{ *peers }

// recordName returns the name that identifies a job to all members.
func (o outcomeRecords) recordName(job *core.Job) string {
	key := job.Key
	if len(key) > maxKeyBytes {
		key = fmt.Sprintf("%s %016x %d", key[:maxKeyBytes/2], xxhash.Sum64String(key), len(key))
	}
	return (*o.classes.Load())[job.Class] + "/" + key
}

// formatGroup encodes a group of workers (zone and cell) for the exchange between members.
func formatGroup(g core.OutcomeRecord) string { return g.Zone + "#" + strconv.Itoa(g.Cell) }

// parseGroup decodes a group encoded by formatGroup. The cell is 0 if a member of another release
// uses a different encoding.
func parseGroup(text string) core.OutcomeRecord {
	zone, cell, _ := strings.Cut(text, "#")
	if i := strings.LastIndex(text, "#"); i >= 0 {
		zone, cell = text[:i], text[i+1:]
	}
	n, _ := strconv.Atoi(cell)
	return core.OutcomeRecord{Zone: zone, Cell: n}
}

// Lookup implements core.OutcomeStore. Without a member it finds no records.
func (o outcomeRecords) Lookup(job *core.Job, found func([]core.OutcomeRecord)) {
	m := o.currentMember()
	if m == nil {
		found(nil)
		return
	}
	m.LookupOutcomes(o.recordName(job), job.Deadline, func(facts []replica.Fact) {
		var records []core.OutcomeRecord
		for _, fact := range facts {
			record := parseGroup(fact.Scope)
			record.Age = max(m.Now()-time.Duration(fact.At)*time.Millisecond, 0)
			records = append(records, record)
		}
		found(records)
	})
}

// RecordSending implements core.OutcomeStore. It calls send once another member has stored the
// record, at once without a member.
func (o outcomeRecords) RecordSending(job *core.Job, group core.OutcomeRecord, window time.Duration, send func()) {
	o.record(job, group, replica.Sent, window, "", send)
}

// RecordNeverRan implements core.OutcomeStore. It does not wait for other members.
func (o outcomeRecords) RecordNeverRan(job *core.Job, group core.OutcomeRecord) {
	o.record(job, group, replica.NeverRan, 0, "", nil)
}

// RecordDone implements core.OutcomeStore. Members store a digest of the result.
func (o outcomeRecords) RecordDone(job *core.Job, group core.OutcomeRecord, window time.Duration, result []byte) {
	o.record(job, group, replica.Done, window, fmt.Sprintf("%016x", xxhash.Sum64(result)), nil)
}

// record passes a record to the member, and has it call then, nil for nobody, when
// another member has it. Without a member it calls then at once.
func (o outcomeRecords) record(job *core.Job, group core.OutcomeRecord, state replica.State, window time.Duration, digest string, onStored func()) {
	m := o.currentMember()
	if m == nil {
		if onStored != nil {
			onStored()
		}
		return
	}
	m.RecordOutcome(cluster.OutcomeKey{Name: o.recordName(job), Group: formatGroup(group)}, state, window, digest, job.Deadline, onStored)
}
