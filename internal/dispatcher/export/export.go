// Package export takes the records of requests that have ended, keeps those that the sampler selects or that are
// notable, and sends them, and the figures made of all of them, to OpenTelemetry collectors or into a file. The ingress,
// the core and the Gearman server write records.
//
// Invariants: those who write records never block, and what can't be taken, kept or sent in time is dropped and counted;
// memory is bounded by the intake and by the queues, and descriptors by MaxSockets; a shutdown waits for no collector
// that hangs.
//
// An Exporter is safe for concurrent use. Each configuration in force has an actor, which owns the records, and a
// pipeline with a goroutine of its own for each sink.
package export

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/measures"
	"frosttide/internal/dispatcher/trace"
)

// MaxSockets is how many descriptors the export takes at most: a connection for each of two signals, one of each that is
// just being closed, and a file during its rotation.
const MaxSockets = 6

const (
	// intakeCapacity bounds the records that the actor has not seen yet. Past it they are dropped, also from the
	// figures; this takes a core whose time others use up.
	intakeCapacity = 1024
	// maxRetryKeys bounds the keys by which clients' retries are linked.
	maxRetryKeys = 4096
	// closeTimeout bounds the time for the last records at the process's end.
	closeTimeout = 250 * time.Millisecond
	// hangTimeout is how long a call may take, beside the batch delay, before its collector counts as hanging.
	hangTimeout = 100 * time.Millisecond
)

// Exporter takes records and exports them by the options in force. No method but Close blocks.
type Exporter struct {
	log     *logrus.Entry
	current atomic.Pointer[actor] // nil while nothing is exported
	mu      sync.Mutex            // held while the actor is exchanged; not by those who write records
}

// New makes an exporter that exports nothing until Configure is called.
func New(log *logrus.Entry) *Exporter { return &Exporter{log: log} }

// Configure puts options in force. What waits under the options before is sent by them in the background for the batch
// delay and a second at most, then dropped.
func (e *Exporter) Configure(o Options) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	var next *actor
	if o.Enabled() {
		var err error
		if next, err = newActor(o, e.log); err != nil {
			return err
		}
		go next.run()
	}
	if previous := e.current.Swap(next); previous != nil {
		go previous.close(time.Now().Add(previous.options.BatchDelay + time.Second)) // ends by then
	}
	return nil
}

// Begin returns the record of a request that was received at a time. It continues the client's trace if the headers
// traceparent and tracestate name one. It returns nil, which all writers of records accept, while nothing is exported.
func (e *Exporter) Begin(received time.Time, parent, state string) *trace.Record {
	a := e.current.Load()
	if a == nil {
		return nil
	}
	r := &trace.Record{Span: trace.NewSpanID(), Received: time.Duration(received.UnixNano())}
	if c, ok := trace.ParseParent(parent, state); ok {
		r.Trace, r.Parent, r.TraceState, r.ParentSampled = c.Trace, c.Span, c.State, c.Sampled
	} else {
		r.Trace = trace.NewID()
	}
	r.Selected = a.options.Sampler.Select(r)
	return r
}

// Ended takes the record of a request that has ended. The caller must not change it any more.
func (e *Exporter) Ended(r *trace.Record) {
	if a := e.current.Load(); a != nil {
		select {
		case a.intake <- r:
		default:
			a.overflowed.Add(1)
		}
	}
}

// Enabled reports whether anything is exported.
func (e *Exporter) Enabled() bool { return e.current.Load() != nil }

// SetLoads takes how much of each backend is in use now.
func (e *Exporter) SetLoads(loads []measures.Load) {
	if a := e.current.Load(); a != nil {
		a.loads.Store(&loads)
	}
}

// FlushNow has everything sent at once from now on, as the process is about to end.
func (e *Exporter) FlushNow() {
	if a := e.current.Load(); a != nil {
		a.flushNow()
	}
}

// Close sends what it can within closeTimeout and ends the export.
func (e *Exporter) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.current.Swap(nil); a != nil {
		a.close(time.Now().Add(closeTimeout))
	}
}
