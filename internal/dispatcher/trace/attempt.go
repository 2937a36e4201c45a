package trace

import "time"

// Kind tells why an attempt was made.
type Kind string

// The kinds of attempts.
const (
	First Kind = "first"
	Retry Kind = "retry" // started after all earlier attempts had ended
	Hedge Kind = "copy"  // started while an earlier attempt was in progress
)

// Attempt is the record of one attempt to run a job on a runner. Times are durations since the Unix
// epoch; zero means that the event has not happened.
type Attempt struct {
	Span             SpanID        `json:"span"`
	Kind             Kind          `json:"kind"`
	HedgeOf          int           `json:"of"` // index of the attempt that a hedge duplicates
	Backend          string        `json:"target"`
	Addr             string        `json:"addr"`
	Zone             string        `json:"zone"`
	WarmingUp        bool          `json:"cold,omitempty"` // runner possibly below full capacity
	Sent             time.Duration `json:"began"`
	Accepted         time.Duration `json:"taken"`
	Started          time.Duration `json:"started"`
	Cancelled        time.Duration `json:"recalled"`
	Ended            time.Duration `json:"ended"`
	Outcome          string        `json:"outcome"`
	MayHaveRun       bool          `json:"may_have_run,omitempty"`
	Bytes            int           `json:"bytes"` // size of the request's body
	ReusedConnection bool          `json:"kept,omitempty"`
	Events           []Event       `json:"notes,omitempty"`
	DroppedEvents    int           `json:"unnoted,omitempty"` // events beyond maxEvents
}

// Event is a status report of a runner on an attempt.
type Event struct {
	At       time.Duration `json:"at"`
	Name     string        `json:"what"`
	Progress float64       `json:"share,omitempty"` // from 0 to 1
}

// maxEvents bounds the memory for a runner's reports. Reports come every few seconds; those beyond
// the bound are only counted.
const maxEvents = 16

// AddEvent records a runner's report. The first one named started also sets the attempt's start
// time.
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
