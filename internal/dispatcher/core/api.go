package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/trace"
)

// Job is a client's request, independent of the protocol by which it came. Method, Resource and
// Body reach the worker unchanged.
type Job struct {
	ID       string // the client's ID of the request, unique among open requests
	Method   string
	Resource string // path and query
	Key      string // idempotency key; "" for none
	Body     []byte

	Class    int           // index of the class in the settings
	Tenant   int           // index of the tenant in the settings plus 1; 0 for none
	Slots    float64       // slots that the job occupies at a worker
	Memory   float64       // memory that it needs at a worker, in the unit of the settings
	Subject  uint64        // what the request is about, for affinity; 0 for none
	Hint     time.Duration // rough estimate of the run time; 0 for none
	Retry    bool          // the client marked the job as a retry
	Deadline time.Time     // when the client stops waiting

	// ProcessStopping means that Deadline is the end of this process.
	ProcessStopping bool
	// Compensating marks a job that undoes an effect. Load shedding does not reject it as new work.
	Compensating bool
	Gang         *Gang // the gang that the job belongs to; nil for none
	// Placements records in the cluster's replicated log where the job is sent; nil if that is not
	// required.
	Placements Placements
	// ClientLeft reports, without blocking, whether the client has disconnected. It is safe for
	// concurrent use; nil if that is unknown.
	ClientLeft func() bool

	admissionCounted bool // the admission limiter counts the job as in flight

	// Record is the span record, nil for none. The core owns it from Submit on.
	Record *trace.Record
}

// Gang identifies one part of a gang: a group of jobs that completes when its slowest part does.
type Gang struct {
	ID    string
	N, Of int // this is part N of Of, from 1
}

// GangObserver is notified about the parts of gangs. Its methods must not block.
type GangObserver interface {
	// Joined reports a new part and the time left until its deadline.
	Joined(job *Job, remaining time.Duration)
	// Sent reports that an attempt of a part was sent to the worker uid.
	Sent(job *Job, attempt int, uid string)
	// Started reports that the worker of an attempt has started to run the part.
	Started(job *Job, attempt int)
	// Progressed reports the completed fraction of a part, from 0 to 1.
	Progressed(job *Job, attempt int, share float64)
	// Ended reports the end of an attempt; served is true if it completed the part.
	Ended(job *Job, attempt int, served bool)
	// Closed reports that a part got its response, or that its client has disconnected.
	Closed(job *Job)
}

// Verdict classifies final responses.
type Verdict uint8

// The verdicts.
const (
	Served    Verdict = iota // a worker completed the job; Result is set
	Rejected                 // the job did not run, so a retry is safe
	Failed                   // the job failed; it may or may not have run
	Duplicate                // a request with this ID is open already; this one did not run
	Unusable                 // the job never ran, because no worker can run it
)

// Response is the final response to a request.
type Response struct {
	Verdict    Verdict
	Result     []byte
	Last       []byte        // the part of Result that was not streamed
	Streamed   bool          // Last is set
	RetryAfter time.Duration // for Rejected: delay before a retry; 0 for none
}

// Ingress is the client's side of one request.
type Ingress interface {
	// Respond delivers the final response. It is called exactly once, unless the client has
	// disconnected before, and must not block.
	Respond(Response)
}

// Streamer is an Ingress that also receives the workers' reports while the job runs.
type Streamer interface {
	// Stream delivers one report. It must not block and is not called after Respond.
	Stream(JobEvent)
}

// AttemptRef identifies an attempt by its request in this process and its number within the
// request, from 0.
type AttemptRef struct {
	Request decision.RequestID
	Number  int
}

// Attempt is one attempt to run a job at one worker.
type Attempt struct {
	Ref      AttemptRef
	Job      *Job
	Deadline time.Time // when the core stops waiting
	// Permit is checked immediately before the first byte is written; nil permits the attempt.
	Permit *Permit
	// Exclusive means that no other attempt of the request may be open at the same time, and that
	// none may follow if this one may have run.
	Exclusive bool
	// Confirm applies to Backend.Cancel: another attempt may follow once the worker knows of the
	// cancellation.
	Confirm bool
	Parent  string // traceparent header of the attempt; "" if it is not traced
	State   string // tracestate header of the attempt
}

// Fields returns the log fields that identify the attempt's request.
func (a *Attempt) Fields() logrus.Fields {
	fields := logrus.Fields{"id": a.Job.ID}
	if c, ok := trace.ParseParent(a.Parent, ""); ok {
		fields["trace"] = c.Trace.String()
	}
	return fields
}

// Backend is the connection to one worker. Its methods must not block. It reports what becomes of
// an attempt through AttemptAccepted, AttemptEnded, AttemptRecalled or Report of the core.
type Backend interface {
	// Send sends an attempt.
	Send(Attempt)
	// Cancel stops waiting for an attempt: it closes the connection if the worker has not accepted
	// the job yet, and otherwise recalls the job from the worker. The end is reported by
	// AttemptRecalled.
	Cancel(Attempt)
	// Probe requests a load report from the worker. ProbeEnded reports the result, by the deadline.
	Probe(deadline time.Time)
	// SetAddress changes the worker's address.
	SetAddress(addr string)
	// Close is called when the worker has left the route table. The backend closes once its open
	// attempts have ended.
	Close()
}

// Backends opens the backends of the workers in the route table.
type Backends interface {
	Open(worker decision.WorkerID, uid, addr string) Backend
}

// RouteTable is discovery's list of workers. Its methods must not block. It delivers its content
// through RoutesReplaced, RoutesChanged and DiscoveryFailed of the core.
type RouteTable interface {
	// Watch subscribes to changes of the list.
	Watch()
	// Fetch requests the complete list once.
	Fetch()
}

// Route is one entry of the route table.
type Route struct {
	UID, Addr string
	ZoneName  string
	// Source says who lists the worker: 0 for discovery. RoutesReplaced removes only workers of
	// source 0.
	Source uint8
	// Withheld means that no source has confirmed the entry yet. It is listed as draining, so it
	// gets no work.
	Withheld bool
	decision.Member
}

// ReportResult says whether this process holds the job that a worker's report is about.
type ReportResult uint8

// The values of ReportResult.
const (
	NotHeld ReportResult = iota // the job is unknown or has already been answered
	Held
	Moving // the job was transferred to another process, which may not hold it yet
)

// JobState is the state of a job in a worker's report.
type JobState uint8

// The states that workers report.
const (
	JobStarted JobState = iota
	JobRunning
	JobDone
	JobFailed
	JobReturned // handed back by the worker, which never started it
	JobLost
	JobData      // carries a part of the result
	JobWarning   // carries a message for the client
	JobException // carries the reason why the job is about to fail
)

// JobEvent is a worker's report on a job. The processes of one dispatcher forward it to each other
// as JSON under its field names.
type JobEvent struct {
	ID, From string // ID of the job, UID of the worker
	State    JobState
	Share    float64 // completed fraction, 0 to 1
	Result   []byte
	Last     []byte    // the part of Result that was not sent as JobData
	Streamed bool      // Last is set
	Load     []float32 // load report, in the order of decision.Config.Metrics
}

// WorkerObserver is notified about what attempts reveal about workers. Its methods must not block.
type WorkerObserver interface {
	// AttemptEnded reports the outcome of an attempt at a worker, and how the attempt was
	// delivered.
	AttemptEnded(uid string, o decision.Outcome, d Delivery)
	// JobStarted reports that a worker has started a job.
	JobStarted(uid string)
	// UnknownSender reports that a job sent to the worker uid was reported on by a worker with
	// another UID.
	UnknownSender(uid string)
}

// MembersFunc receives the number of listed workers, and how many of them get no new work. It must
// not block.
type MembersFunc func(listed, unavailable int)
