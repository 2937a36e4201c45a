package trace

import "time"

// Result is how a request ended, as spans and figures name it.
type Result string

// The results of a request.
const (
	Served    Result = "served"
	Refused   Result = "refused"  // rejected: the client may safely try again
	Failed    Result = "failed"   // the job may have had an effect
	Invalid   Result = "unusable" // the request was malformed and never ran
	Expired   Result = "expired"  // its deadline passed
	Abandoned Result = "gone"     // the client left before the response
)

// The parts of the system that end requests.
const (
	ByRunner  = "runner"
	ByModule  = "module"
	ByCore    = "core"
	ByIngress = "ingress"
)

// Record is the record of one request, from which its spans are made. Whoever holds the request writes it; from the
// request's end on it must not be changed. Times are since 1970; its JSON form is part of the hand-over between the
// processes of an upgrade.
type Record struct {
	Trace         ID     `json:"trace"`
	Span          SpanID `json:"span"`
	Parent        SpanID `json:"parent"` // the client's span; zero for none
	TraceState    string `json:"state,omitempty"`
	ParentSampled bool   `json:"sampled,omitempty"` // the client's trace is sampled
	Selected      bool   `json:"picked,omitempty"`  // the sampler keeps it even if it is not notable

	Request     string        `json:"request"` // the client's name of the request
	Class       string        `json:"class"`
	Method      string        `json:"method"`
	Value       float64       `json:"worth"`
	Slots       float64       `json:"slots"`
	Keyed       bool          `json:"keyed,omitempty"`
	ClientRetry bool          `json:"repeat,omitempty"` // the client says that it retries
	RetryKey    uint64        `json:"try,omitempty"`    // equal for all of a client's attempts at the same job; 0 if unknown
	RetryWindow time.Duration `json:"window"`           // how long after this request a retry belongs to it

	Received   time.Duration `json:"came"`
	Deadline   time.Duration `json:"deadline"`
	Ended      time.Duration `json:"ended"`
	Result     Result        `json:"answer"`
	AnsweredBy string        `json:"by"`
	Reason     string        `json:"why"`
	Status     int           `json:"status,omitempty"`  // of the HTTP response; 0 for none
	Backend    string        `json:"target,omitempty"`  // the uid of the runner whose result the client got
	Retryable  bool          `json:"refusal,omitempty"` // the client was told that it may safely try again
	Overdue    bool          `json:"late,omitempty"`    // served after the latency target
	HandedOver bool          `json:"moved,omitempty"`   // received by an earlier process

	Attempts []Attempt       `json:"hops,omitempty"`
	Links    []SpanReference `json:"links,omitempty"` // to the client's attempt before
}

// StartAttempt adds an attempt and returns its index. An attempt that starts while an earlier one has not ended is a
// hedge of that one, and is recorded as such, so that it is not read as a retry.
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

// Finish records the request's end.
func (r *Record) Finish(at time.Duration, result Result, answeredBy, reason string) {
	r.Ended, r.Result, r.AnsweredBy, r.Reason = at, result, answeredBy, reason
}

// AttemptContext returns the trace context that an attempt's request carries to the runner.
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

// Size returns approximately how many bytes of memory the record takes.
func (r *Record) Size() int {
	n := 512 + len(r.Request) + len(r.TraceState) + len(r.Links)*64
	for i := range r.Attempts {
		n += 256 + len(r.Attempts[i].Addr) + len(r.Attempts[i].Events)*48
	}
	return n
}
