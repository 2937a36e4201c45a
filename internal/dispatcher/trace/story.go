package trace

import "time"

// Result is how a request ended.
type Result string

// The ways in which a request ends.
const (
	Served    Result = "served"
	Refused   Result = "refused"  // trying again is harmless
	Failed    Result = "failed"   // no promise about the effect
	Invalid   Result = "unusable" // nobody can use it; it never ran
	Expired   Result = "expired"  // its time was up
	Abandoned Result = "gone"     // its client left before the answer
)

// The parts that give answers.
const (
	ByRunner  = "runner"
	ByModule  = "module"
	ByCore    = "core"
	ByIngress = "ingress"
)

// Kind tells why there is a hop.
type Kind string

// The kinds of hops.
const (
	First Kind = "first"
	Retry Kind = "retry" // every earlier hop had ended
	Hedge Kind = "copy"  // an earlier hop was still out: a sibling, not a new request
)

// Record is what one request went through. Whoever holds the request writes it; once
// the request has ended nobody does. Times are since 1970.
type Record struct {
	Trace         ID     `json:"trace"`
	Span          SpanID `json:"span"`
	Parent        SpanID `json:"parent"` // of the client's span; zero for none
	TraceState    string `json:"state,omitempty"`
	ParentSampled bool   `json:"sampled,omitempty"` // the client's trace is recorded; false without one
	Selected      bool   `json:"picked,omitempty"`  // it is kept even if nothing happens to it

	Request     string        `json:"request"` // the client's name for it
	Class       string        `json:"class"`
	Method      string        `json:"method"`
	Value       float64       `json:"worth"`
	Slots       float64       `json:"slots"`
	Keyed       bool          `json:"keyed,omitempty"`
	ClientRetry bool          `json:"repeat,omitempty"` // the client says that it tries again
	RetryKey    uint64        `json:"try,omitempty"`    // the same for all tries of one thing; 0 where that is not known
	RetryWindow time.Duration `json:"window"`           // how long after this one a repeat belongs to it

	Received   time.Duration `json:"came"`
	Deadline   time.Duration `json:"deadline"`
	Ended      time.Duration `json:"ended"`
	Result     Result        `json:"answer"`
	AnsweredBy string        `json:"by"`
	Reason     string        `json:"why"`
	Status     int           `json:"status,omitempty"`  // of the HTTP answer; 0 for none
	Backend    string        `json:"target,omitempty"`  // whose result the client got
	Retryable  bool          `json:"refusal,omitempty"` // the client was told that trying again is harmless
	Overdue    bool          `json:"late,omitempty"`    // served after the wanted time
	HandedOver bool          `json:"moved,omitempty"`   // an older process has begun it

	Attempts []Attempt       `json:"hops,omitempty"`
	Links    []SpanReference `json:"links,omitempty"` // the try before
}

// Attempt is one attempt. Times that are zero have not come.
type Attempt struct {
	Span             SpanID        `json:"span"`
	Kind             Kind          `json:"kind"`
	HedgeOf          int           `json:"of"` // the hop that a copy copies, by its place
	Backend          string        `json:"target"`
	Addr             string        `json:"addr"`
	Zone             string        `json:"zone"`
	WarmingUp        bool          `json:"cold,omitempty"` // it may not have had its whole capacity
	Sent             time.Duration `json:"began"`
	Accepted         time.Duration `json:"taken"`
	Started          time.Duration `json:"started"`
	Cancelled        time.Duration `json:"recalled"`
	Ended            time.Duration `json:"ended"`
	Outcome          string        `json:"outcome"`
	MayHaveRun       bool          `json:"may_have_run,omitempty"`
	Bytes            int           `json:"bytes"`
	ReusedConnection bool          `json:"kept,omitempty"` // it went out on a connection used before
	Events           []Event       `json:"notes,omitempty"`
	DroppedEvents    int           `json:"unnoted,omitempty"` // notes past the bound
}

// Event is a runner's word on a hop.
type Event struct {
	At       time.Duration `json:"at"`
	Name     string        `json:"what"`
	Progress float64       `json:"share,omitempty"`
}

// maxEvents bounds what a runner's reports may take of memory: one comes every few
// seconds, and further ones are only counted.
const maxEvents = 16

// StartAttempt begins a hop and returns its place. Guards the reader from taking a hedged copy
// for a further request: it is named as what it is, and whom it copies.
func (record *Record) StartAttempt(attempt Attempt) int {
	attempt.Span, attempt.Kind = NewSpanID(), First
	for i := range record.Attempts {
		if record.Attempts[i].Ended == 0 {
			attempt.Kind, attempt.HedgeOf = Hedge, i
			break
		}
		attempt.Kind = Retry
	}
	record.Attempts = append(record.Attempts, attempt)
	return len(record.Attempts) - 1
}

// AddEvent takes down a runner's word.
func (attempt *Attempt) AddEvent(at time.Duration, name string, progress float64) {
	if name == "started" && attempt.Started == 0 {
		attempt.Started = at
	}
	if len(attempt.Events) >= maxEvents {
		attempt.DroppedEvents++
		return
	}
	attempt.Events = append(attempt.Events, Event{At: at, Name: name, Progress: progress})
}

// Finish takes down how the request was answered.
func (record *Record) Finish(at time.Duration, result Result, answeredBy, reason string) {
	record.Ended, record.Result, record.AnsweredBy, record.Reason = at, result, answeredBy, reason
}

// AttemptContext returns what a runner is told of the trace by a hop.
func (record *Record) AttemptContext(attempt int) Context {
	return Context{Trace: record.Trace, Span: record.Attempts[attempt].Span, State: record.TraceState, Sampled: record.Selected}
}

// Hedged tells whether any hop was a copy.
func (record *Record) Hedged() bool {
	for i := range record.Attempts {
		if record.Attempts[i].Kind == Hedge {
			return true
		}
	}
	return false
}

// Size returns about how many bytes of memory the story takes.
func (record *Record) Size() int {
	n := 512 + len(record.Request) + len(record.TraceState) + len(record.Links)*64
	for i := range record.Attempts {
		n += 256 + len(record.Attempts[i].Addr) + len(record.Attempts[i].Events)*48
	}
	return n
}
