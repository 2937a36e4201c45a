package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/trace"
)

// Job is what a client asks for, in no protocol's terms. Method, resource and body
// reach the worker unchanged.
type Job struct {
	ID       string // the client's name for the request, unique among open requests
	Method   string
	Resource string // path and query
	Key      string // idempotency key; empty for none
	Body     []byte

	Class    int           // number of the class in the settings
	Tenant   int           // number of the tenant in the settings, from 1; 0 for none
	Slots    float64       // slots that the job occupies at a worker
	Memory   float64       // memory that it needs there, in the unit of the settings
	Subject  uint64        // what the request concerns, for affinity; 0 for nothing
	Hint     time.Duration // rough estimate of its run time; 0 for none
	Retry    bool          // the client says that it retries
	Deadline time.Time     // when its client stops waiting

	ProcessStopping bool        // the deadline is the end of this process
	Compensating    bool        // it undoes an effect, so load shedding does not reject it as new work
	Gang            *Gang       // the gang that it is a part of; nil for none
	Placements      Placements  // agrees on where it is sent; nil where nothing has to agree
	ClientLeft      func() bool // reports at once whether its client has left; safe for concurrent use; nil where unknown

	admissionCounted bool // admission counts it among the jobs in flight

	Record *trace.Record // nil for none; the core owns it from Submit on
}

// Gang names a part of a gang of jobs, which completes with its slowest part.
type Gang struct {
	ID    string
	N, Of int // part N of Of, from 1
}

// GangObserver observes the parts of gangs. None of its methods blocks.
type GangObserver interface {
	// Joined reports a new part and the time until its deadline.
	Joined(job *Job, remaining time.Duration)
	// Sent reports an attempt of a part at a worker.
	Sent(job *Job, attempt int, uid string)
	// Started reports that the worker of an attempt has started the part.
	Started(job *Job, attempt int)
	// Progressed reports the finished share of a part, from 0 to 1.
	Progressed(job *Job, attempt int, share float64)
	// Ended reports the end of an attempt.
	Ended(job *Job, attempt int, served bool)
	// Closed reports that a part has its response or its client has left.
	Closed(job *Job)
}

// Verdict is the kind of a final response.
type Verdict uint8

// The verdicts.
const (
	Served    Verdict = iota // Result is what a worker returned
	Rejected                 // nothing was done, and a retry is harmless
	Failed                   // nothing is promised about the job's effect
	Duplicate                // a request with this ID is open already; nothing was done
	Unusable                 // a worker can't use the job, and none will; it never ran
)

// Response is the one final response of a request.
type Response struct {
	Verdict    Verdict
	Result     []byte
	Last       []byte        // the part of Result that was not streamed before
	Streamed   bool          // Last is set
	RetryAfter time.Duration // for Rejected: when to retry; 0 for no advice
}

// Ingress is the client's side of a request.
type Ingress interface {
	// Respond is called exactly once, unless the client has left before. It must
	// not block.
	Respond(Response)
}

// Streamer is an Ingress that takes the reports of workers while a job runs.
type Streamer interface {
	// Stream must not block. It is not called after Respond.
	Stream(JobEvent)
}

// AttemptRef identifies an attempt: a request of this process and the attempt's
// number, from 0.
type AttemptRef struct {
	Request decision.RequestID
	Number  int
}

// Attempt is one attempt of a job at one backend.
type Attempt struct {
	Ref       AttemptRef
	Job       *Job
	Deadline  time.Time // when the core stops waiting
	Permit    *Permit   // what may stop it until its first byte is written; nil for nothing
	Exclusive bool      // no other attempt may be out beside it, or follow it if it may have run
	Confirm   bool      // for Cancel: another attempt may follow once the worker knows of the cancellation
	Parent    string    // traceparent header of this attempt; empty where nothing is recorded
	State     string    // tracestate header
}

// Fields returns the log fields that identify the attempt's request.
func (a *Attempt) Fields() logrus.Fields {
	fields := logrus.Fields{"id": a.Job.ID}
	if c, ok := trace.ParseParent(a.Parent, ""); ok {
		fields["trace"] = c.Trace.String()
	}
	return fields
}

// Backend is the way to one worker. None of its methods may block. It reports
// what becomes of an attempt by AttemptAccepted, AttemptEnded, AttemptRecalled or
// Report of the core.
type Backend interface {
	// Send sends an attempt.
	Send(Attempt)
	// Cancel stops waiting for an attempt: it closes the connection before the
	// worker has accepted the job, and recalls the job after. AttemptRecalled
	// reports the end.
	Cancel(Attempt)
	// Probe asks the worker for a load report by a deadline. ProbeEnded reports it.
	Probe(deadline time.Time)
	// SetAddress changes the address of the worker.
	SetAddress(addr string)
	// Close ends the backend, because its worker has left the route table, once its
	// attempts have ended.
	Close()
}

// Backends makes the backends of the workers in the route table.
type Backends interface {
	Open(worker decision.WorkerID, uid, addr string) Backend
}

// RouteTable is discovery's list of workers. None of its methods may block. It
// reports its content by RoutesReplaced, RoutesChanged and DiscoveryFailed.
type RouteTable interface {
	// Watch subscribes to changes.
	Watch()
	// Fetch asks for the whole list.
	Fetch()
}

// Route is one entry of the route table.
type Route struct {
	UID, Addr string
	ZoneName  string
	Source    uint8 // who lists it, 0 for discovery; a whole list removes only entries of discovery
	Withheld  bool  // nothing confirms it yet: it is listed as draining and gets no work
	decision.Member
}

// ReportResult is whether a process holds the job that a report is on.
type ReportResult uint8

// The results.
const (
	NotHeld ReportResult = iota // the job is unknown, or has its response
	Held
	Moving // the process has released the job to another one, which may not hold it yet
)

// JobState is what a worker reports of a job.
type JobState uint8

// The states of a job at a worker.
const (
	JobStarted JobState = iota
	JobRunning
	JobDone
	JobFailed
	JobReturned // handed back without having been started
	JobLost
	JobData      // carries a part of the result
	JobWarning   // carries a message to the client
	JobException // says why the job will fail
)

// JobEvent is a worker's report on a job that was sent to it. Processes of one
// dispatcher exchange it as JSON under these field names.
type JobEvent struct {
	ID, From string // the job's ID and the worker's UID
	State    JobState
	Share    float64 // finished share, from 0 to 1
	Result   []byte
	Last     []byte    // the part of the result that did not come as JobData
	Streamed bool      // Last is set
	Load     []float32 // load report, by the columns of the settings
}

// WorkerObserver learns what jobs show of workers. None of its methods blocks.
type WorkerObserver interface {
	// AttemptEnded reports the outcome of an attempt at a worker, and how it went out.
	AttemptEnded(uid string, o decision.Outcome, d Delivery)
	// JobStarted reports that a worker has started a job.
	JobStarted(uid string)
	// UnknownSender reports that a job sent to a worker was reported on under
	// another worker's UID.
	UnknownSender(uid string)
}

// MembersFunc receives the number of listed workers and of those among them that
// get no new work. It must not block.
type MembersFunc func(listed, unavailable int)
