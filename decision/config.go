package decision

import "time"

// RequestID identifies one request of a client. The host never uses an ID twice.
type RequestID uint32

// WorkerID identifies a worker; all dispatchers use the same ID. A machine that restarts keeps its ID.
type WorkerID uint32

// Effect classifies requests by what a second execution would do.
type Effect uint8

const (
	// Safe requests may run any number of times.
	Safe Effect = iota
	// Keyed requests carry a key by which the workers of a DedupScope drop duplicates within a window.
	Keyed
	// Unsafe requests must never run twice.
	Unsafe
)

// DedupScope is the group of workers that share their duplicate detection for keyed requests.
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
	// DedupWindow is how long workers drop duplicates of a Keyed request, counted from its first Send.
	DedupWindow time.Duration
	// Objective and Stretch define the latency target: a request with a run time of t is on time within
	// Objective + Stretch*t.
	Objective time.Duration
	Stretch   float64
	// ClientTimeout is how long a client waits for the answer, retries included.
	ClientTimeout time.Duration
	// MeanRunTime is the mean time from start to answer as measured by an earlier process; 0 for unknown.
	MeanRunTime time.Duration
	// Value is the value of an answer on time, LateValue the fraction of it that a late answer retains.
	Value, LateValue float64
	Streamed         bool // answers are streamed, so AttemptAccepted may occur
	WorkerKind       int  // the required kind of worker; -1 for any
	Priority         int
}

// Tenant is one of several customers that share the fleet.
type Tenant struct {
	// RatePerSecond is the tenant's quota in requests per second over all dispatchers; 0 for no limit.
	RatePerSecond float64
}

// Limits holds what the deployment permits.
type Limits struct {
	MaxAttempts    int           // attempts per request; 0 for no limit
	HedgingAllowed bool          // a request may have two attempts open at once
	CancelAllowed  bool          // the Cancel action may be used
	ProbeAllowed   bool          // the Probe action may be used
	RetryAfter     bool          // rejections carry a retry-after to the client
	MaxRetryAfter  time.Duration // the longest retry-after that clients respect
	ConnectTimeout time.Duration // how long the host tries to connect to a worker
}

// Rules holds the parameters of the guarantees that each dispatcher enforces on its own.
type Rules struct {
	// DrainGrace is how long work may still be sent to a worker after its drain or removal was announced.
	DrainGrace time.Duration
	// InitialCapacity is the minimum fraction of its full capacity that a worker has when it starts; it
	// reaches full capacity after WarmUp at the latest.
	InitialCapacity float64
	WarmUp          time.Duration
	// OverloadMultiple and OverloadWindow define overload: a warming worker crashes if it is sent more than
	// OverloadMultiple times its current capacity for OverloadWindow.
	OverloadMultiple float64
	OverloadWindow   time.Duration
	// MaxRefreshInterval is the longest interval between two calls for the list of workers by a dispatcher
	// that pulls it.
	MaxRefreshInterval time.Duration
}

// Metric identifies a value of a load report.
type Metric uint8

// The metrics of load reports. Metrics not mentioned elsewhere in this package are read but not used.
const (
	MetricUnknown     Metric = iota // a value that this package ignores
	MetricInFlight                  // requests running or waiting at the worker
	MetricQueued                    // requests waiting at the worker
	MetricUtilization               // fraction of the worker's capacity in use, 0 to 1
	MetricLatency                   // milliseconds
	MetricServedRate                // requests served per second
	MetricErrorRate                 // requests failed per second
	MetricFreeSlots                 // unused slots
	MetricFreeMemory                // unused memory
)

// MaxSlots is the largest number of slots per request that a worker's default number of tokens covers.
const MaxSlots = 8

// MaxMetrics is the maximum number of values in a load report.
const MaxMetrics = 4

// Config describes the deployment to a Dispatcher. The zero value of a field means that the deployment does
// not have or does not allow the feature.
type Config struct {
	Instance  int // this dispatcher's number, from 0
	Instances int // number of dispatchers that share the fleet
	Zone      int // the zone of this dispatcher
	Zones     int // number of zones
	Classes   []Class
	Tenants   []Tenant
	Limits    Limits
	Rules     Rules
	Metrics   []Metric // meaning of the values of Event.Load, in order
	// PullMembers makes the dispatcher ask for the list of workers; otherwise the host delivers it unasked.
	PullMembers bool
	StartEvents bool // workers report when a request starts
	WeightKnown bool // Member.Weight reflects the worker's capacity
	Quantum     time.Duration
	// CrossZonePenalty is the value lost by an attempt that crosses zones, as a fraction of Class.Value.
	CrossZonePenalty float64
}
