// Package statetable is all workflows that a cluster's members agree on: each entry of the log is a
// command, and equal commands in the same order lead to equal books. It bounds what they take.
// It does no I/O and reads no clock.
package statetable

import (
	"cmp"
	"encoding/json"
	"slices"

	"frosttide/internal/dispatcher/fleet/workflow/flow"
)

// The bounds of a book.
const (
	MostFlows = 10_000   // that have not ended; one more is refused
	MostBytes = 32 << 20 // that their undos take; a step past it is refused
	MostEnded = 4096     // that are remembered after their end; the oldest are forgotten
	MostBatch = 256      // words in one command
)

// Kind says what a command does.
type Kind string

// The kinds.
const (
	Begin  Kind = "begin"
	Step   Kind = "step"
	Settle Kind = "settle" // Words
	Commit Kind = "commit"
	Undo   Kind = "undo"   // by its client's or an operator's word
	Expire Kind = "expire" // Words name workflows whose deadline or lease is over by the entry's time
	Touch  Kind = "touch"
	Take   Kind = "take"  // Words name workflows that By takes until Until
	Took   Kind = "took"  // Words say what became of undos
	Goes   Kind = "goes"  // the undo of step N is about to be sent to Place, under Fence
	Stays  Kind = "stays" // Words say which entries' undos surely never ran
	Skip   Kind = "skip"
	Again  Kind = "again"
	GiveUp Kind = "give-up"
)

// Word is one workflow's part of a command that is about many.
type Word struct {
	ID      string       `json:"id"`
	N       int          `json:"n,omitempty"`
	State   flow.State   `json:"state,omitempty"`
	Failed  bool         `json:"failed,omitempty"`
	Fence   uint64       `json:"fence,omitempty"`
	Outcome flow.Outcome `json:"outcome,omitempty"`
	Why     string       `json:"why,omitempty"`
	Entry   uint64       `json:"entry,omitempty"` // that is taken back
}

// Command is an entry of the log.
type Command struct {
	Kind     Kind       `json:"kind"`
	ID       string     `json:"id,omitempty"`
	N        int        `json:"n,omitempty"`
	Deadline int64      `json:"deadline,omitempty"`
	LeaseFor int64      `json:"lease_for,omitempty"`
	Until    int64      `json:"until,omitempty"`
	Tries    int        `json:"tries,omitempty"`
	Undo     *flow.Undo `json:"undo,omitempty"`
	By       string     `json:"by,omitempty"`
	Why      string     `json:"why,omitempty"`
	Words    []Word     `json:"words,omitempty"`
	Fence    uint64     `json:"fence,omitempty"`
	Place    flow.Place `json:"place,omitzero"`
}

// Book is the state. The zero value is empty.
type Book struct {
	Live  map[string]*flow.Flow `json:"live"`
	Ended []*flow.Flow          `json:"ended"` // the oldest first
	Bytes int                   `json:"bytes"`
	past  map[string]*flow.Flow
}

// Apply takes in a command that is the log's entry at an index, said at a time in ms since
// 1970. It tells whether anything changed, and of a command about one workflow why nothing did.
func (b *Book) Apply(index uint64, at int64, c *Command) (changed bool, no *flow.Refusal) {
	if b.Live == nil {
		b.Live = map[string]*flow.Flow{}
	}
	if len(c.Words) > MostBatch {
		return false, flow.No(flow.Many, "%d words in one entry, %d is the most", len(c.Words), MostBatch)
	}
	switch c.Kind {
	case Begin:
		return b.begin(at, c)
	case Settle, Expire, Take, Took, Stays:
		for i := range c.Words {
			changed = b.word(index, at, c, &c.Words[i]) == nil || changed
		}
		return changed, nil
	}
	f := b.Live[c.ID]
	if f == nil {
		return b.over(c)
	}
	return b.do(f, func() *flow.Refusal {
		switch c.Kind {
		case Step:
			if c.Undo != nil && c.N == len(f.Steps)+1 && b.Bytes+c.Undo.Bytes() > MostBytes {
				return flow.No(flow.Many, "all undos together take %d bytes, %d is the most", b.Bytes, MostBytes)
			}
			return f.Register(c.N, c.Undo, c.Until, at)
		case Goes:
			return f.Goes(c.N, c.Fence, index, c.Place, at)
		case Commit:
			return f.Commit(c.N, at)
		case Undo:
			return f.TakeBack(cmp.Or(c.Why, "its client said so"), at)
		case Touch:
			return f.Touch(at)
		case Skip:
			return f.Skip(c.N, at)
		case Again:
			return f.Again(at)
		case GiveUp:
			return f.GiveUp(at)
		}
		return flow.No(flow.Bad, "%q is no command of this build", c.Kind)
	})
}

func (b *Book) begin(at int64, c *Command) (bool, *flow.Refusal) {
	if b.Find(c.ID) != nil {
		return false, flow.No(flow.Order, "there is a workflow %s already", c.ID)
	}
	if len(b.Live) >= MostFlows {
		return false, flow.No(flow.Many, "%d workflows have not ended, that is the most", MostFlows)
	}
	f, no := flow.Begin(c.ID, c.Deadline, c.LeaseFor, c.Tries, at)
	if no != nil {
		return false, no
	}
	b.Live[f.ID] = f
	b.Bytes += f.Bytes()
	return true, nil
}

// word carries out one workflow's part of a command about many.
func (b *Book) word(index uint64, at int64, c *Command, w *Word) *flow.Refusal {
	f := b.Live[w.ID]
	if f == nil {
		return flow.No(flow.Unknown, "there is no workflow %s", w.ID)
	}
	_, no := b.do(f, func() *flow.Refusal {
		switch c.Kind {
		case Settle:
			return f.Settle(w.N, w.State, w.Failed, at)
		case Expire:
			if why := f.Overdue(at); why != "" {
				return f.TakeBack(why, at)
			}
			return flow.No(flow.Order, "it is not over")
		case Take:
			return f.Take(c.By, index, c.Until, at)
		case Stays:
			return f.Stays(w.N, w.Fence, w.Entry, at)
		}
		return f.TookBack(w.N, w.Fence, w.Outcome, w.Why, at)
	})
	return no
}

// do changes a workflow and keeps the book's sums right.
func (b *Book) do(f *flow.Flow, change func() *flow.Refusal) (bool, *flow.Refusal) {
	was := f.Bytes()
	no := change()
	b.Bytes += f.Bytes() - was
	if f.Phase.Ended() {
		b.end(f)
	}
	return no == nil, no
}

// end has a workflow only remembered from now on.
func (b *Book) end(f *flow.Flow) {
	b.Bytes -= f.Bytes()
	delete(b.Live, f.ID)
	b.Find("") // the index is there from here on
	b.past[f.ID] = f
	if b.Ended = append(b.Ended, f); len(b.Ended) > MostEnded {
		delete(b.past, b.Ended[0].ID)
		b.Ended = slices.Clone(b.Ended[1:])
	}
}

// over answers a word on a workflow that is not live. What was said before and took effect is
// said again without harm.
func (b *Book) over(c *Command) (bool, *flow.Refusal) {
	f := b.Find(c.ID)
	switch {
	case f == nil:
		return false, flow.No(flow.Unknown, "there is no workflow %s", c.ID)
	case c.Kind == Commit && f.Phase == flow.Committed, c.Kind == Undo && f.Phase == flow.Undone:
		return false, nil
	}
	return false, flow.No(flow.Order, "the workflow is %s", f.Phase)
}

// Find returns a workflow, one that has ended too while it is remembered; nil for none.
func (b *Book) Find(id string) *flow.Flow {
	if f := b.Live[id]; f != nil {
		return f
	}
	if b.past == nil {
		b.past = map[string]*flow.Flow{}
		for _, f := range b.Ended {
			b.past[f.ID] = f
		}
	}
	return b.past[id]
}

// Clone returns a copy that shares nothing that changes.
func (b *Book) Clone() *Book {
	c := &Book{Live: make(map[string]*flow.Flow, len(b.Live)), Ended: slices.Clone(b.Ended), Bytes: b.Bytes}
	for id, f := range b.Live {
		c.Live[id] = f.Clone()
	}
	return c
}

// Parse reads a book as JSON has it.
func Parse(text []byte) (*Book, error) {
	var b Book
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, err
	}
	return &b, nil
}
