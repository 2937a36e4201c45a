package trace

import "time"

// Kind is why an attempt was made.
type Kind string

// The kinds of attempts.
const (
	First Kind = "first"
	Retry Kind = "retry" // all earlier attempts had ended
	Hedge Kind = "copy"  // an earlier attempt had not ended
)

// Attempt is the record of one attempt at a runner. Times are since 1970; a zero time has not come.
type Attempt struct {
	Span             SpanID        `json:"span"`
	Kind             Kind          `json:"kind"`
	HedgeOf          int           `json:"of"` // the index of the attempt that a hedge duplicates
	Backend          string        `json:"target"`
	Addr             string        `json:"addr"`
	Zone             string        `json:"zone"`
	WarmingUp        bool          `json:"cold,omitempty"` // the runner may not have had its full capacity
	Sent             time.Duration `json:"began"`
	Accepted         time.Duration `json:"taken"`
	Started          time.Duration `json:"started"`
	Cancelled        time.Duration `json:"recalled"`
	Ended            time.Duration `json:"ended"`
	Outcome          string        `json:"outcome"`
	MayHaveRun       bool          `json:"may_have_run,omitempty"`
	Bytes            int           `json:"bytes"` // of the request's body
	ReusedConnection bool          `json:"kept,omitempty"`
	Events           []Event       `json:"notes,omitempty"`
	DroppedEvents    int           `json:"unnoted,omitempty"` // past maxEvents
}

// Event is a runner's report on an attempt.
type Event struct {
	At       time.Duration `json:"at"`
	Name     string        `json:"what"`
	Progress float64       `json:"share,omitempty"` // from 0 to 1
}

// maxEvents bounds the memory that a runner's reports take. Reports come every few seconds; those past the bound are
// counted only.
const maxEvents = 16

// AddEvent records a runner's report.
func (a *Attempt) AddEvent(at time.Duration, name string, progress float64) {
	if name == "started" && a.Started == 0 {
		a.Started = at
	}
	if len(a.Events) >= maxEvents {
		a.DroppedEvents++
		return
	}
	a.Events = append(a.Events, Event{At: at, Name: name, Progress: progress})
}
