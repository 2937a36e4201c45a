package replica

import (
	"fmt"
	"slices"
	"strings"
)

// The fates of jobs with keys. Each fact has one writer, a process of a member: its scope names
// the group that drops the job's repeats and the process. So what several dispatchers have sent
// with one key stands side by side, and who learns that an attempt of its own surely never ran
// can take back its word without taking back another's.

// FateKey is the key of what one process of a member says of a job and a group.
func FateKey(name, group, by string, epoch uint64) Key {
	return Key{Fate, name, group + writer(by, epoch)}
}

func writer(by string, epoch uint64) string { return fmt.Sprintf("@%s/%x", by, epoch) }

// Group returns the group that a fate is about.
func (f *Fact) Group() string { return strings.TrimSuffix(f.Scope, writer(f.By, f.Epoch)) }

// Sending returns what a process says before it sends a job; was is what it has said before, nil
// for nothing. The window begins with the first that may have run; Rev counts those that rest on
// the word.
func Sending(was *Fact, key Key, by string, epoch uint64, now, left int64) Fact {
	f := Fact{Key: key, State: Sent, Rev: 1, At: now, Until: now + left, By: by, Epoch: epoch}
	switch {
	case was == nil || was.Until <= now:
	case was.State == Free:
		f.At = max(now, was.At+1)
	case was.State == Sent:
		f.At, f.Until, f.Rev = was.At, was.Until, was.Rev+1
	default:
		return *was
	}
	return f
}

// Freed returns what a process says once what it sent surely never ran; false where that is not
// sure of all that rest on its word.
func Freed(was *Fact) (Fact, bool) {
	if was == nil || was.State != Sent || was.Rev != 1 {
		return Fact{}, false
	}
	f := *was
	f.State = Free
	return f, true
}

// Finished returns what a process says once a job was done, with a digest of its result.
func Finished(was *Fact, key Key, by string, epoch uint64, now, left int64, sum string) Fact {
	f := Sending(was, key, by, epoch, now, left)
	if f.State != Done {
		f.State, f.Sum = Done, sum
	}
	return f
}

// Bound returns the groups that a key is bound to by what is known of it, each with the time from
// which on its window counts.
func Bound(facts []Fact) (out []Fact) {
	for _, f := range facts {
		if f.State == Free {
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
