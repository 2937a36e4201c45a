package trace

import "time"

// Answer is how a request ended.
type Answer string

// The ways in which a request ends.
const (
	Served   Answer = "served"
	Refused  Answer = "refused"  // trying again is harmless
	Failed   Answer = "failed"   // no promise about the effect
	Unusable Answer = "unusable" // nobody can use it; it never ran
	Expired  Answer = "expired"  // its time was up
	Gone     Answer = "gone"     // its client left before the answer
)

// The parts that give answers.
const (
	ByRunner = "runner"
	ByModule = "module"
	ByCore   = "core"
	ByDoor   = "ingress"
)

// Kind tells why there is a hop.
type Kind string

// The kinds of hops.
const (
	First Kind = "first"
	Retry Kind = "retry" // every earlier hop had ended
	Copy  Kind = "copy"  // an earlier hop was still out: a sibling, not a new request
)

// Story is what one request went through. Whoever holds the request writes it; once
// the request has ended nobody does. Times are since 1970.
type Story struct {
	Trace   ID     `json:"trace"`
	Span    SpanID `json:"span"`
	Parent  SpanID `json:"parent"` // of the client's span; zero for none
	State   string `json:"state,omitempty"`
	Sampled bool   `json:"sampled,omitempty"` // the client's trace is recorded; false without one
	Picked  bool   `json:"picked,omitempty"`  // it is kept even if nothing happens to it

	Request string        `json:"request"` // the client's name for it
	Class   string        `json:"class"`
	Method  string        `json:"method"`
	Worth   float64       `json:"worth"`
	Slots   float64       `json:"slots"`
	Keyed   bool          `json:"keyed,omitempty"`
	Repeat  bool          `json:"repeat,omitempty"` // the client says that it tries again
	Try     uint64        `json:"try,omitempty"`    // the same for all tries of one thing; 0 where that is not known
	Window  time.Duration `json:"window"`           // how long after this one a repeat belongs to it

	Came     time.Duration `json:"came"`
	Deadline time.Duration `json:"deadline"`
	Ended    time.Duration `json:"ended"`
	Answer   Answer        `json:"answer"`
	By       string        `json:"by"`
	Why      string        `json:"why"`
	Status   int           `json:"status,omitempty"`  // of the HTTP answer; 0 for none
	Target   string        `json:"target,omitempty"`  // whose result the client got
	Refusal  bool          `json:"refusal,omitempty"` // the client was told that trying again is harmless
	Late     bool          `json:"late,omitempty"`    // served after the wanted time
	Moved    bool          `json:"moved,omitempty"`   // an older process has begun it

	Hops  []Hop   `json:"hops,omitempty"`
	Links []Trial `json:"links,omitempty"` // the try before
}

// Hop is one attempt. Times that are zero have not come.
type Hop struct {
	Span       SpanID        `json:"span"`
	Kind       Kind          `json:"kind"`
	Of         int           `json:"of"` // the hop that a copy copies, by its place
	Target     string        `json:"target"`
	Addr       string        `json:"addr"`
	Zone       string        `json:"zone"`
	Cold       bool          `json:"cold,omitempty"` // it may not have had its whole capacity
	Began      time.Duration `json:"began"`
	Taken      time.Duration `json:"taken"`
	Started    time.Duration `json:"started"`
	Recalled   time.Duration `json:"recalled"`
	Ended      time.Duration `json:"ended"`
	Outcome    string        `json:"outcome"`
	MayHaveRun bool          `json:"may_have_run,omitempty"`
	Bytes      int           `json:"bytes"`
	Kept       bool          `json:"kept,omitempty"` // it went out on a connection used before
	Notes      []Note        `json:"notes,omitempty"`
	Unnoted    int           `json:"unnoted,omitempty"` // notes past the bound
}

// Note is a runner's word on a hop.
type Note struct {
	At    time.Duration `json:"at"`
	What  string        `json:"what"`
	Share float64       `json:"share,omitempty"`
}

// maxNotes bounds what a runner's reports may take of memory: one comes every few
// seconds, and further ones are only counted.
const maxNotes = 16

// Next begins a hop and returns its place. Guards the reader from taking a hedged copy
// for a further request: it is named as what it is, and whom it copies.
func (s *Story) Next(h Hop) int {
	h.Span, h.Kind = NewSpanID(), First
	for i := range s.Hops {
		if s.Hops[i].Ended == 0 {
			h.Kind, h.Of = Copy, i
			break
		}
		h.Kind = Retry
	}
	s.Hops = append(s.Hops, h)
	return len(s.Hops) - 1
}

// Note takes down a runner's word.
func (h *Hop) Note(at time.Duration, what string, share float64) {
	if what == "started" && h.Started == 0 {
		h.Started = at
	}
	if len(h.Notes) >= maxNotes {
		h.Unnoted++
		return
	}
	h.Notes = append(h.Notes, Note{At: at, What: what, Share: share})
}

// End takes down how the request was answered.
func (s *Story) End(at time.Duration, answer Answer, by, why string) {
	s.Ended, s.Answer, s.By, s.Why = at, answer, by, why
}

// Of returns what a runner is told of the trace by a hop.
func (s *Story) Of(hop int) Context {
	return Context{Trace: s.Trace, Span: s.Hops[hop].Span, State: s.State, Sampled: s.Picked}
}

// Copied tells whether any hop was a copy.
func (s *Story) Copied() bool {
	for i := range s.Hops {
		if s.Hops[i].Kind == Copy {
			return true
		}
	}
	return false
}

// Size returns about how many bytes of memory the story takes.
func (s *Story) Size() int {
	n := 512 + len(s.Request) + len(s.State) + len(s.Links)*64
	for i := range s.Hops {
		n += 256 + len(s.Hops[i].Addr) + len(s.Hops[i].Notes)*48
	}
	return n
}
