package trace

import "time"

// Trial is a try of a client, as a later one refers to it.
type Trial struct {
	Trace ID     `json:"trace"`
	Span  SpanID `json:"span"`
}

// Tries knows the last try of each thing that clients may ask for again. It holds a
// bounded number; past it the one that was noted first is forgotten, and its repeats
// go without a link.
type Tries struct {
	most int
	last map[uint64]trial
	ring []uint64 // in the order of noting
	next int
}

type trial struct {
	Trial
	came  time.Duration
	until time.Duration
}

// NewTries makes a table of at most so many.
func NewTries(most int) *Tries { return &Tries{most: most, last: map[uint64]trial{}} }

// Link ties a story that has ended to the try before it, and notes it as the last one.
// Stories may come in any order: only one that came earlier is the try before.
func (t *Tries) Link(s *Story) {
	if s.Try == 0 {
		return
	}
	was, known := t.last[s.Try]
	if known && (s.Repeat || s.Keyed) && was.came < s.Came && s.Came <= was.until && was.Span != s.Span {
		s.Links = append(s.Links, was.Trial)
	}
	if known && was.came > s.Came {
		return
	}
	t.last[s.Try] = trial{Trial: Trial{Trace: s.Trace, Span: s.Span}, came: s.Came, until: s.Came + s.Window}
	if known {
		return
	}
	if len(t.ring) < t.most {
		t.ring = append(t.ring, s.Try)
		return
	}
	delete(t.last, t.ring[t.next])
	t.ring[t.next] = s.Try
	t.next = (t.next + 1) % t.most
}

// Len returns how many things are known.
func (t *Tries) Len() int { return len(t.last) }
