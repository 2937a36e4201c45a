// Package export receives the records of requests that have ended, keeps those that the sampler
// selects or that are notable, and sends them, and metrics derived from all of them, to
// OpenTelemetry collectors or to a file. The ingress, the core and the Gearman server write
// records.
//
// Invariants: writers of records never block, and what can't be received, kept or sent in time is
// dropped and counted; memory is bounded by the intake and the queues, and file descriptors by
// MaxSockets; shutdown does not wait for a collector that hangs.
//
// An Exporter is safe for concurrent use. Each configuration in force has an actor, which owns the
// records, and for each sink a pipeline with its own goroutine.
package export

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/measures"
	"frosttide/internal/dispatcher/trace"
)

// MaxSockets is the maximum number of file descriptors that the export uses: a connection for each
// of the two signals, a closing connection of each, and a file during its rotation.
const MaxSockets = 6

const (
	// intakeCapacity bounds the records that the actor has not received yet. Records beyond it are
	// dropped and missing from the metrics too; this happens when other goroutines use up the CPU
	// core.
	intakeCapacity = 1024
	// maxRetryKeys bounds the number of keys by which clients' retries are linked.
	maxRetryKeys = 4096
	// closeTimeout bounds the time for sending the last records at shutdown.
	closeTimeout = 250 * time.Millisecond
	// hangTimeout is how long a call may take beyond the batch delay before its pipeline counts as
	// hanging.
	hangTimeout = 100 * time.Millisecond
)

// Exporter receives records and exports them according to the options in force. Only Close blocks.
type Exporter struct {
	log     *logrus.Entry
	current atomic.Pointer[actor] // nil while nothing is exported
	mu      sync.Mutex            // serializes Configure and Close
}

// New returns an exporter that exports nothing until Configure is called.
func New(log *logrus.Entry) *Exporter { return &Exporter{log: log} }

// Configure applies new options. Records queued under the previous options are sent with those in
// the background for at most the batch delay and one second, then dropped. If it fails, the
// previous options stay in force.
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
		// The goroutine ends at the deadline.
		go previous.close(time.Now().Add(previous.options.BatchDelay + time.Second))
	}
	return nil
}

// Begin returns the record of a request received at the given time. It continues the client's trace
// if the traceparent and tracestate headers name one. While nothing is exported it returns nil,
// which all writers of records accept.
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

// Ended queues the record of a request that has ended. The caller must not modify it afterwards.
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

// SetLoads sets the current load of each backend for the next export of metrics.
func (e *Exporter) SetLoads(loads []measures.Load) {
	if a := e.current.Load(); a != nil {
		a.loads.Store(&loads)
	}
}

// FlushNow sends queued records without waiting for full batches from now on, as the process is
// about to end.
func (e *Exporter) FlushNow() {
	if a := e.current.Load(); a != nil {
		a.flushNow()
	}
}

// Close sends what it can within closeTimeout and stops the export.
func (e *Exporter) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.current.Swap(nil); a != nil {
		a.close(time.Now().Add(closeTimeout))
	}
}
