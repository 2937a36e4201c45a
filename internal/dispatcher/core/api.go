package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/trace"
)

// Job is what a client asks for, in no protocol's terms. What a runner is to
// get passes through unchanged.
type Job struct {
	ID       string // the client's name for the request, unique among those that are open
	Method   string
	Resource string // path and query
	Key      string // idempotency key, empty for none
	Body     []byte

	Class            int
	Tenant           int // whose it is, from 1 in the order of the settings; 0 for nobody's
	Slots            float64
	Memory           float64
	Subject          uint64        // what the request concerns; 0 for none
	Hint             time.Duration // a rough estimate of the work; 0 for none
	Retry            bool          // a client's repeat
	ProcessStopping  bool          // the deadline is the end of this process
	Gang             *Gang         // the gang that it is a part of; nil for none
	Compensating     bool          // it undoes what was done: it is not shed as new work is
	Placements       Placements    // agrees on where it goes; nil for nobody
	ClientLeft       func() bool   // tells at once, from any goroutine, whether its client has left; nil for unknown
	admissionCounted bool          // the door has let it in and counts it
	Deadline         time.Time

	Record *trace.Record // nil for none; from Submit on it is the core's
}

// Gang names a part of a gang of jobs, which is as late as its slowest part.
type Gang struct {
	ID    string
	N, Of int // from 1
}

// GangObserver watches the parts of gangs. None of its methods blocks.
type GangObserver interface {
	Joined(job *Job, left time.Duration)
	Sent(job *Job, attempt int, uid string)
	Started(job *Job, attempt int)
	Progressed(job *Job, attempt int, share float64)
	Ended(job *Job, attempt int, served bool)
	Closed(job *Job)
}

// Verdict is the kind of a final answer.
type Verdict uint8

// The final answers.
const (
	Served    Verdict = iota // Result is what a runner gave
	Rejected                 // refused: trying again is harmless
	Failed                   // no promise about the effect
	Duplicate                // a request of this id is open already; nothing was done
	Unusable                 // a runner can't use the job, and none will; it never ran
)

// Response is the one final answer of a request.
type Response struct {
	Verdict    Verdict
	Result     []byte
	Last       []byte        // the part of Result that no Streamer has had
	Streamed   bool          // Last is set
	RetryAfter time.Duration // for Shed; 0 for no advice
}

// Ingress is the client's side of a request. Answer is called exactly once,
// unless the client has left before, and must not block.
type Ingress interface{ Respond(Response) }

// Streamer is an Ingress that wants to hear of what runners tell while a job runs. Stream
// must not block; nothing comes after the answer.
type Streamer interface{ Stream(JobEvent) }

// AttemptRef names a hop: a request of this process and its attempt's number.
type AttemptRef struct {
	Request decision.RequestID
	Number  int
}

// Attempt is one attempt of a job at one egress target.
type Attempt struct {
	Ref       AttemptRef
	Job       *Job
	Deadline  time.Time // when the core stops waiting
	Permit    *Permit   // what may stop it until its first byte is written; nil for nothing
	Exclusive bool      // no other may be out beside it, or follow it if it may have run
	Confirm   bool      // GiveUp: another may follow once the runner has heard of it
	Parent    string    // traceparent of this hop; empty where nothing is recorded
	State     string    // tracestate
}

// Fields are what a log line about the hop says of its request.
func (h *Attempt) Fields() logrus.Fields {
	f := logrus.Fields{"id": h.Job.ID}
	if c, ok := trace.ParseParent(h.Parent, ""); ok {
		f["trace"] = c.Trace.String()
	}
	return f
}

// Backend is an egress target. None of its methods may block. What becomes of a
// hop is reported to the core by HopEnded, or by Report.
type Backend interface {
	Send(Attempt)
	Cancel(Attempt)         // the core waits no longer: closes before the job is taken, recalls it after; HopRecalled tells
	Probe(time.Time)        // asks for a load report until the deadline; ProbeEnded tells
	SetAddress(addr string) // the address has changed
	Close()                 // the target has left the route table
}

// Backends makes the egress targets as the route table names them.
type Backends interface {
	Open(worker decision.WorkerID, uid, addr string) Backend
}

// RouteTable is discovery's list. None of its methods may block; what it finds
// comes by ListReplaced, ListChanged and ListFailed.
type RouteTable interface {
	Watch()
	Fetch()
}

// Route is one entry of the route table.
type Route struct {
	UID, Addr string
	ZoneName  string
	Source    uint8 // who lists it: 0 for discovery. A whole list takes nobody else's away
	Withheld  bool  // nobody vouches for it yet: it is listed as draining and gets nothing
	decision.Member
}

// JobState is what a runner reports of a job.
type JobState uint8

// The states of a job at a runner.
const (
	JobStarted JobState = iota
	JobRunning
	JobDone
	JobFailed
	JobReturned // handed back unstarted
	JobLost
	JobData      // a part of the result
	JobWarning   // a word to the client
	JobException // why it will fail
)

// JobEvent is a runner's report on a job that it has been sent.
type JobEvent struct {
	ID, From string
	State    JobState
	Share    float64
	Result   []byte
	Last     []byte // the part of the result that has not come as JobData
	Streamed bool   // Last is set
	Load     []float32
}

// WorkerObserver is told what jobs find of runners. None of its methods may block.
type WorkerObserver interface {
	AttemptEnded(uid string, o decision.Outcome)
	JobStarted(uid string)
	UnknownSender(uid string) // a job sent to it is reported on by another name
}

// MembersFunc is told how many runners are listed, and how many of them get no new work.
type MembersFunc func(listed, unavailable int)
