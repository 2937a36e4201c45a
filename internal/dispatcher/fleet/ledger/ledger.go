// Package ledger is what the members of a cluster agree on: the state that the replicated
// log leads to. It is few facts that must never differ: which runners operators have left
// out. It does no I/O and reads no clock; equal entries lead to equal states.
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

// Op says what an entry does.
type Op string

// The operations. An entry with another is of a newer build and changes nothing here.
const (
	Exclude Op = "exclude" // an operator leaves a runner out
	Include Op = "include" // and puts it back
	Begin   Op = "begin"   // gives the log its name, in UID; the first counts
	Flow    Op = "flow"    // a word on workflows, in Flow
)

const (
	maxText = 256
	// History is how many of the last entries are kept for people, and by which an entry
	// that is proposed again is known.
	History = 256
	// Most is how many runners can be left out.
	Most = 20_000
)

// Entry is one of the log.
type Entry struct {
	ID  string `json:"id"`            // drawn by who proposes it; the same again has no further effect
	Op  Op     `json:"op"`            // see Op
	UID string `json:"uid,omitempty"` // the runner
	At  int64  `json:"at"`            // ms since 1970, by the clock of who proposes it
	By  string `json:"by,omitempty"`  // the member at which an operator said it
	Why string `json:"why,omitempty"` // what the operator said to it

	Flow *statetable.Command `json:"flow,omitempty"`
}

// Valid returns why an entry can't be meant, nil where it can.
func (e *Entry) Valid() error {
	if e.ID == "" || e.Op == "" {
		return errors.New("id or op is missing")
	}
	for _, s := range []string{e.ID, string(e.Op), e.UID, e.By, e.Why} {
		if len(s) > maxText {
			return fmt.Errorf("a text of %d bytes, %d is the most", len(s), maxText)
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

// Done is an entry that has been applied.
type Done struct {
	Entry
	Index   uint64 `json:"index"`
	Changed bool   `json:"changed"`
	Refused string `json:"refused,omitempty"` // why it changed nothing, where it should have
	Kind    string `json:"kind,omitempty"`    // of the refusal, of a word on workflows
}

// State is what the entries so far lead to. The zero value is that of an empty log.
type State struct {
	Log   string           `json:"log"`   // the log's name; empty until it has been given one
	Index uint64           `json:"index"` // of the last entry
	Out   map[string]Done  `json:"out"`   // runners that are left out, by uid, and by which entry
	Last  []Done           `json:"last"`  // the last entries, the oldest first
	Odd   uint64           `json:"odd"`   // entries that this build did not understand
	Flows *statetable.Book `json:"flows,omitempty"`
	known map[string]*Done // Last by id
}

// Apply takes in the entry at an index and returns what came of it.
func (s *State) Apply(index uint64, e Entry) Done {
	s.Index = index
	if s.Out == nil {
		s.Out = map[string]Done{}
	}
	if s.known == nil {
		s.relearn()
	}
	if was := s.known[e.ID]; was != nil && was.Op == e.Op && was.UID == e.UID {
		again := *was
		again.Changed = false
		return again
	}
	d := Done{Entry: e, Index: index}
	if err := e.Valid(); err != nil {
		d.Refused = err.Error()
	} else {
		s.do(&d)
	}
	d.Flow = nil // bodies are the book's
	s.Last = append(s.Last, d)
	if len(s.Last) > History {
		delete(s.known, s.Last[0].ID)
		s.Last = slices.Clone(s.Last[1:])
		s.relearn()
	}
	s.known[e.ID] = &s.Last[len(s.Last)-1]
	return d
}

func (s *State) relearn() {
	s.known = map[string]*Done{}
	for i := range s.Last {
		s.known[s.Last[i].ID] = &s.Last[i]
	}
}

func (s *State) do(d *Done) {
	_, out := s.Out[d.UID]
	switch d.Op {
	case Flow:
		if s.Flows == nil {
			s.Flows = &statetable.Book{}
		}
		changed, no := s.Flows.Apply(d.Index, d.At, d.Flow)
		if d.Changed = changed; no != nil {
			d.Refused, d.Kind = no.Text, no.Kind
		}
	case Begin: // nothing changes for any dispatcher
		s.Log = cmp.Or(s.Log, d.UID)
	case Exclude:
		if !out && len(s.Out) >= Most {
			d.Refused = fmt.Sprintf("%d runners are left out already", Most)
			return
		}
		if d.Changed = !out; d.Changed {
			s.Out[d.UID] = *d
		}
	case Include:
		if d.Changed = out; out {
			delete(s.Out, d.UID)
		}
	default:
		s.Odd++
		d.Refused = fmt.Sprintf("%q is no operation of this build", d.Op)
	}
}

// Clone returns a copy, without the workflows.
func (s *State) Clone() State {
	return State{Log: s.Log, Index: s.Index, Out: maps.Clone(s.Out), Last: slices.Clone(s.Last), Odd: s.Odd}
}

// Bytes is the state as a snapshot holds it.
func (s *State) Bytes() ([]byte, error) { return json.Marshal(s) }

// Parse reads a snapshot.
func Parse(text []byte) (State, error) {
	var s State
	if err := json.Unmarshal(text, &s); err != nil {
		return State{}, fmt.Errorf("snapshot: %w", err)
	}
	return s, nil
}

// Differences returns what has to be said to a dispatcher that acted by one state for it to
// act by the next: runners that came out, or back.
func Differences(was, is *State) []Done {
	var out []Done
	for _, uid := range slices.Sorted(maps.Keys(is.Out)) {
		if _, ok := was.Out[uid]; !ok {
			out = append(out, is.Out[uid])
		}
	}
	for _, uid := range slices.Sorted(maps.Keys(was.Out)) {
		if _, ok := is.Out[uid]; !ok {
			d := Done{Entry: Entry{Op: Include, UID: uid, At: was.Out[uid].At}, Index: is.Index, Changed: true}
			for _, l := range is.Last {
				if l.UID == uid && l.Op == Include {
					d = l
				}
			}
			out = append(out, d)
		}
	}
	return out
}
