// Package replica is the state that dispatchers which know each other share softly: copies
// may differ for a while and come to be equal. It decides which of two copies counts, finds
// what two stores have apart, and keeps itself within bounds. It does no I/O and reads no
// clock: times come with the calls, in milliseconds since 1970.
package replica

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
)

// Kind says what a fact is about.
type Kind uint8

// The kinds of facts. Their numbers are part of the wire's form; those of a newer build are
// passed over.
const (
	Runner  Kind = 1 // a runner as a discovery told of it; Scope names the discovery
	Health  Kind = 3 // how a runner does, by who met it
	Fate    Kind = 5 // a job with a key; Scope names the group that drops its repeats, and who sent it
	Gang    Kind = 6 // how a part of a gang does, by whose part it is
	kindEnd Kind = 7 // 2 and 4 are not in use
)

// Kinds is how many kinds there are, 0 among them, for tables by kind.
const Kinds = int(kindEnd)

// State is where a runner or a job is; the higher of two wins where nothing else tells.
type State uint8

// The states of runners and of jobs.
const (
	Serving  State = 1
	Draining State = 2
	Deleted  State = 3

	Free State = 1 // what was sent surely never ran
	Sent State = 2 // it may have run
	Done State = 3 // it has run
)

// The bounds of a fact's texts, in bytes.
const (
	maxName  = 256
	maxEntry = 1 << 10
	// ahead is how far a fact's time may lie ahead of the reader's clock, in ms. Guards
	// against a member whose clock has jumped: what it tells would count as newest for ever.
	ahead = 60_000
)

// Key names a fact: there is one for each in a store.
type Key struct {
	Kind  Kind   `json:"k"`
	Name  string `json:"n"`           // a runner's uid, a job's class and key
	Scope string `json:"s,omitempty"` // see Kind
}

// Fact is what is known under a key. Kind tells which fields count.
type Fact struct {
	Key
	State State           `json:"st,omitempty"` // Runner, Fate
	Gen   uint64          `json:"g,omitempty"`  // Runner: how often the discovery has begun its versions anew
	Rev   uint64          `json:"r,omitempty"`  // Runner: the discovery's version; Fate: how many rest on the word
	Boot  int64           `json:"b,omitempty"`  // Runner: its last start, ms since 1970
	Entry json.RawMessage `json:"e,omitempty"`  // Runner: the discovery's words; Health: the teller's
	At    int64           `json:"t,omitempty"`  // ms since 1970: told, measured, or first sent
	Until int64           `json:"u,omitempty"`  // Fate: when the window ends
	By    string          `json:"by,omitempty"` // the member who tells
	Epoch uint64          `json:"ep,omitempty"` // Fate: drawn at the teller's start
	Sum   string          `json:"d,omitempty"`  // Fate: digest of the result
}

// Valid returns why a fact can't be meant, nil where it can. Guards a store against members
// that are broken or speak another form.
func (f *Fact) Valid(now int64) error {
	switch {
	case f.Kind != Runner && f.Kind != Health && f.Kind != Fate && f.Kind != Gang:
		return fmt.Errorf("kind %d is not known", f.Kind)
	case f.Name == "" || len(f.Name) > maxName || len(f.Scope) > maxName || len(f.By) > maxName || len(f.Sum) > maxName:
		return errors.New("a name is empty or too long")
	case len(f.Entry) > maxEntry:
		return fmt.Errorf("an entry of %d bytes, %d is the most", len(f.Entry), maxEntry)
	case len(f.Entry) > 0 && !json.Valid(f.Entry):
		return errors.New("its entry is no JSON")
	case f.At > now+ahead:
		return fmt.Errorf("it is %d s ahead of the clock here", (f.At-now)/1000)
	case f.Kind == Runner && (f.State < Serving || f.State > Deleted) || f.Kind == Fate && (f.State < Free || f.State > Done):
		return fmt.Errorf("state %d is not known", f.State)
	case f.Kind == Fate && (f.Until <= f.At || f.Until > f.At+maxWindow):
		return errors.New("its window can't be meant")
	}
	return nil
}

// maxWindow is the longest that a key may be kept, a day in ms.
const maxWindow = 24 * 3600 * 1000

// Newer is the rule for copies that differ: above 0 where a counts before b, below where b
// does, 0 only where they are the same. It is a strict order of all facts under one key, so
// that merging is associative, commutative and idempotent, whatever the order of arrival.
//
//   - a runner as a discovery told of it: the later count of its versions, the higher
//     version, and of equal versions the state that takes work away;
//   - health, and how a part of a gang does: the one measured later;
//   - a job's fate: done before all, else what its one writer has said later.
func Newer(a, b *Fact) int {
	first := 0
	switch a.Kind {
	case Runner:
		first = cmp.Or(cmp.Compare(a.Gen, b.Gen), cmp.Compare(a.Rev, b.Rev), cmp.Compare(a.State, b.State), cmp.Compare(a.Boot, b.Boot))
	case Health, Gang:
		first = cmp.Compare(a.At, b.At)
	case Fate:
		done := func(f *Fact) int { return max(int(f.State)-int(Sent), 0) }
		first = cmp.Or(cmp.Compare(done(a), done(b)), cmp.Compare(a.At, b.At), cmp.Compare(a.Rev, b.Rev), cmp.Compare(b.State, a.State))
	}
	return cmp.Or(first, cmp.Compare(b.At, a.At), cmp.Compare(a.By, b.By), cmp.Compare(a.Sum, b.Sum),
		cmp.Compare(a.Until, b.Until), cmp.Compare(string(a.Entry), string(b.Entry)), cmp.Compare(a.State, b.State),
		cmp.Compare(a.Gen, b.Gen), cmp.Compare(a.Rev, b.Rev), cmp.Compare(a.Boot, b.Boot), cmp.Compare(a.Epoch, b.Epoch))
}

// Differ tells whether two copies contradict each other, so that people should hear of it: a
// job that was done twice with different results.
func Differ(a, b *Fact) bool {
	return a.Kind == Fate && a.State == Done && b.State == Done && a.Sum != b.Sum && a.Group() == b.Group()
}
