// Package stage is the state machine by which a member rejoins its fleet after a start or a stall,
// and the rights that it has in each stage. Evidence advances the machine, not elapsed time; each
// stage that waits for evidence has a timeout after which the member continues without it and
// reports what was missing.
//
// Package rejoin drives the machine. Invariants: the machine advances one stage at a time, a
// stalled process returns to CatchingUp, and no stage past CatchingUp is entered without a list of
// runners.
//
// The package is pure: it does no I/O and reads no clock. A Machine is not safe for concurrent
// use.
package stage

import "time"

// Stage is a step in rejoining the fleet.
type Stage uint8

// The stages, in order.
const (
	Starting   Stage = iota // its listeners are not open yet; reported as "empty"
	Listening               // its listeners are open; no other member is known
	Joining                 // another member is alive, or there is none; the state of the log is unknown
	CatchingUp              // it fetches the shared state from other members
	Probation               // it serves jobs under an admission limit that grows with the served jobs
	Full                    // it serves jobs without restriction
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
	AdmitAll                      // every job is admitted
)

// Rights are the actions that a stage permits.
type Rights struct {
	Admission        Admission
	KeyedJobs        bool // accept keyed jobs, which must not run twice and may have been sent by another member before
	OutcomesComplete bool // treat its outcome records of keyed jobs as complete
	CountsPeers      bool // use the number of live members, as these know of this member too
	RunsWorkflows    bool // take over workflows of other members
}

// Rights returns the rights in a stage if the list of runners is current; see Machine.Rights.
func (s Stage) Rights() Rights {
	switch s {
	case Starting:
		return Rights{}
	case Probation:
		return Rights{Admission: AdmitLimited, KeyedJobs: true, OutcomesComplete: true, CountsPeers: true}
	case Full:
		return Rights{Admission: AdmitAll, KeyedJobs: true, OutcomesComplete: true, CountsPeers: true, RunsWorkflows: true}
	}
	return Rights{Admission: AdmitLimited}
}

// Rights returns the member's rights given the evidence e. Up to CatchingUp, no job is admitted
// without a current list of runners, because runners may have been drained or replaced while the
// process was stalled.
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
	LogBehind             // there is a leader, and some entries are not applied at this member
	LogApplied            // all entries are applied at this member
	LogLost               // the log is lost; the stored exclusions remain in force until an operator decides
	LogNone               // the voters have never started a log
)

// Evidence is what a member knows at a point in time.
type Evidence struct {
	AddressesOpen    bool // its listeners are open
	PeerAlive        bool // another member is alive
	NoPeers          bool // every configured address refused the connection
	Log              Log
	RunnersKnown     bool // a list of runners was received since the start or the last stall
	ReplicasCompared bool // replicas were compared with those of a member that started earlier, if there is one
	Unrestricted     bool // the admission window has been wide enough for all arriving jobs
}

// Bounds are the timeouts of the stages: after that time in a stage, the member continues without
// the missing evidence. 0 means no timeout. Waiting for the list of runners has no timeout, because
// no job can be sent without it.
type Bounds struct{ Listening, Joining, CatchingUp, Probation time.Duration }

// Defaults returns the default timeouts. For comparison: a failed member is detected after about
// 4 s, a new leader is elected within 1.3 s, and replicas of 20,000 runners are fetched in 3 s.
func Defaults() Bounds {
	return Bounds{Listening: 2 * time.Second, Joining: 2 * time.Second, CatchingUp: 5 * time.Second, Probation: 10 * time.Second}
}

// Transition is a change from one stage to another.
type Transition struct {
	From, To Stage
	Why      string        // the evidence that caused it, or what was missing at the timeout
	TimedOut bool          // the timeout passed without the evidence
	Elapsed  time.Duration // time spent in the stage From
}

// Machine is one member's rejoin state machine. The zero value is that of a process that has just
// started, without timeouts.
type Machine struct {
	Bounds  Bounds
	stage   Stage
	entered time.Duration // time at which the current stage was entered
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

// ProcessStalled returns a member that is past CatchingUp to that stage, because its list of
// runners and its replicas missed the updates during the stall and have to be fetched again.
func (m *Machine) ProcessStalled(now time.Duration) (transitions []Transition) {
	if m.stage > CatchingUp {
		transitions = append(transitions, m.enter(CatchingUp, now, "the process was stalled", false))
	}
	return transitions
}

// enter changes to a stage and returns the transition.
func (m *Machine) enter(s Stage, now time.Duration, why string, timedOut bool) Transition {
	transition := Transition{From: m.stage, To: s, Why: why, TimedOut: timedOut, Elapsed: now - m.entered}
	m.stage, m.entered = s, now
	return transition
}

// next returns the reason to advance to the next stage, if there is one, and whether it is a
// timeout.
func (m *Machine) next(now time.Duration, e Evidence) (why string, timedOut, ok bool) {
	timedOutAfter := func(timeout time.Duration) bool { return timeout > 0 && now-m.entered >= timeout }
	switch m.stage {
	case Starting:
		return "its addresses are open", false, e.AddressesOpen
	case Listening:
		switch {
		case e.PeerAlive:
			return "another member is alive", false, true
		case e.NoPeers:
			return "every configured address refused the connection", false, true
		case timedOutAfter(m.Bounds.Listening):
			return "no member has answered", true, true
		}
	case Joining:
		switch {
		case e.Log != LogUnknown:
			return "the state of the log is known", false, true
		case timedOutAfter(m.Bounds.Joining):
			return "the log has no leader", true, true
		}
	case CatchingUp:
		missing := missingEvidence(e)
		switch {
		case !e.RunnersKnown:
		case missing == "":
			return "the list of runners, the replicas and the log are up to date", false, true
		case timedOutAfter(m.Bounds.CatchingUp):
			return missing, true, true
		}
	case Probation:
		switch {
		case e.Unrestricted:
			return "the admission window was wide enough for all arriving jobs", false, true
		case timedOutAfter(m.Bounds.Probation):
			return "the admission window was never wide enough for all arriving jobs", true, true
		}
	}
	return "", false, false
}

// missingEvidence describes what a member lacks in CatchingUp besides the list of runners; empty if
// nothing.
func missingEvidence(e Evidence) string {
	switch {
	case e.Log == LogBehind:
		return "entries of the log are not applied"
	case !e.ReplicasCompared:
		return "copies were compared with nobody who was there before"
	}
	return ""
}

// WaitsFor describes to operators what the member lacks to advance; empty if nothing. Its texts are
// part of responses to operators and must not change.
func (m *Machine) WaitsFor(e Evidence) string {
	switch m.stage {
	case Starting:
		return "its addresses are not open"
	case Listening:
		return "no other member has answered"
	case Joining:
		return "the log has no leader yet"
	case CatchingUp:
		if !e.RunnersKnown {
			return "no runner is known: discovery has not answered, and no member has told of any"
		}
		return missingEvidence(e)
	case Probation:
		return "the door opens with what is served"
	}
	return ""
}
