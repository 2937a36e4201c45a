// Package decision decides, for a dispatcher that pushes jobs to workers,
// which worker gets which request and when to try again, wait, refuse or fail.
//
// A host feeds a Dispatcher with events through Step and carries out the
// actions it returns. The Dispatcher is a pure state machine: it reads no
// clock, starts no goroutine, does no I/O and draws its random numbers from
// the seed it was made with, so equal events lead to equal actions.
//
// This file is the whole interface; machine.go holds the state, and the files that the deploy
// file names under policy every decision.
package decision

import (
	"time"

	"frosttide/decision/forecast"
)

// RequestID names one try of a client; the host never uses an ID twice.
type RequestID uint32

// WorkerID names a worker, the same at every dispatcher. A machine that
// restarts keeps its ID.
type WorkerID uint32

// Effect says what a second execution of a request would do.
type Effect uint8

const (
	Safe   Effect = iota // may run any number of times
	Keyed                // repeats are dropped inside a group of workers, for a while
	Unsafe               // must never run twice
)

// DedupScope is the group of workers that drops the repeats of a keyed request.
type DedupScope uint8

const (
	ScopeAll  DedupScope = iota // any worker
	ScopeZone                   // workers of the same zone
	ScopeCell                   // workers of the same cell
)

// Class describes one kind of request.
type Class struct {
	Effect        Effect
	DedupScope    DedupScope    // for Keyed
	DedupWindow   time.Duration // for Keyed: how long repeats are dropped, from the first send
	Objective     time.Duration // an answer within this (and Stretch times the run time) earns full worth
	Stretch       float64
	ClientTimeout time.Duration // how long a client waits in all
	MeanRunTime   time.Duration // mean time from start to answer, of an earlier process; 0 for none
	Value         float64
	LateValue     float64 // share of Worth for an answer after the objective
	Streamed      bool    // answers are streams: AttemptAccepted may come
	WorkerKind    int     // the kind of worker it needs, -1 for any
	Priority      int
}

// Tenant is one of several customers that share the fleet.
type Tenant struct {
	RatePerSecond float64 // what its share allows over all dispatchers; 0 for no limit
}

// Limits are what the deployment permits.
type Limits struct {
	MaxAttempts    int           // attempts per request; 0 for no limit
	HedgingAllowed bool          // a request may have two attempts out at once
	CancelAllowed  bool          // Cancel may be used
	ProbeAllowed   bool          // Probe may be used
	RetryAfter     bool          // clients are given the retry-after of a refusal
	MaxRetryAfter  time.Duration // the longest that a client heeds
	ConnectTimeout time.Duration
}

// Rules are the figures of the guarantees a dispatcher keeps on its own.
type Rules struct {
	DrainGrace         time.Duration // sends to a draining or gone worker end within this
	InitialCapacity    float64       // a worker starts at this share of its capacity or more
	WarmUp             time.Duration // and is warm after this at the latest
	OverloadMultiple   float64       // a cold worker sent more than this many times its capacity
	OverloadWindow     time.Duration // for this long falls over
	MaxRefreshInterval time.Duration // a dispatcher that pulls its list must ask at least this often
}

// Metric names a value of a load report.
type Metric uint8

const (
	MetricUnknown     Metric = iota // a value that the module does not use
	MetricInFlight                  // requests that the worker is handling
	MetricQueued                    // requests that wait at the worker
	MetricUtilization               // share of the worker's capacity in use, 0 to 1
	MetricLatency                   // milliseconds
	MetricServedRate                // requests served per second
	MetricErrorRate                 // requests failed per second
	MetricFreeSlots                 // slots that no request holds
	MetricFreeMemory                // memory that no request holds
)

// MaxSlots is the largest slot demand that is reckoned with.
const MaxSlots = 8

// MaxMetrics is the most values that a load report holds.
const MaxMetrics = 4

// Config is what a Dispatcher is told when it starts. The zero value of a
// field means that the deployment has or allows nothing of the kind.
type Config struct {
	Instance         int // this dispatcher's number, from 0
	Instances        int // how many dispatchers share the fleet
	Zone             int // where this dispatcher runs
	Zones            int
	Classes          []Class
	Tenants          []Tenant
	Limits           Limits
	Rules            Rules
	Metrics          []Metric // meaning of Load values, in order
	PullMembers      bool     // the worker list comes only when asked for
	StartEvents      bool     // workers tell when a job starts
	WeightKnown      bool     // Member.Weight says something about capacity
	Quantum          time.Duration
	CrossZonePenalty float64 // points lost for an attempt that crosses zones, as a share of worth
}

// EventType says what an Event reports.
type EventType uint8

const (
	MembersReplaced   EventType = iota + 1 // Members is the whole list
	MembersChanged                         // Members holds the changed entries
	MembersFailed                          // a Subscribe or Fetch failed
	RequestArrived                         // Request, Class, Tenant, Deadline, Slots, Memory, Key
	RequestCanceled                        // the client left: nothing more is owed
	AttemptStarted                         // the worker began to run the attempt
	AttemptProgressed                      // Progress is the share done
	AttemptAccepted                        // a streamed answer has begun
	AttemptEnded                           // Outcome, Closed, Load
	ProbeEnded                             // Worker, Outcome, Load
	TimerFired                             // Token
	HealthRestored                         // Worker, Health: from an earlier process of this dispatcher
	SettingsChanged                        // Settings
	RequestStraggling                      // its attempt is far behind its like: a copy would help
)

// Outcome says how an attempt ended.
type Outcome uint8

const (
	Served        Outcome = iota // the worker answered
	Errored                      // the worker answered with an error; it may have run
	Rejected                     // turned away unseen; it never ran
	TimedOut                     // no answer in time; it may have run or still run
	ConnectFailed                // no connection; it never ran
	ConnReset                    // the connection broke; it may have run
	Canceled                     // called off; it may have run
	NotSent                      // the host did not send it; it never ran
	Unusable                     // no worker can use the request; it never ran
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent || o == Unusable
}

// MemberState is what the worker list says of a worker.
type MemberState uint8

const (
	Ready    MemberState = iota // takes new work
	Draining                    // finishes what it has and takes no new work
	Removed                     // no longer listed
)

// Member is one entry of the worker list.
type Member struct {
	Worker      WorkerID
	Zone        int
	Kind        int
	Cell        int
	State       MemberState
	Weight      float64
	StartedAt   time.Duration // clock time of its last start; 0 for long ago
	Reinstated  bool          // it gets a little work while it is cold, as one that an operator put back
	WarmUpPeers int           // how many dispatchers use it while it is cold; 0 for all
	TokenLimit  int           // all that it has; 0 for the usual number
	ClassMask   uint64        // classes that it can do, a bit for each number below 64; 0 for all
}

// Event is one thing that happened. Type tells which fields are set.
type Event struct {
	Type              EventType
	Outcome           Outcome
	RequestClosed     bool // AttemptEnded: the request is over
	CancelUnconfirmed bool // AttemptEnded: its worker may not know that it was given up; no other may follow
	Retry             bool // RequestArrived: a client's repeat, where clients mark it
	ProcessStopping   bool // RequestArrived: the deadline is the end of this process
	Compensating      bool // RequestArrived: it takes back what was done, and is not shed as new work is
	LoadCount         uint8
	Attempt           int
	Request           RequestID
	Worker            WorkerID
	Class             int
	Tenant            int
	Token             uint32
	Deadline          time.Duration
	Slots             float64
	Memory            float64
	Hint              time.Duration // RequestArrived: a rough estimate of the work; 0 for none
	Key               uint64
	Progress          float64
	Load              [MaxMetrics]float32 // the first Loads values, as named by Config.Metrics
	Members           []Member

	PriorAttempts []AttemptRecord // RequestArrived: the attempts of an earlier process
	Health        Health
	Settings      *Config // classes keep their numbers, and new ones come after them
	Processes     int     // of this dispatcher, which share its part of what cold workers bear
}

// AttemptRecord is what a dispatcher knows of an attempt of a request.
type AttemptRecord struct {
	Worker    WorkerID
	SentAt    time.Duration
	StartedAt time.Duration
	Started   bool
	Ended     bool
	Outcome   Outcome
}

// Health is what a dispatcher has found of a worker's health.
type Health struct {
	Failures  int  // in a row, without a start between
	Failed    bool // it has tokens for one job, until it serves one
	RestUntil time.Duration
	Pace      float64 // its jobs' time to run, against those of its like
	PaceAt    time.Duration
	Most      int // slots that its jobs have been seen to use at once
	Load      forecast.Learned
}

// ActionType says what an Action asks for.
type ActionType uint8

const (
	Send      ActionType = iota + 1 // start an attempt: Request, Worker, After (time-out; 0: the deadline)
	Cancel                          // stop waiting for an attempt: Request, Attempt
	Reject                          // final answer: trying again is harmless; After is the retry-after
	Fail                            // final answer: no promise about the effect
	SetTimer                        // At, Token
	Probe                           // Worker
	Subscribe                       // ask for changes to the worker list from now on
	Fetch                           // ask for the whole worker list once
)

// Action is one thing the host is to do, in the order given.
type Action struct {
	Type        ActionType
	Attempt     int
	Request     RequestID
	Worker      WorkerID
	Token       uint32
	After       time.Duration
	LatestStart time.Duration // Send: the latest moment at which it may begin; 0 for its deadline
	At          time.Duration
	Reason      Reason // Refuse and Fail: for those who look into it later
}
