package replica

import (
	"fmt"
	"slices"
	"strings"
)

// This file builds the outcome records of keyed jobs. Each record has a single writer, namely one
// process of a member: the record's scope names that process and the group that deduplicates the
// job. The records of several dispatchers on one job therefore coexist, and a process whose own
// attempt certainly did not run can retract its record without touching another's.

// OutcomeKey returns the key of the outcome record that a process writes for a job and a group.
// name is the job's class and key, by the member's name and epoch the process's incarnation number.
func OutcomeKey(name, group, by string, epoch uint64) Key {
	return Key{JobOutcome, name, group + writerSuffix(by, epoch)}
}

// writerSuffix returns the part of a record's scope that names its writer.
func writerSuffix(by string, epoch uint64) string { return fmt.Sprintf("@%s/%x", by, epoch) }

// Group returns the group of an outcome record: its scope without the writer.
func (f *Fact) Group() string { return strings.TrimSuffix(f.Scope, writerSuffix(f.By, f.Epoch)) }

// RecordSending returns the record that a process writes before it sends a job. previous is its
// current record, nil for none; now is a Unix time in ms. The deduplication window lasts window ms
// from the first attempt that may have run. Rev counts the attempts that rely on the record. A
// record that is Done is returned as it is until its window ends.
func RecordSending(previous *Fact, key Key, by string, epoch uint64, now, window int64) Fact {
	f := Fact{Key: key, State: Sent, Rev: 1, At: now, Until: now + window, By: by, Epoch: epoch}
	switch {
	case previous == nil || previous.Until <= now:
	case previous.State == NeverRan:
		f.At = max(now, previous.At+1)
	case previous.State == Sent:
		f.At, f.Until, f.Rev = previous.At, previous.Until, previous.Rev+1
	default:
		return *previous
	}
	return f
}

// RecordNeverRan returns the record that a process writes when its attempt certainly did not run,
// which retracts the previous record. It returns false if there is no Sent record to retract, or if
// another attempt, which may have run, relies on that record as well.
func RecordNeverRan(previous *Fact) (Fact, bool) {
	if previous == nil || previous.State != Sent || previous.Rev != 1 {
		return Fact{}, false
	}
	f := *previous
	f.State = NeverRan
	return f, true
}

// RecordDone returns the record that a process writes when a job has run. sum is a digest of the
// result; the other arguments are those of RecordSending. A record that is already Done is kept.
func RecordDone(previous *Fact, key Key, by string, epoch uint64, now, window int64, sum string) Fact {
	f := RecordSending(previous, key, by, epoch, now, window)
	if f.State != Done {
		f.State, f.Sum = Done, sum
	}
	return f
}

// BoundGroups returns the groups in which a job may have run according to its outcome records, and
// to which its retries are therefore bound. Each group is returned once, as a fact whose Scope is
// the group and whose At and Until are the earliest of the group's records.
func BoundGroups(facts []Fact) (out []Fact) {
	for _, f := range facts {
		if f.State == NeverRan {
			continue
		}
		group := f.Group()
		i := slices.IndexFunc(out, func(o Fact) bool { return o.Scope == group })
		if i < 0 {
			f.Scope = group
			out = append(out, f)
			continue
		}
		out[i].At, out[i].Until = min(out[i].At, f.At), min(out[i].Until, f.Until)
	}
	return out
}
