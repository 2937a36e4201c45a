package decision

import "time"

// RequestID names one request of a client. The host never uses an ID twice.
type RequestID uint32

// WorkerID names a worker, the same at every dispatcher. A machine that restarts keeps its ID.
type WorkerID uint32

// Effect says what a second execution of a request would do.
type Effect uint8

const (
	// Safe requests may run any number of times.
	Safe Effect = iota
	// Keyed requests carry a key by which the workers of a DedupScope drop repeats within a window.
	Keyed
	// Unsafe requests must never run twice.
	Unsafe
)

// DedupScope is the group of workers that drop each other's repeats of a keyed request.
type DedupScope uint8

// The scopes, from the largest to the smallest.
const (
	ScopeAll  DedupScope = iota // all workers
	ScopeZone                   // the workers of a zone
	ScopeCell                   // the workers of a cell
)

// Class describes one kind of request.
type Class struct {
	Effect     Effect
	DedupScope DedupScope // of a Keyed class
	// DedupWindow is how long workers drop repeats of a Keyed request, from the sending of its first attempt.
	DedupWindow time.Duration
	// Objective and Stretch make the latency target: a request that runs for a time t is on time within
	// Objective + Stretch*t.
	Objective time.Duration
	Stretch   float64
	// ClientTimeout is how long a client waits in all.
	ClientTimeout time.Duration
	// MeanRunTime is the mean time from start to answer that an earlier process has measured; 0 for unknown.
	MeanRunTime time.Duration
	// Value is what an answer on time is worth, LateValue the fraction of it that a later answer keeps.
	Value, LateValue float64
	Streamed         bool // its answers are streams: AttemptAccepted may come
	WorkerKind       int  // the kind of worker that it needs; -1 for any
	Priority         int
}

// Tenant is one of several customers that share the fleet.
type Tenant struct {
	// RatePerSecond is the tenant's quota in requests per second over all dispatchers; 0 for no limit.
	RatePerSecond float64
}

// Limits are what the deployment permits.
type Limits struct {
	MaxAttempts    int           // attempts per request; 0 for no limit
	HedgingAllowed bool          // a request may have two attempts open at once
	CancelAllowed  bool          // the action Cancel may be used
	ProbeAllowed   bool          // the action Probe may be used
	RetryAfter     bool          // clients are given the retry-after of a rejection
	MaxRetryAfter  time.Duration // the longest retry-after that a client heeds
	ConnectTimeout time.Duration // after it a connection that has not come up is given up
}

// Rules are the figures of the guarantees that a dispatcher keeps on its own.
type Rules struct {
	// DrainGrace is how long after the notice of a worker's drain or removal work may still be sent to it.
	DrainGrace time.Duration
	// InitialCapacity is the least fraction of its capacity that a worker has at its start; it has all of it
	// WarmUp later at the latest.
	InitialCapacity float64
	WarmUp          time.Duration
	// A warming worker that is sent more than OverloadMultiple times its present capacity for OverloadWindow
	// crashes.
	OverloadMultiple float64
	OverloadWindow   time.Duration
	// MaxRefreshInterval is how often, at the least, a dispatcher that pulls its members must ask for them.
	MaxRefreshInterval time.Duration
}

// Metric names a value of a load report.
type Metric uint8

// The metrics of load reports. Those not mentioned elsewhere in this package are read and not used.
const (
	MetricUnknown     Metric = iota // a value that the module does not use
	MetricInFlight                  // requests that run or wait at the worker
	MetricQueued                    // requests that wait at the worker
	MetricUtilization               // fraction of the worker's capacity in use, 0 to 1
	MetricLatency                   // milliseconds
	MetricServedRate                // requests served per second
	MetricErrorRate                 // requests failed per second
	MetricFreeSlots                 // slots that no request uses
	MetricFreeMemory                // memory that no request uses
)

// MaxSlots is the largest number of slots of one request that a worker's usual number of tokens covers.
const MaxSlots = 8

// MaxMetrics is how many values a load report holds at most.
const MaxMetrics = 4

// Config is what a Dispatcher is made with. The zero value of a field means that the deployment has or allows
// nothing of the kind.
type Config struct {
	Instance  int // this dispatcher's number, from 0
	Instances int // how many dispatchers share the fleet
	Zone      int // the zone of this dispatcher
	Zones     int // how many zones there are
	Classes   []Class
	Tenants   []Tenant
	Limits    Limits
	Rules     Rules
	Metrics   []Metric // what the values of Event.Load mean, in order
	// PullMembers has the dispatcher ask for the list of workers; otherwise it comes by itself.
	PullMembers bool
	StartEvents bool // workers report when a request starts
	WeightKnown bool // Member.Weight tells something of a worker's capacity
	Quantum     time.Duration
	// CrossZonePenalty is the value lost by an attempt that crosses zones, as a fraction of Class.Value.
	CrossZonePenalty float64
}
