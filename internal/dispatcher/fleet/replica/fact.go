// Package replica is the eventually consistent state that dispatchers share: replicas may differ
// for a while and converge by gossip and by pairwise comparison (anti-entropy, Demers et al.
// 1987). It decides which of two versions of a fact wins, finds the differences between two
// stores, and bounds its memory.
//
// Package cluster owns a Store and exchanges the facts. Invariants: merging is associative,
// commutative and idempotent, so that the order of arrival does not matter; a drained runner never
// looks ready again without a newer version from the same discovery.
//
// The package does no I/O and reads no clock; times come with the calls, in ms since 1970. A Store
// is not safe for concurrent use.
package replica

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
)

// Kind is what a fact describes.
type Kind uint8

// The kinds of facts. Their numbers are part of the wire format; unknown kinds of newer builds
// are ignored.
const (
	Runner     Kind = 1 // a runner as listed by a discovery; Scope names the discovery
	Health     Kind = 3 // health of a runner, as measured by a member
	JobOutcome Kind = 5 // outcome record of a keyed job; Scope names the group that deduplicates it and the writer
	Gang       Kind = 6 // progress of one part of a gang, reported by the member that runs it
	kindEnd    Kind = 7 // 2 and 4 are not in use
)

// Kinds is the number of kinds, including the unused 0, for tables indexed by kind.
const Kinds = int(kindEnd)

// State is the state of a runner or of a job. The higher of two wins if nothing else decides.
type State uint8

// The states of runners and of jobs.
const (
	Serving  State = 1
	Draining State = 2
	Deleted  State = 3

	NeverRan State = 1 // what was sent has certainly not run
	Sent     State = 2 // it may have run
	Done     State = 3 // it has run
)

// The bounds of a fact's texts, in bytes.
const (
	maxName  = 256
	maxEntry = 1 << 10
	// maxClockLead is how far a fact's time may be ahead of the reader's clock, in ms. Without it,
	// the facts of a member whose clock has jumped ahead would win for ever.
	maxClockLead = 60_000
)

// Key identifies a fact; a store holds one fact for each key.
type Key struct {
	Kind  Kind   `json:"k"`
	Name  string `json:"n"`           // a runner's UID, or a job's class and key
	Scope string `json:"s,omitempty"` // see Kind
}

// Fact is the value of a key. Its kind determines which fields are set.
type Fact struct {
	Key
	State State           `json:"st,omitempty"` // Runner, JobOutcome
	Gen   uint64          `json:"g,omitempty"`  // Runner: how often the discovery has restarted its versions
	Rev   uint64          `json:"r,omitempty"`  // Runner: the discovery's version; JobOutcome: attempts that rely on the record
	Boot  int64           `json:"b,omitempty"`  // Runner: its last start, ms since 1970
	Entry json.RawMessage `json:"e,omitempty"`  // Runner: the discovery's entry; Health and Gang: the writer's report
	At    int64           `json:"t,omitempty"`  // ms since 1970: received, measured, or first sent
	Until int64           `json:"u,omitempty"`  // JobOutcome: end of the deduplication window, ms since 1970
	By    string          `json:"by,omitempty"` // the member that wrote it
	Epoch uint64          `json:"ep,omitempty"` // JobOutcome: drawn at the writer's start
	Sum   string          `json:"d,omitempty"`  // JobOutcome: digest of the result
}

// Validate returns why the fact is invalid at time now (ms since 1970), nil if it is valid. It
// protects a store from members that are faulty or speak another format.
func (f *Fact) Validate(now int64) error {
	switch {
	case f.Kind != Runner && f.Kind != Health && f.Kind != JobOutcome && f.Kind != Gang:
		return fmt.Errorf("kind %d is not known", f.Kind)
	case f.Name == "" || len(f.Name) > maxName || len(f.Scope) > maxName || len(f.By) > maxName || len(f.Sum) > maxName:
		return errors.New("a name is empty or too long")
	case len(f.Entry) > maxEntry:
		return fmt.Errorf("an entry of %d bytes, %d is the most", len(f.Entry), maxEntry)
	case len(f.Entry) > 0 && !json.Valid(f.Entry):
		return errors.New("its entry is no JSON")
	case f.At > now+maxClockLead:
		return fmt.Errorf("it is %d s ahead of the clock here", (f.At-now)/1000)
	case f.Kind == Runner && (f.State < Serving || f.State > Deleted) || f.Kind == JobOutcome && (f.State < NeverRan || f.State > Done):
		return fmt.Errorf("state %d is not known", f.State)
	case f.Kind == JobOutcome && (f.Until <= f.At || f.Until > f.At+maxWindow):
		return errors.New("its window can't be meant")
	}
	return nil
}

// maxWindow is the longest deduplication window, in ms: a day.
const maxWindow = 24 * 3600 * 1000

// Compare orders two versions of a fact under one key: it returns a positive number if a wins, a
// negative one if b wins, and 0 only if they are equal. The order is strict and total, so that
// merging is associative, commutative and idempotent in any order of arrival.
//
//   - A runner: the later restart of the discovery's versions, then the higher version, then the
//     state that takes work away.
//   - Health and progress of a part of a gang: the later time.
//   - A job's outcome: done wins, otherwise the later record of its only writer.
func Compare(a, b *Fact) int {
	first := 0
	switch a.Kind {
	case Runner:
		first = cmp.Or(cmp.Compare(a.Gen, b.Gen), cmp.Compare(a.Rev, b.Rev), cmp.Compare(a.State, b.State), cmp.Compare(a.Boot, b.Boot))
	case Health, Gang:
		first = cmp.Compare(a.At, b.At)
	case JobOutcome:
		done := func(f *Fact) int { return max(int(f.State)-int(Sent), 0) }
		first = cmp.Or(cmp.Compare(done(a), done(b)), cmp.Compare(a.At, b.At), cmp.Compare(a.Rev, b.Rev), cmp.Compare(b.State, a.State))
	}
	return cmp.Or(first, cmp.Compare(b.At, a.At), cmp.Compare(a.By, b.By), cmp.Compare(a.Sum, b.Sum),
		cmp.Compare(a.Until, b.Until), cmp.Compare(string(a.Entry), string(b.Entry)), cmp.Compare(a.State, b.State),
		cmp.Compare(a.Gen, b.Gen), cmp.Compare(a.Rev, b.Rev), cmp.Compare(a.Boot, b.Boot), cmp.Compare(a.Epoch, b.Epoch))
}

// Conflict reports whether two facts contradict each other in a way that operators should know: a
// job was executed twice with different results.
func Conflict(a, b *Fact) bool {
	return a.Kind == JobOutcome && a.State == Done && b.State == Done && a.Sum != b.Sum && a.Group() == b.Group()
}
