package decision

import (
	"time"

	"frosttide/decision/forecast"
)

// EventType is the type of an Event.
type EventType uint8

// The types of events, each with the fields of Event that it sets in addition to Type. "Marked fields" are
// the fields of Event whose comment begins with the type; "load report" means Load and LoadCount.
const (
	MembersReplaced   EventType = iota + 1 // Members: the complete list
	MembersChanged                         // Members: the changed entries
	MembersFailed                          // no fields: a Subscribe or Fetch has failed
	RequestArrived                         // Request, Class, Tenant, Deadline, Slots, Hint, marked fields
	RequestCanceled                        // Request: the client has disconnected and gets no answer
	AttemptStarted                         // Request, Attempt, Worker: the worker has started the request
	AttemptProgressed                      // Request, Attempt, Worker, Progress
	AttemptAccepted                        // Request, Attempt, Worker: a streamed answer has begun
	AttemptEnded                           // Request, Attempt, Worker, Outcome, load report, marked fields
	ProbeEnded                             // Worker, Outcome, load report
	TimerFired                             // Token
	HealthRestored                         // Worker, Health: recorded by an earlier process
	SettingsChanged                        // Settings
	RequestStraggling                      // Request: its attempt is far slower than usual; hedging may help
)

// Outcome is the result of an attempt or a probe.
type Outcome uint8

// The outcomes of attempts and probes.
const (
	Served        Outcome = iota // the worker answered
	Errored                      // the worker answered with an error; it may have run
	Rejected                     // the worker rejected it before running it; it never ran
	TimedOut                     // no answer in time; it may have run or still run
	ConnectFailed                // no connection was established; it never ran
	ConnReset                    // the connection broke; it may have run
	Canceled                     // the dispatcher canceled it; it may have run
	NotSent                      // the host did not send it; it never ran
	Unusable                     // no worker can run the request; it never ran
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent || o == Unusable
}

// MemberState is the state of a worker according to the list of workers.
type MemberState uint8

// The states of a worker.
const (
	Ready    MemberState = iota // takes new work
	Draining                    // finishes its open work and takes no new work
	Removed                     // is no longer listed
)

// Member is one entry of the list of workers.
type Member struct {
	Worker WorkerID
	Zone   int
	Kind   int
	Cell   int
	State  MemberState
	Weight float64 // relative capacity; taken as 1 if it is not positive or not finite
	// StartedAt is the time of the last start by the dispatchers' clock; 0 if that was long ago.
	StartedAt time.Duration
	// Reinstated marks a worker that an operator has put back: while it warms up, it gets one light request
	// at a time.
	Reinstated  bool
	WarmUpPeers int    // number of dispatchers that use it while it warms up; 0 for all
	TokenLimit  int    // number of tokens; 0 for the default
	ClassMask   uint64 // bit i is set if it runs class i, for classes below 64; 0 for all classes
}

// Event is an input of the Dispatcher. Type determines which fields are set.
type Event struct {
	Type              EventType
	Outcome           Outcome
	RequestClosed     bool // AttemptEnded: the request has been answered or its client has disconnected
	CancelUnconfirmed bool // AttemptEnded: the worker may not have received the cancel; no retry follows
	Retry             bool // RequestArrived: the client marked the request as a retry
	ProcessStopping   bool // RequestArrived: the deadline is the end of this process
	Compensating      bool // RequestArrived: it undoes earlier work and is exempt from overload rejection
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
	Hint              time.Duration // RequestArrived: rough estimate of the run time; 0 for none
	Key               uint64
	Progress          float64             // completed fraction, 0 to 1
	Load              [MaxMetrics]float32 // LoadCount values, in the order of Config.Metrics
	Members           []Member

	PriorAttempts []AttemptRecord // RequestArrived: the attempts of an earlier process of this dispatcher
	Health        Health
	Settings      *Config // existing classes keep their indexes, new ones are appended
}

// AttemptRecord is the state of an attempt as handed to a successor process. It is encoded as JSON under its
// field names.
type AttemptRecord struct {
	Worker    WorkerID
	SentAt    time.Duration
	StartedAt time.Duration
	Started   bool
	Ended     bool
	Outcome   Outcome
}

// Health is a dispatcher's record of a worker's health. It is stored, and sent between members, as JSON under
// its field names.
type Health struct {
	Failures  int              // consecutive failures, without a start in between
	Failed    bool             // limited to the tokens of one request until it has served one
	RestUntil time.Duration    // the worker is avoided until this time
	Pace      float64          // run times relative to the mean of the requests' classes
	PaceAt    time.Duration    // when Pace was last measured
	Most      int              // maximum number of slots observed in use at once
	Load      forecast.Learned // estimates learned from load reports and runs
}
