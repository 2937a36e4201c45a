package decision

import (
	"time"

	"frosttide/decision/forecast"
)

// EventType says what an Event reports.
type EventType uint8

// The types of events, each with the fields of Event that it sets beside Type. Marked fields are those whose
// comment begins with the type; a load report is Load and LoadCount.
const (
	MembersReplaced   EventType = iota + 1 // Members: the complete list
	MembersChanged                         // Members: the changed entries
	MembersFailed                          // none: a Subscribe or Fetch has failed
	RequestArrived                         // Request, Class, Tenant, Deadline, Slots, Hint, marked fields
	RequestCanceled                        // Request: the client has left and gets no answer
	AttemptStarted                         // Request, Attempt, Worker: the worker has begun to run it
	AttemptProgressed                      // Request, Attempt, Worker, Progress
	AttemptAccepted                        // Request, Attempt, Worker: a streamed answer has begun
	AttemptEnded                           // Request, Attempt, Worker, Outcome, load report, marked fields
	ProbeEnded                             // Worker, Outcome, load report
	TimerFired                             // Token
	HealthRestored                         // Worker, Health: found by an earlier process of this dispatcher
	SettingsChanged                        // Settings
	RequestStraggling                      // Request: its attempt is far slower than usual; a hedge may help
)

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes of attempts and probes.
const (
	Served        Outcome = iota // the worker answered
	Errored                      // the worker answered with an error; it may have run
	Rejected                     // the worker rejected it unseen; it never ran
	TimedOut                     // no answer in time; it may have run or still run
	ConnectFailed                // no connection came up; it never ran
	ConnReset                    // the connection broke; it may have run
	Canceled                     // the dispatcher canceled it; it may have run
	NotSent                      // the host did not send it; it never ran
	Unusable                     // no worker can use the request; it never ran
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent || o == Unusable
}

// MemberState is the state of a worker by the list.
type MemberState uint8

// The states of a worker.
const (
	Ready    MemberState = iota // takes new work
	Draining                    // finishes what it has and takes no new work
	Removed                     // is no longer listed
)

// Member is one entry of the list of workers.
type Member struct {
	Worker WorkerID
	Zone   int
	Kind   int
	Cell   int
	State  MemberState
	Weight float64 // relative capacity; 1 is assumed where it is not positive
	// StartedAt is the time of its last start by the dispatchers' clock; 0 for long ago.
	StartedAt time.Duration
	// Reinstated has a warming worker get one light request at a time, as one that an operator has put back.
	Reinstated  bool
	WarmUpPeers int    // how many dispatchers use it while it warms up; 0 for all
	TokenLimit  int    // how many tokens it has; 0 for the usual number
	ClassMask   uint64 // the classes that it can do, a bit for each number below 64; 0 for all
}

// Event is one thing that has happened. Type tells which fields are set.
type Event struct {
	Type              EventType
	Outcome           Outcome
	RequestClosed     bool // AttemptEnded: the request has been answered or has no client any more
	CancelUnconfirmed bool // AttemptEnded: the worker may not know of its cancel; no other follows
	Retry             bool // RequestArrived: the client repeats an earlier request, where clients mark that
	ProcessStopping   bool // RequestArrived: the deadline is the end of this process
	Compensating      bool // RequestArrived: it undoes earlier work, and overload does not reject it
	LoadCount         uint8
	Attempt           int // the attempt's number within its request, from 0
	Request           RequestID
	Worker            WorkerID
	Class             int // index into Config.Classes
	Tenant            int // index into Config.Tenants
	Token             uint32
	Deadline          time.Duration // by the clock of Step
	Slots             float64
	Memory            float64
	Hint              time.Duration // RequestArrived: a rough estimate of its run time; 0 for none
	Key               uint64
	Progress          float64             // fraction done, 0 to 1
	Load              [MaxMetrics]float32 // the first LoadCount values, by Config.Metrics
	Members           []Member

	PriorAttempts []AttemptRecord // RequestArrived: the attempts of an earlier process of this dispatcher
	Health        Health
	Settings      *Config // classes keep their indexes, and new ones come after them
}

// AttemptRecord is what a dispatcher knows of an attempt. Processes hand it to their successors as JSON, by
// the names of its fields.
type AttemptRecord struct {
	Worker    WorkerID
	SentAt    time.Duration
	StartedAt time.Duration
	Started   bool
	Ended     bool
	Outcome   Outcome
}

// Health is what a dispatcher has found of a worker. It is stored, and sent between members, as JSON by the
// names of its fields.
type Health struct {
	Failures  int              // in a row, without a start between
	Failed    bool             // it has tokens for one request until it has served one
	RestUntil time.Duration    // it is avoided until then
	Pace      float64          // its run times relative to the mean of their classes
	PaceAt    time.Duration    // when Pace was last measured
	Most      int              // the most slots that its requests have been seen to use at once
	Load      forecast.Learned // what load reports and runs have shown
}
