// Package stage is the state machine by which a member rejoins its fleet after a start or a stall,
// and the rights that it has in each stage. Evidence advances the machine, not elapsed time; each
// stage that waits for evidence has a bound after which the member continues without it and
// reports what was missing.
//
// Package rejoin drives the machine. Invariants: stages follow each other one by one, a stalled
// process returns to CatchingUp, and no stage past CatchingUp is entered without a list of
// runners.
//
// The package is pure: it does no I/O and reads no clock. A Machine is not safe for concurrent
// use.
package stage

import "time"

// Stage is how far a member has rejoined.
type Stage uint8

// The stages, in order.
const (
	Empty      Stage = iota // its addresses are not open
	Listening               // its addresses are open; no other member is known
	Joining                 // another member is alive, or none is there; the state of the log is unknown
	CatchingUp              // it fetches what other members know
	Probation               // it serves, under an admission limit that grows with the served jobs
	Full                    // it serves without restriction
)

var names = [...]string{"empty", "listening", "joining", "catching up", "probation", "full"}

// String returns the stage's name as operators see it.
func (s Stage) String() string {
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Admission is how much client work a member accepts.
type Admission uint8

// The degrees of admission.
const (
	AdmitNone    Admission = iota // every job is rejected with a retry delay
	AdmitLimited                  // as many jobs as the admission limiter's window holds
	AdmitAll
)

// Rights are the actions that a stage permits.
type Rights struct {
	Admission        Admission
	KeyedJobs        bool // accept keyed jobs that another member may have sent and that must not run twice
	OutcomesComplete bool // its outcome records of keyed jobs are complete
	CountsPeers      bool // use the number of live members: they know of this one too
	RunsWorkflows    bool // take over workflows of other members
}

// Rights returns what the stage permits while the list of runners is current; see Machine.Rights.
func (s Stage) Rights() Rights {
	switch s {
	case Empty:
		return Rights{}
	case Probation:
		return Rights{Admission: AdmitLimited, KeyedJobs: true, OutcomesComplete: true, CountsPeers: true}
	case Full:
		return Rights{Admission: AdmitAll, KeyedJobs: true, OutcomesComplete: true, CountsPeers: true, RunsWorkflows: true}
	}
	return Rights{Admission: AdmitLimited}
}

// Rights returns what the member may do under the evidence e. Up to CatchingUp nothing is admitted
// without a current list of runners: runners may have been drained or replaced while the process
// was stalled.
func (m *Machine) Rights(e Evidence) Rights {
	r := m.stage.Rights()
	if m.stage <= CatchingUp && !e.RunnersKnown {
		r.Admission = AdmitNone
	}
	return r
}

// Log is the state of the replicated log at a member.
type Log uint8

// The states of the replicated log.
const (
	LogUnknown Log = iota // nothing is known yet
	LogBehind             // a leader exists and some entries are not applied here
	LogApplied            // all entries are applied here
	LogLost               // the log is lost; the stored exclusions hold until an operator decides
	LogNone               // the voters have never started a log
)

// Evidence is what a member knows at one moment.
type Evidence struct {
	AddressesOpen    bool // its listeners are open
	PeerAlive        bool // another member is alive
	NoPeers          bool // every configured address refused the connection
	Log              Log
	RunnersKnown     bool // a list of runners was received since the start or the last stall
	ReplicasCompared bool // replicas were compared with those of an earlier member, if there is one
	Unrestricted     bool // the admission window has been wide enough for all arriving jobs
}

// Bounds are the longest waits for evidence, by stage; 0 waits for ever. After it the member
// continues without the evidence. The list of runners has no bound: without it nothing could be
// sent.
type Bounds struct{ Listening, Joining, CatchingUp, Probation time.Duration }

// Defaults returns the default bounds. For comparison: a failed member is detected after about 4
// s, a new leader is elected within 1.3 s, and replicas of 20,000 runners are fetched in 3 s.
func Defaults() Bounds {
	return Bounds{Listening: 2 * time.Second, Joining: 2 * time.Second, CatchingUp: 5 * time.Second, Probation: 10 * time.Second}
}

// Transition is a change of stage with its reason.
type Transition struct {
	From, To Stage
	Why      string        // the evidence, or what was missing
	TimedOut bool          // the bound passed without the evidence
	Elapsed  time.Duration // time spent in the stage left
}

// Machine is one member's rejoin state machine. The zero value is that of a process that has just
// started, with no bounds.
type Machine struct {
	Bounds  Bounds
	stage   Stage
	entered time.Duration
}

// Stage returns the current stage.
func (m *Machine) Stage() Stage { return m.stage }

// Step applies the evidence known at time now and returns the resulting transitions in order.
func (m *Machine) Step(now time.Duration, e Evidence) (transitions []Transition) {
	for {
		why, timedOut, ok := m.next(now, e)
		if !ok {
			return transitions
		}
		transitions = append(transitions, m.enter(m.stage+1, now, why, timedOut))
	}
}

// ProcessStalled returns a member that is past CatchingUp to that stage: its list of runners and
// its replicas missed the updates of the stall and have to be fetched again.
func (m *Machine) ProcessStalled(now time.Duration) (transitions []Transition) {
	if m.stage > CatchingUp {
		transitions = append(transitions, m.enter(CatchingUp, now, "the process stood still", false))
	}
	return transitions
}

func (m *Machine) enter(s Stage, now time.Duration, why string, timedOut bool) Transition {
	transition := Transition{From: m.stage, To: s, Why: why, TimedOut: timedOut, Elapsed: now - m.entered}
	m.stage, m.entered = s, now
	return transition
}

// next returns the reason to advance, if there is one.
func (m *Machine) next(now time.Duration, e Evidence) (why string, timedOut, ok bool) {
	exceeded := func(bound time.Duration) bool { return bound > 0 && now-m.entered >= bound }
	switch m.stage {
	case Empty:
		return "its addresses are open", false, e.AddressesOpen
	case Listening:
		switch {
		case e.PeerAlive:
			return "another member is alive", false, true
		case e.NoPeers:
			return "nobody listens at any address that the settings name", false, true
		case exceeded(m.Bounds.Listening):
			return "no member has answered", true, true
		}
	case Joining:
		switch {
		case e.Log != LogUnknown:
			return "how the log stands is known", false, true
		case exceeded(m.Bounds.Joining):
			return "the log has no leader", true, true
		}
	case CatchingUp:
		missing := missing(e)
		switch {
		case !e.RunnersKnown:
		case missing == "":
			return "list, copies and log are caught up", false, true
		case exceeded(m.Bounds.CatchingUp):
			return missing, true, true
		}
	case Probation:
		switch {
		case e.Unrestricted:
			return "what came was served", false, true
		case exceeded(m.Bounds.Probation):
			return "the door was never open wide enough for all that came", true, true
		}
	}
	return "", false, false
}

func missing(e Evidence) string {
	switch {
	case e.Log == LogBehind:
		return "entries of the log are not applied"
	case !e.ReplicasCompared:
		return "copies were compared with nobody who was there before"
	}
	return ""
}

// WaitsFor describes to operators what the member lacks to advance; empty for nothing.
func (m *Machine) WaitsFor(e Evidence) string {
	switch m.stage {
	case Empty:
		return "its addresses are not open"
	case Listening:
		return "no other member has answered"
	case Joining:
		return "the log has no leader yet"
	case CatchingUp:
		if !e.RunnersKnown {
			return "no runner is known: discovery has not answered, and no member has told of any"
		}
		return missing(e)
	case Probation:
		return "the door opens with what is served"
	}
	return ""
}
