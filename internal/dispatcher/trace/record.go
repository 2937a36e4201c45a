package trace

import "time"

// Result is the outcome of a request, under its name in spans and metrics.
type Result string

// The results of a request.
const (
	Served    Result = "served"
	Refused   Result = "refused"  // rejected; the client can safely retry
	Failed    Result = "failed"   // the job may have had side effects
	Invalid   Result = "unusable" // malformed and never run
	Expired   Result = "expired"  // the deadline passed
	Abandoned Result = "gone"     // the client disconnected before the response
)

// The components that end requests, as Record.AnsweredBy names them.
const (
	ByRunner  = "runner"
	ByModule  = "module"
	ByCore    = "core"
	ByIngress = "ingress"
)

// Record is the record of one request, from which its spans are made. The component that owns the
// request writes it; once the request has ended it must not be modified. Times are durations since
// the Unix epoch. The JSON form is part of the state that a process hands over to its successor
// during an upgrade.
type Record struct {
	Trace         ID     `json:"trace"`
	Span          SpanID `json:"span"`
	Parent        SpanID `json:"parent"` // the client's span; zero if there is none
	TraceState    string `json:"state,omitempty"`
	ParentSampled bool   `json:"sampled,omitempty"` // the sampled flag of the client's trace
	Selected      bool   `json:"picked,omitempty"`  // kept by the sampler even if it is not notable

	Request     string        `json:"request"` // the client's id of the request
	Class       string        `json:"class"`
	Method      string        `json:"method"`
	Value       float64       `json:"worth"`
	Slots       float64       `json:"slots"`
	Keyed       bool          `json:"keyed,omitempty"`
	ClientRetry bool          `json:"repeat,omitempty"` // the client marked it as a retry
	RetryKey    uint64        `json:"try,omitempty"`    // shared by a client's tries of one job; 0 if unknown
	RetryWindow time.Duration `json:"window"`           // for how long retries are linked to this request

	Received   time.Duration `json:"came"`
	Deadline   time.Duration `json:"deadline"`
	Ended      time.Duration `json:"ended"`
	Result     Result        `json:"answer"`
	AnsweredBy string        `json:"by"`
	Reason     string        `json:"why"`
	Status     int           `json:"status,omitempty"`  // HTTP status of the response; 0 for none
	Backend    string        `json:"target,omitempty"`  // uid of the runner that served it
	Retryable  bool          `json:"refusal,omitempty"` // the client was told that a retry is safe
	Overdue    bool          `json:"late,omitempty"`    // served later than the latency target
	HandedOver bool          `json:"moved,omitempty"`   // received by the previous process

	Attempts []Attempt       `json:"hops,omitempty"`
	Links    []SpanReference `json:"links,omitempty"` // to the client's previous try
}

// StartAttempt adds an attempt and returns its index. An attempt that starts while an earlier one
// is in progress is recorded as a hedge of that one, not as a retry.
func (r *Record) StartAttempt(attempt Attempt) int {
	attempt.Span, attempt.Kind = NewSpanID(), First
	for i := range r.Attempts {
		if r.Attempts[i].Ended == 0 {
			attempt.Kind, attempt.HedgeOf = Hedge, i
			break
		}
		attempt.Kind = Retry
	}
	r.Attempts = append(r.Attempts, attempt)
	return len(r.Attempts) - 1
}

// Finish records the end of the request: its time, its result, the component that ended it and the
// reason.
func (r *Record) Finish(at time.Duration, result Result, answeredBy, reason string) {
	r.Ended, r.Result, r.AnsweredBy, r.Reason = at, result, answeredBy, reason
}

// AttemptContext returns the trace context that is sent to the runner with an attempt.
func (r *Record) AttemptContext(attempt int) Context {
	return Context{Trace: r.Trace, Span: r.Attempts[attempt].Span, State: r.TraceState, Sampled: r.Selected}
}

// Hedged reports whether any attempt was a hedge.
func (r *Record) Hedged() bool {
	for i := range r.Attempts {
		if r.Attempts[i].Kind == Hedge {
			return true
		}
	}
	return false
}

// Size returns the approximate memory use of the record in bytes.
func (r *Record) Size() int {
	n := 512 + len(r.Request) + len(r.TraceState) + len(r.Links)*64
	for i := range r.Attempts {
		n += 256 + len(r.Attempts[i].Addr) + len(r.Attempts[i].Events)*48
	}
	return n
}
