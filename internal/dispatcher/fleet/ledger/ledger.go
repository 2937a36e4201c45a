// Package ledger is the replicated state machine of a cluster: the state that the committed log
// entries lead to. It holds the few facts on which members must never differ, namely the runners
// that operators have excluded and the workflows.
//
// Package quorum applies the entries and package cluster acts on the results. Invariant: equal
// entries in equal order lead to equal states, also across a snapshot. The package does no I/O and
// reads no clock; times come with the entries. A State is not safe for concurrent use.
package ledger

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

// Op is an entry's operation.
type Op string

// The operations. An entry with another operation comes from a newer build and changes nothing.
const (
	Exclude Op = "exclude" // an operator excludes a runner
	Include Op = "include" // an operator includes it again
	Begin   Op = "begin"   // names the log with Entry.UID; the first one counts
	Flow    Op = "flow"    // applies the workflow command in Entry.Flow
)

const (
	// maxTextBytes bounds each text of an entry.
	maxTextBytes = 256
	// History is the number of latest entries kept, for operators and to recognise an entry that
	// is proposed again.
	History = 256
	// MaxExcluded is how many runners may be excluded at a time.
	MaxExcluded = 20_000
)

// Entry is one entry of the replicated log.
type Entry struct {
	ID  string `json:"id"` // drawn by the proposer; a repetition has no further effect
	Op  Op     `json:"op"`
	UID string `json:"uid,omitempty"` // the runner
	At  int64  `json:"at"`            // ms since 1970, on the proposer's clock
	By  string `json:"by,omitempty"`  // the member that the operator called
	Why string `json:"why,omitempty"` // the operator's reason

	Flow *statetable.Command `json:"flow,omitempty"`
}

// ErrUnclear is wrapped by the errors of a proposal after which its entry may be committed, now or
// later. Proposing it again under its ID is safe: it has its effect once.
var ErrUnclear = errors.New("it may be in force, or come to be")

// Validate returns why the entry is invalid, nil if it is valid.
func (e *Entry) Validate() error {
	if e.ID == "" || e.Op == "" {
		return errors.New("id or op is missing")
	}
	for _, s := range []string{e.ID, string(e.Op), e.UID, e.By, e.Why} {
		if len(s) > maxTextBytes {
			return fmt.Errorf("a text of %d bytes, %d is the most", len(s), maxTextBytes)
		}
	}
	if e.Op == Flow && e.Flow == nil {
		return errors.New("flow is missing")
	}
	if (e.Op == Exclude || e.Op == Include || e.Op == Begin) && e.UID == "" {
		return errors.New("uid is missing")
	}
	return nil
}

// Done is an applied entry with its result.
type Done struct {
	Entry
	Index   uint64 `json:"index"`
	Changed bool   `json:"changed"`           // it changed the state
	Refused string `json:"refused,omitempty"` // why it was rejected, if it was
	Kind    string `json:"kind,omitempty"`    // kind of the rejection, for workflow commands
}

// State is the result of the entries applied so far. The zero value is the state of an empty log.
type State struct {
	Log        string            `json:"log"`   // name of the log; empty until a Begin entry
	Index      uint64            `json:"index"` // of the last entry
	Excluded   map[string]Done   `json:"out"`   // excluded runners by UID, each with the entry that excluded it
	Recent     []Done            `json:"last"`  // the last History entries, oldest first
	UnknownOps uint64            `json:"odd"`   // entries with an operation that this build does not know
	Flows      *statetable.Table `json:"flows,omitempty"`
	recentByID map[string]*Done  // index of Recent
}

// Apply applies the entry at an index of the log and returns its result. A repeated entry returns
// the result of the first, with Changed unset.
func (s *State) Apply(index uint64, e Entry) Done {
	s.Index = index
	if s.Excluded == nil {
		s.Excluded = map[string]Done{}
	}
	if s.recentByID == nil {
		s.indexRecent()
	}
	if previous := s.recentByID[e.ID]; previous != nil && previous.Op == e.Op && previous.UID == e.UID {
		again := *previous
		again.Changed = false
		return again
	}
	d := Done{Entry: e, Index: index}
	if err := e.Validate(); err != nil {
		d.Refused = err.Error()
	} else {
		s.applyOp(&d)
	}
	d.Flow = nil // the state table keeps the workflows' bodies
	s.Recent = append(s.Recent, d)
	if len(s.Recent) > History {
		delete(s.recentByID, s.Recent[0].ID)
		s.Recent = slices.Clone(s.Recent[1:])
		s.indexRecent()
	}
	s.recentByID[e.ID] = &s.Recent[len(s.Recent)-1]
	return d
}

func (s *State) indexRecent() {
	s.recentByID = map[string]*Done{}
	for i := range s.Recent {
		s.recentByID[s.Recent[i].ID] = &s.Recent[i]
	}
}

func (s *State) applyOp(d *Done) {
	_, out := s.Excluded[d.UID]
	switch d.Op {
	case Flow:
		if s.Flows == nil {
			s.Flows = &statetable.Table{}
		}
		changed, refusal := s.Flows.Apply(d.Index, d.At, d.Flow)
		if d.Changed = changed; refusal != nil {
			d.Refused, d.Kind = refusal.Text, refusal.Kind
		}
	case Begin: // no change for the dispatchers
		s.Log = cmp.Or(s.Log, d.UID)
	case Exclude:
		if !out && len(s.Excluded) >= MaxExcluded {
			d.Refused = fmt.Sprintf("%d runners are left out already", MaxExcluded)
			return
		}
		if d.Changed = !out; d.Changed {
			s.Excluded[d.UID] = *d
		}
	case Include:
		if d.Changed = out; out {
			delete(s.Excluded, d.UID)
		}
	default:
		s.UnknownOps++
		d.Refused = fmt.Sprintf("%q is no operation of this build", d.Op)
	}
}

// Clone returns a copy without the workflows.
func (s *State) Clone() State {
	return State{Log: s.Log, Index: s.Index, Excluded: maps.Clone(s.Excluded), Recent: slices.Clone(s.Recent), UnknownOps: s.UnknownOps}
}

// Bytes returns the state as stored in a snapshot.
func (s *State) Bytes() ([]byte, error) { return json.Marshal(s) }

// Parse reads a snapshot; its error describes the malformed text.
func Parse(text []byte) (State, error) {
	var s State
	if err := json.Unmarshal(text, &s); err != nil {
		return State{}, fmt.Errorf("snapshot: %w", err)
	}
	return s, nil
}

// Differences returns the exclusions and inclusions that take a dispatcher from one state to the
// next.
func Differences(previous, next *State) []Done {
	var out []Done
	for _, uid := range slices.Sorted(maps.Keys(next.Excluded)) {
		if _, ok := previous.Excluded[uid]; !ok {
			out = append(out, next.Excluded[uid])
		}
	}
	for _, uid := range slices.Sorted(maps.Keys(previous.Excluded)) {
		if _, ok := next.Excluded[uid]; !ok {
			d := Done{Entry: Entry{Op: Include, UID: uid, At: previous.Excluded[uid].At}, Index: next.Index, Changed: true}
			for _, l := range next.Recent {
				if l.UID == uid && l.Op == Include {
					d = l
				}
			}
			out = append(out, d)
		}
	}
	return out
}
