// Package stage says how far a member has come back after its start, or after it stood still,
// and what it may do meanwhile. Evidence moves it on, not time; each stage has a longest time
// after which it goes on by what there is and says what was missing. The package is pure: no
// I/O, no clock.
package stage

import "time"

// Stage is how far a member has come back.
type Stage uint8

// The stages, in order.
const (
	Empty      Stage = iota // its addresses are not open
	Listening               // they are; it knows of nobody
	Joining                 // it has met others, or nobody is there; the log is not known
	CatchingUp              // it fetches what others know
	Probation               // it serves, by a door that opens with what is served
	Full                    // it serves as before
)

var names = [...]string{"empty", "listening", "joining", "catching up", "probation", "full"}

// String returns the stage in plain words, as operators see it.
func (s Stage) String() string {
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Admit is how much of its clients' work a member takes in.
type Admit uint8

// The measures of admission.
const (
	None Admit = iota // each is told when to come back
	Some              // as the door opens
	All
)

// Rights are what a member may do.
type Rights struct {
	Admits  Admit
	Keyed   bool // also jobs that another may have sent already and that must not run twice
	Recalls bool // what it remembers of keyed jobs counts when others ask
	Counts  bool // it may reckon by who is alive: others know of it too
	Runs    bool // it may take on what others have left undone
}

// Rights returns a stage's, where runners are known by a word that is not old.
func (s Stage) Rights() Rights {
	switch s {
	case Empty:
		return Rights{}
	case Probation:
		return Rights{Admits: Some, Keyed: true, Recalls: true, Counts: true}
	case Full:
		return Rights{Admits: All, Keyed: true, Recalls: true, Counts: true, Runs: true}
	}
	return Rights{Admits: Some}
}

// May returns what a member may do by what is known now. Guards runners that were drained or
// replaced while the process stood still: on the way nothing is sent by an old list.
func (m *Machine) May(e Evidence) Rights {
	r := m.stage.Rights()
	if m.stage <= CatchingUp && !e.List {
		r.Admits = None
	}
	return r
}

// Log is how the agreed log stands at a member.
type Log uint8

// The ways in which it may stand.
const (
	LogUnknown Log = iota // nothing is known of it yet
	LogBehind             // it has a leader, and entries that are not applied here
	LogApplied            // all that there is has been applied here
	LogLost               // it is lost; what was kept counts until an operator speaks
	LogNone               // its voters have never begun one
)

// Evidence is what is known at a moment.
type Evidence struct {
	Open   bool // the addresses are open
	Met    bool // another member is alive
	Nobody bool // each address in the settings said that nobody listens there
	Log    Log
	List   bool // runners are known by a word since the start, or since it stood still
	Copies bool // they were compared with a member's that was there before, if there is one
	Bears  bool // the door has been open wide enough for all that came
}

// Bounds are the longest times in the stages that have one; past it a member goes on without
// what is missing. A list of runners is never gone without: nothing could be sent.
type Bounds struct{ Listening, Joining, CatchingUp, Probation time.Duration }

// Defaults returns the bounds where nobody says otherwise: a member that is dead is known to
// be after some 4 s, another leads after 1.3 s, copies of 20,000 runners take 3 s.
func Defaults() Bounds {
	return Bounds{Listening: 2 * time.Second, Joining: 2 * time.Second, CatchingUp: 5 * time.Second, Probation: 10 * time.Second}
}

// Move is a step from one stage to another and what it rests on.
type Move struct {
	From, To Stage
	Why      string        // the evidence, or what was gone on without
	Without  bool          // it was gone on without evidence
	After    time.Duration // in the stage that is left
}

// Machine is a member's way back. The zero value is that of a process that has just begun.
type Machine struct {
	Bounds  Bounds
	stage   Stage
	entered time.Duration
}

// Stage returns where it is.
func (m *Machine) Stage() Stage { return m.stage }

// Step takes in what is known now and returns the moves that follow, in order.
func (m *Machine) Step(now time.Duration, e Evidence) (moves []Move) {
	for {
		why, without, ok := m.next(now, e)
		if !ok {
			return moves
		}
		moves = append(moves, m.to(m.stage+1, now, why, without))
	}
}

// Woke takes in that the process stood still for a time, and what that made old: it has to
// hear anew what its list and its copies missed. What it does until then is a newcomer's.
func (m *Machine) Woke(now time.Duration) (moves []Move) {
	if m.stage > CatchingUp {
		moves = append(moves, m.to(CatchingUp, now, "the process stood still", false))
	}
	return moves
}

func (m *Machine) to(s Stage, now time.Duration, why string, without bool) Move {
	v := Move{From: m.stage, To: s, Why: why, Without: without, After: now - m.entered}
	m.stage, m.entered = s, now
	return v
}

// next returns the reason to go on, if there is one.
func (m *Machine) next(now time.Duration, e Evidence) (why string, without, ok bool) {
	over := func(bound time.Duration) bool { return bound > 0 && now-m.entered >= bound }
	switch m.stage {
	case Empty:
		return "its addresses are open", false, e.Open
	case Listening:
		switch {
		case e.Met:
			return "another member is alive", false, true
		case e.Nobody:
			return "nobody listens at any address that the settings name", false, true
		case over(m.Bounds.Listening):
			return "no member has answered", true, true
		}
	case Joining:
		switch {
		case e.Log != LogUnknown:
			return "how the log stands is known", false, true
		case over(m.Bounds.Joining):
			return "the log has no leader", true, true
		}
	case CatchingUp:
		missing := missing(e)
		switch {
		case !e.List:
		case missing == "":
			return "list, copies and log are caught up", false, true
		case over(m.Bounds.CatchingUp):
			return missing, true, true
		}
	case Probation:
		switch {
		case e.Bears:
			return "what came was served", false, true
		case over(m.Bounds.Probation):
			return "the door was never open wide enough for all that came", true, true
		}
	}
	return "", false, false
}

func missing(e Evidence) string {
	switch {
	case e.Log == LogBehind:
		return "entries of the log are not applied"
	case !e.Copies:
		return "copies were compared with nobody who was there before"
	}
	return ""
}

// Waits returns what a member lacks to go on, for people; empty for nothing.
func (m *Machine) Waits(e Evidence) string {
	switch m.stage {
	case Empty:
		return "its addresses are not open"
	case Listening:
		return "no other member has answered"
	case Joining:
		return "the log has no leader yet"
	case CatchingUp:
		if !e.List {
			return "no runner is known: discovery has not answered, and no member has told of any"
		}
		return missing(e)
	case Probation:
		return "the door opens with what is served"
	}
	return ""
}
