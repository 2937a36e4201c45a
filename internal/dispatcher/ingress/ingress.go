// Package ingress implements the dispatcher's HTTP server for clients and workers. On one
// address it accepts clients' jobs, answers health checks, and receives workers' reports on
// jobs. It translates between HTTP and the types of package core; all scheduling decisions are
// made in the core. cmd/frosttide creates one Front and runs it.
//
// Invariants:
//   - A request is rejected if two HTTP implementations could disagree on where it ends.
//   - A new connection is always accepted; beyond the connection limit another one is evicted.
//   - A request whose first byte has been read gets a response, unless its client disconnects.
//
// All methods of Front are safe for concurrent use.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/neterr"
	"frosttide/internal/dispatcher/trace"
)

const (
	maxBody = 64 << 10 // bytes; the protocol's limit for every body
	maxID   = 128      // bytes; longer job and gang IDs are malformed
	// requestTimeout is how long a request may take to arrive completely, counted from the
	// opening of its connection, or from its first byte on a kept-alive connection. Valid
	// requests may take more than 2 s; invalid ones must be ended within 3 s.
	requestTimeout = 2750 * time.Millisecond
	// responseTimeout is the write timeout of a job's response.
	responseTimeout = 10 * time.Second
	// idleTimeout is how long a kept-alive connection may be idle between two requests.
	idleTimeout = 2 * time.Minute
	// transitAllowance is subtracted from a job's time limit, which the client counts from the
	// moment when it sends the request. It covers the network latency in both directions.
	transitAllowance = 10 * time.Millisecond
	// overLimitRetryAfter is the Retry-After time of jobs that are rejected because the limit
	// of open jobs is reached.
	overLimitRetryAfter = 500 * time.Millisecond
	// reportTimeout is how long a report may wait for a process that holds its job. A worker
	// retries a report that is not accepted, but only a few times.
	reportTimeout = 2 * time.Second
	// reportRetryInterval is the interval between attempts to deliver a report on a job that
	// is being handed over between processes.
	reportRetryInterval = 100 * time.Millisecond
	// failedTransferWriteTimeout is the write timeout of the error response to a client whose
	// connection could not be handed over.
	failedTransferWriteTimeout = 500 * time.Millisecond
	// summaryInterval is the interval of the log lines that count rejected requests and evicted
	// connections. Intervals without any are not logged.
	summaryInterval = 10 * time.Second
)

// Core is the part of *core.Core that the ingress uses. None of its methods blocks.
type Core interface {
	// Submit submits a job. The core sends the response to the ingress, unless ClientLeft is
	// called first.
	Submit(*core.Job, core.Ingress)
	// ClientLeft cancels a job whose client has disconnected.
	ClientLeft(*core.Job)
	// Release gives up a job so that another process can adopt it. It passes the job's state to
	// done, or nil if the job already has its response.
	Release(job *core.Job, done func(*core.MovedRequest))
	// Adopt continues a job that another process has released.
	Adopt(*core.Job, *core.MovedRequest, core.Ingress)
	// Report applies a worker's report, and tells held whether this process holds the job.
	Report(ev core.JobEvent, held func(core.ReportResult))
	// StopBy sets the time by which the process may be terminated.
	StopBy(deadline time.Time)
}

// Peer is the dispatcher's other process during a planned restart, when an older and a newer
// process run at the same time.
type Peer interface {
	// Linked reports whether another process is connected.
	Linked() bool
	// SuccessorServes reports whether the other process is newer and already serves.
	SuccessorServes() bool
	// ForwardReport passes a report to the other process, and returns whether that holds the
	// job. It returns by the deadline.
	ForwardReport(ev core.JobEvent, deadline time.Time) core.ReportResult
	// TransferConn passes a client's connection and the request that was read from it to the
	// other process, and reports whether that serves it. It returns by the deadline.
	TransferConn(c net.Conn, request []byte, m *core.MovedRequest, deadline time.Time) bool
}

// Counts counts the outcomes of jobs by class number.
type Counts interface {
	Completed(class int)
	Rejected(class int)
	Failed(class int)
	// Pending adds change, which may be negative, to the number of open jobs.
	Pending(change int)
}

// Recorder creates the span records of jobs, and receives those of jobs that end in the
// ingress without reaching the core.
type Recorder interface {
	// Begin starts a record; parent and state are the Traceparent and Tracestate headers. It
	// returns nil if the job is not recorded.
	Begin(received time.Time, parent, state string) *trace.Record
	// Ended takes a finished record.
	Ended(*trace.Record)
}

// Steps coordinates jobs that are steps of workflows: a step must be agreed on before it is
// sent to a worker.
type Steps interface {
	// Begin starts a step. If the step can't begin, it returns the HTTP status and the text of
	// the response; otherwise status is 0, and onVerdict must be called with the job's verdict.
	// For a job that is not a step, all results are zero.
	Begin(ctx context.Context, h http.Header, deadline time.Time) (status int, text string, onVerdict func(core.Verdict))
}

// Class holds the settings of a job class that the ingress needs.
type Class struct {
	Name        string
	Keyed       bool          // jobs must carry an idempotency key
	Removed     bool          // new jobs are rejected
	Value       float64       // value of one job, for span records
	DedupWindow time.Duration // how long after a job an identical request counts as its retry
}

// Config holds the settings of the ingress.
type Config struct {
	Classes        []Class  // by class number
	Tenants        []string // names by tenant number
	Columns        []string // column names of load reports
	MaxSlots       float64  // maximum slots of one job
	MaxJobs        int      // maximum open jobs
	MaxConnections int      // maximum open connections; those beyond MaxJobs are for reports
	Recorder       Recorder
	Steps          Steps // nil if workflows are disabled
}

// Front is the HTTP server for clients and workers. Create it with New and run it with Serve.
type Front struct {
	cfg      Config
	core     Core
	peer     Peer
	counts   Counts
	log      *logrus.Entry
	server   *http.Server
	listener *connListener
	adopted  *adoptedListener
	arrivals arrivals

	// Settings that a configuration reload may change.
	classes atomic.Pointer[[]Class]
	tenants atomic.Pointer[[]string]
	maxJobs atomic.Int64

	// Load.
	activeRequests atomic.Int64 // requests being handled, reports included
	openJobs       atomic.Int64 // jobs that await a response
	malformed      atomic.Int64 // requests rejected as malformed, since the last summary
	overLimit      atomic.Int64 // jobs rejected past maxJobs, since the last summary

	// Shutdown and handover.
	draining    atomic.Bool               // each response closes its connection
	stopBy      atomic.Pointer[time.Time] // limit of all job deadlines; nil until StopBy
	handingOver chan struct{}             // closed when HandOver begins
	answerBy    atomic.Pointer[time.Time] // deadline for all transfers; nil until HandOver
}

// New creates a front that accepts no connections before Serve is called.
func New(cfg Config, c Core, peer Peer, counts Counts, log *logrus.Entry) *Front {
	f := &Front{
		cfg:         cfg,
		core:        c,
		peer:        peer,
		counts:      counts,
		log:         log,
		listener:    &connListener{maxOpen: cfg.MaxConnections},
		handingOver: make(chan struct{}),
	}
	// The channel holds as many connections as an older process may have: with a capacity of
	// 64, 200 connections that were handed over at once on a busy machine overflowed it, and
	// the jobs on the rejected connections failed.
	f.adopted = &adoptedListener{
		listener: f.listener,
		conns:    make(chan net.Conn, max(cfg.MaxConnections, 1)),
		closed:   make(chan struct{}),
	}
	f.maxJobs.Store(int64(cfg.MaxJobs))
	f.classes.Store(&cfg.Classes)
	f.tenants.Store(&cfg.Tenants)
	f.server = &http.Server{
		Handler:           http.HandlerFunc(f.handle),
		ReadTimeout:       requestTimeout,
		ReadHeaderTimeout: requestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    16 << 10,
		ConnState:         connState,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:          stdLog(log),
	}
	return f
}

// connKey is the context key of a request's *conn.
type connKey struct{}

// Serve serves connections from the listener, and those that an older process hands over,
// until the listener is closed. It returns nil after Drain, else an error. Accept errors are
// retried, and only the first one is logged.
func (f *Front) Serve(l net.Listener) error {
	var warn sync.Once
	accepts := f.listener.startAccepting(neterr.Listener{Listener: l, OnError: func(err error) {
		warn.Do(func() { f.log.WithError(err).Warn("accept failed; it is tried again, and not logged again") })
	}})
	if !accepts {
		return l.Close()
	}
	stop := make(chan struct{})
	defer close(stop)
	go f.logSummaries(stop)
	go func() { _ = f.server.Serve(f.adopted) }() // returns when the server is closed
	err := f.server.Serve(f.listener)
	f.listener.accepting.Done()
	if errors.Is(err, http.ErrServerClosed) || f.draining.Load() {
		return nil
	}
	return fmt.Errorf("serving %s: %w", l.Addr(), err)
}

// SetClasses replaces the classes, indexed by class number, for jobs that arrive from now on.
func (f *Front) SetClasses(classes []Class) { f.classes.Store(&classes) }

// SetTenants replaces the names of the tenants, in the order of their numbers.
func (f *Front) SetTenants(names []string) { f.tenants.Store(&names) }

// SetLimits sets the maximum numbers of open jobs and connections. Connections beyond the new
// limit are evicted.
func (f *Front) SetLimits(jobs, connections int) {
	f.maxJobs.Store(int64(jobs))
	f.listener.setMaxOpen(connections)
}

// logSummaries periodically logs the numbers of rejected requests and evicted connections.
// They are not logged individually because clients could flood the log.
func (f *Front) logSummaries(stop <-chan struct{}) {
	tick := time.NewTicker(summaryInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		malformed, overLimit, evicted := f.malformed.Swap(0), f.overLimit.Swap(0), f.listener.evicted.Swap(0)
		if malformed+overLimit+evicted > 0 {
			f.log.WithFields(logrus.Fields{"malformed": malformed, "crowded": overLimit, "put_out": evicted,
				"connections": f.listener.count()}).Info("turned away in the last 10 s")
		}
	}
}
