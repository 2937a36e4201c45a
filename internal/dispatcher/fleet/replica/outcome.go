package replica

import (
	"fmt"
	"slices"
	"strings"
)

// Outcome records of keyed jobs: each has a single writer, one process of a member, and its scope
// names the group that deduplicates the job together with that process. The records of several
// dispatchers on one key therefore coexist, and a process whose own attempt has certainly not run
// retracts its record without touching another's.

// OutcomeKey returns the key of the record that one process of a member keeps on a job and a
// group.
func OutcomeKey(name, group, by string, epoch uint64) Key {
	return Key{JobOutcome, name, group + writer(by, epoch)}
}

func writer(by string, epoch uint64) string { return fmt.Sprintf("@%s/%x", by, epoch) }

// Group returns the group that an outcome record is about.
func (f *Fact) Group() string { return strings.TrimSuffix(f.Scope, writer(f.By, f.Epoch)) }

// RecordSending returns the record that a process writes before it sends a job; previous is its
// current record, nil for none. The deduplication window, of window ms, begins with the first
// attempt that may have run; Rev counts the attempts that rely on the record.
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

// RecordNeverRan returns the record that a process writes when the attempt it sent has certainly
// not run. It returns false if that is not certain of all attempts that rely on the previous
// record.
func RecordNeverRan(previous *Fact) (Fact, bool) {
	if previous == nil || previous.State != Sent || previous.Rev != 1 {
		return Fact{}, false
	}
	f := *previous
	f.State = NeverRan
	return f, true
}

// RecordDone returns the record that a process writes when a job has run, with a digest of its
// result.
func RecordDone(previous *Fact, key Key, by string, epoch uint64, now, window int64, sum string) Fact {
	f := RecordSending(previous, key, by, epoch, now, window)
	if f.State != Done {
		f.State, f.Sum = Done, sum
	}
	return f
}

// BoundGroups returns the groups that a key is bound to according to its records, each as a fact
// whose Scope is the group and whose At and Until are the earliest of the group's windows.
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
