// Package replica implements the eventually consistent state that dispatchers share. Each member
// holds a replica; replicas may differ for a while and converge by gossip and by pairwise
// comparison (anti-entropy, Demers et al. 1987). The package decides which of two versions of a
// fact wins, finds the differences between two stores, and bounds a store's memory.
//
// Package cluster owns a Store and exchanges the facts. Invariants: merging is associative,
// commutative and idempotent, so that the order of arrival does not matter; a draining runner
// becomes ready again only through a newer version from the same discovery.
//
// The package does no I/O and reads no clock: callers pass the time, as Unix time in ms. A Store is
// not safe for concurrent use.
package replica

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
)

// Kind is the type of a fact: what it describes, and which of its fields are set.
type Kind uint8

// The kinds of facts. Their numbers are part of the wire format. Facts of a kind that this build
// does not know, sent by newer builds, are dropped as invalid.
const (
	Runner     Kind = 1 // a runner as listed by a discovery; Scope names the discovery
	Health     Kind = 3 // health of a runner, as measured by a member
	JobOutcome Kind = 5 // outcome record of a keyed job; Scope names its group and the writer
	Gang       Kind = 6 // progress of one part of a gang, reported by the member that runs it
	kindEnd    Kind = 7 // one above the highest kind; 2 and 4 are unused
)

// Kinds is the length of a table indexed by kind. It includes the unused kinds 0, 2 and 4.
const Kinds = int(kindEnd)

// State is the state of a runner or of a keyed job. Compare documents which of two states wins.
type State uint8

// The states of runners and of jobs.
const (
	Serving  State = 1 // the runner accepts jobs
	Draining State = 2 // the runner accepts no more jobs
	Deleted  State = 3 // tombstone: the runner was removed

	NeverRan State = 1 // the attempt certainly did not run
	Sent     State = 2 // the job was sent, or is about to be, and may have run
	Done     State = 3 // the job has run
)

const (
	// maxNameBytes limits each name of a fact, and maxEntryBytes its entry.
	maxNameBytes  = 256
	maxEntryBytes = 1 << 10
	// maxClockLead is how far a fact's time may be ahead of the receiver's clock, in ms. Without
	// this limit, the facts of a member whose clock has jumped ahead would win forever.
	maxClockLead = 60_000
)

// Key identifies a fact; a store holds at most one fact per key.
type Key struct {
	Kind  Kind   `json:"k"`
	Name  string `json:"n"`           // a runner's UID, or a job's class and key
	Scope string `json:"s,omitempty"` // source of the fact, for kinds with several; see Kind
}

// Fact is one version of what a key identifies. Its kind determines which fields are set. Times are
// Unix times in ms. Gen increases each time the discovery restarts its versions from the beginning,
// and Epoch with each start of the writing process.
type Fact struct {
	Key
	State State           `json:"st,omitempty"` // Runner, JobOutcome
	Gen   uint64          `json:"g,omitempty"`  // Runner: generation of the discovery's versions
	Rev   uint64          `json:"r,omitempty"`  // Runner: the discovery's version; JobOutcome: attempts that rely on the record
	Boot  int64           `json:"b,omitempty"`  // Runner: time of its last start
	Entry json.RawMessage `json:"e,omitempty"`  // Runner: the discovery's entry; Health and Gang: the writer's report
	At    int64           `json:"t,omitempty"`  // time of receipt, measurement or first sending
	Until int64           `json:"u,omitempty"`  // JobOutcome: end of the deduplication window
	By    string          `json:"by,omitempty"` // name of the member that wrote it
	Epoch uint64          `json:"ep,omitempty"` // JobOutcome: incarnation number of the writer
	Sum   string          `json:"d,omitempty"`  // JobOutcome: digest of the result
}

// Validate returns an error that says why the fact is invalid at time now (Unix time in ms), or
// nil. It protects a store from members that are faulty or send another format.
func (f *Fact) Validate(now int64) error {
	switch {
	case f.Kind != Runner && f.Kind != Health && f.Kind != JobOutcome && f.Kind != Gang:
		return fmt.Errorf("unknown kind %d", f.Kind)
	case f.Name == "" || len(f.Name) > maxNameBytes || len(f.Scope) > maxNameBytes || len(f.By) > maxNameBytes || len(f.Sum) > maxNameBytes:
		return errors.New("name is empty, or a text field is too long")
	case len(f.Entry) > maxEntryBytes:
		return fmt.Errorf("entry has %d bytes, the maximum is %d", len(f.Entry), maxEntryBytes)
	case len(f.Entry) > 0 && !json.Valid(f.Entry):
		return errors.New("entry is not valid JSON")
	case f.At > now+maxClockLead:
		return fmt.Errorf("timestamp is %d s ahead of the local clock", (f.At-now)/1000)
	case f.Kind == Runner && (f.State < Serving || f.State > Deleted) || f.Kind == JobOutcome && (f.State < NeverRan || f.State > Done):
		return fmt.Errorf("unknown state %d", f.State)
	case f.Kind == JobOutcome && (f.Until <= f.At || f.Until > f.At+maxWindow):
		return errors.New("deduplication window is empty or longer than a day")
	}
	return nil
}

// maxWindow is the longest deduplication window, in ms: a day.
const maxWindow = 24 * 3600 * 1000

// Compare orders two versions of a fact under one key: it returns a positive number if a wins, a
// negative one if b wins, and 0 only if they are equal. The order is strict and total, so that
// merging is associative, commutative and idempotent in any order of arrival. What wins depends on
// the kind:
//
//   - Runner: the higher generation, then the higher version, then the higher state, so that
//     draining and deletion win over serving, then the later start of the runner.
//   - Health and Gang: the later time.
//   - JobOutcome: Done wins over the other states. Between those, the later record wins, which is
//     well defined because a record has a single writer; a retraction (NeverRan) wins over the
//     record that it retracts.
//
// The remaining fields only break ties.
func Compare(a, b *Fact) int {
	order := 0
	switch a.Kind {
	case Runner:
		order = cmp.Or(cmp.Compare(a.Gen, b.Gen), cmp.Compare(a.Rev, b.Rev), cmp.Compare(a.State, b.State), cmp.Compare(a.Boot, b.Boot))
	case Health, Gang:
		order = cmp.Compare(a.At, b.At)
	case JobOutcome:
		doneRank := func(f *Fact) int { return max(int(f.State)-int(Sent), 0) } // 1 if Done, else 0
		order = cmp.Or(cmp.Compare(doneRank(a), doneRank(b)), cmp.Compare(a.At, b.At), cmp.Compare(a.Rev, b.Rev), cmp.Compare(b.State, a.State))
	}
	return cmp.Or(order, cmp.Compare(b.At, a.At), cmp.Compare(a.By, b.By), cmp.Compare(a.Sum, b.Sum),
		cmp.Compare(a.Until, b.Until), cmp.Compare(string(a.Entry), string(b.Entry)), cmp.Compare(a.State, b.State),
		cmp.Compare(a.Gen, b.Gen), cmp.Compare(a.Rev, b.Rev), cmp.Compare(a.Boot, b.Boot), cmp.Compare(a.Epoch, b.Epoch))
}

// Conflict reports whether two facts show that a job ran twice in one group with different results.
// Callers report that to operators; it does not affect which fact wins.
func Conflict(a, b *Fact) bool {
	return a.Kind == JobOutcome && a.State == Done && b.State == Done && a.Sum != b.Sum && a.Group() == b.Group()
}
