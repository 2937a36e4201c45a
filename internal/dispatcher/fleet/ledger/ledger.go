// Package ledger is the cluster's replicated state machine. Applying the committed entries of the
// replicated log yields a State, which holds what all members must agree on: the runners that
// operators have excluded, and the workflows.
//
// Package quorum applies the entries, and package cluster acts on the results. Invariant: equal
// entries in equal order lead to equal states, also if a state was restored from a snapshot in
// between. Texts of rejections are part of the state. The package does no I/O and reads no clock:
// entries carry their times. A State is not safe for concurrent use.
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

// Op is the operation that an entry applies to the state.
type Op string

// The operations. An entry with an unknown operation comes from a newer build; it is rejected and
// changes nothing but State.UnknownOps.
const (
	Exclude Op = "exclude" // excludes the runner Entry.UID, by order of an operator
	Include Op = "include" // ends the exclusion of the runner Entry.UID
	Begin   Op = "begin"   // names the log Entry.UID; only the first one has an effect
	Flow    Op = "flow"    // applies the workflow command in Entry.Flow
)

const (
	// maxTextBytes is the maximum length of each text of an entry, in bytes.
	maxTextBytes = 256
	// History is the number of most recent entries that a State keeps, to show them to operators
	// and to detect an entry that is proposed again.
	History = 256
	// MaxExcluded is the maximum number of runners that are excluded at the same time.
	MaxExcluded = 20_000
)

// Entry is one entry of the replicated log.
type Entry struct {
	ID  string `json:"id"` // chosen by the proposer; a repetition has no further effect
	Op  Op     `json:"op"`
	UID string `json:"uid,omitempty"` // the runner, or the log's name for Begin
	At  int64  `json:"at"`            // Unix time in ms, by the proposer's clock
	By  string `json:"by,omitempty"`  // the member that received the operator's call
	Why string `json:"why,omitempty"` // the operator's reason

	Flow *statetable.Command `json:"flow,omitempty"` // the workflow command, for Flow
}

// ErrUnclear is wrapped by the error of a proposal whose outcome is unknown: its entry may have
// been committed, or may be later. Proposing the entry again with the same ID is safe, as it takes
// effect once.
var ErrUnclear = errors.New("it may be in force, or come to be")

// Validate returns an error that says why the entry is invalid, or nil. Apply stores the error's
// text in the state, where it must be the same on all members.
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

// Done is an applied entry with its result. Its Flow field is nil, as State.Flows holds the
// workflows.
type Done struct {
	Entry
	Index   uint64 `json:"index"`             // of the entry in the log
	Changed bool   `json:"changed"`           // whether the entry changed the state
	Refused string `json:"refused,omitempty"` // why it was rejected; empty if it was not
	Kind    string `json:"kind,omitempty"`    // kind of the rejection, for workflow commands
}

// State is the result of the entries applied so far. The zero value is the state of an empty log.
type State struct {
	Log        string            `json:"log"`   // name of the log; empty until a Begin entry
	Index      uint64            `json:"index"` // of the last applied entry
	Excluded   map[string]Done   `json:"out"`   // excluded runners by UID, each with the entry that excluded it
	Recent     []Done            `json:"last"`  // the last History entries, oldest first
	UnknownOps uint64            `json:"odd"`   // number of entries with an unknown operation
	Flows      *statetable.Table `json:"flows,omitempty"`
	recentByID map[string]*Done  // index of Recent; nil until the first Apply
}

// Apply applies the entry at an index of the log and returns its result. Done.Refused says why an
// entry was rejected. For an entry that repeats one of the last History entries, with the same ID,
// operation and UID, Apply returns the result of that one with Changed unset.
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
	d.Flow = nil // s.Flows holds the workflows' bodies
	s.Recent = append(s.Recent, d)
	if len(s.Recent) > History {
		delete(s.recentByID, s.Recent[0].ID)
		s.Recent = slices.Clone(s.Recent[1:])
		s.indexRecent()
	}
	s.recentByID[e.ID] = &s.Recent[len(s.Recent)-1]
	return d
}

// indexRecent rebuilds recentByID.
func (s *State) indexRecent() {
	s.recentByID = map[string]*Done{}
	for i := range s.Recent {
		s.recentByID[s.Recent[i].ID] = &s.Recent[i]
	}
}

// applyOp applies a valid entry that is not a repetition, and sets its result in d.
func (s *State) applyOp(d *Done) {
	_, excluded := s.Excluded[d.UID]
	switch d.Op {
	case Flow:
		if s.Flows == nil {
			s.Flows = &statetable.Table{}
		}
		changed, refusal := s.Flows.Apply(d.Index, d.At, d.Flow)
		if d.Changed = changed; refusal != nil {
			d.Refused, d.Kind = refusal.Text, refusal.Kind
		}
	case Begin: // Changed stays false: the dispatchers need not act on it
		s.Log = cmp.Or(s.Log, d.UID)
	case Exclude:
		if !excluded && len(s.Excluded) >= MaxExcluded {
			d.Refused = fmt.Sprintf("%d runners are left out already", MaxExcluded)
			return
		}
		if d.Changed = !excluded; d.Changed {
			s.Excluded[d.UID] = *d
		}
	case Include:
		if d.Changed = excluded; excluded {
			delete(s.Excluded, d.UID)
		}
	default:
		s.UnknownOps++
		d.Refused = fmt.Sprintf("%q is no operation of this build", d.Op)
	}
}

// Clone returns a copy of the state without its workflows. Later calls of Apply do not change the
// copy.
func (s *State) Clone() State {
	return State{Log: s.Log, Index: s.Index, Excluded: maps.Clone(s.Excluded), Recent: slices.Clone(s.Recent), UnknownOps: s.UnknownOps}
}

// Bytes returns the state encoded for a snapshot; Parse decodes it.
func (s *State) Bytes() ([]byte, error) { return json.Marshal(s) }

// Parse decodes a snapshot. An error says where it is malformed.
func Parse(text []byte) (State, error) {
	var s State
	if err := json.Unmarshal(text, &s); err != nil {
		return State{}, fmt.Errorf("snapshot: %w", err)
	}
	return s, nil
}

// Differences returns the exclusions and inclusions by which next differs from previous, for
// example after a snapshot was installed. Exclusions come first, each ordered by the runners' UIDs.
// An inclusion whose entry is no longer in next.Recent is made up, with the time of the exclusion.
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
			for _, recent := range next.Recent {
				if recent.UID == uid && recent.Op == Include {
					d = recent
				}
			}
			out = append(out, d)
		}
	}
	return out
}
