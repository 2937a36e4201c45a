// Package ingress is the dispatcher's HTTP server for clients and workers: it takes
// the jobs of clients, answers the health check, and takes the workers' reports on
// jobs, all at one address. It converts HTTP into the core's terms and back, and
// decides nothing. cmd/frosttide makes one Front and runs it.
//
// Invariants: nothing is taken from a request whose end two readers could see
// differently; past the limit of connections one of them is evicted, so that a new
// one is always accepted; a request whose first byte was read has a response, or
// its client has left.
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
	maxBody = 64 << 10 // bytes; the protocol's bound on any body
	maxID   = 128      // bytes; a longer ID is none of this dispatcher
	// requestTimeout is how long a request may take to arrive: from the opening of
	// its connection, or from its first byte on a kept one, to its last byte. Valid
	// ones may take more than 2 s; invalid ones have to end within 3 s.
	requestTimeout = 2750 * time.Millisecond
	// responseTimeout is how long a client may take to read its response.
	responseTimeout = 10 * time.Second
	// idleTimeout is how long a connection may be idle between requests.
	idleTimeout = 2 * time.Minute
	// transitAllowance is subtracted from the time that a client gives, which counts
	// from its sending: for the way here, and the response's way back.
	transitAllowance = 10 * time.Millisecond
	// crowdedRetryAfter is when a client may retry that was rejected past the limit
	// of open jobs.
	crowdedRetryAfter = 500 * time.Millisecond
	// reportTimeout is how long a report may wait for a process that holds its job. A
	// worker repeats a report that is not taken, but only a few times.
	reportTimeout = 2 * time.Second
	// reportRetryInterval is the time between two attempts to deliver a report on a
	// job that is on its way from one process to the other.
	reportRetryInterval = 100 * time.Millisecond
	// rejectionTimeout is how long the response may take to a client that could not
	// be handed over.
	rejectionTimeout = 500 * time.Millisecond
	// summaryInterval is the time between two logged summaries of what was turned
	// away; one without anything is left out.
	summaryInterval = 10 * time.Second
)

// Core takes what the front has read; *core.Core implements it. None of its methods
// blocks.
type Core interface {
	Submit(*core.Job, core.Ingress)
	ClientLeft(*core.Job)
	Release(job *core.Job, done func(*core.MovedRequest))
	Adopt(*core.Job, *core.MovedRequest, core.Ingress)
	Report(ev core.JobEvent, held func(core.ReportResult))
	StopBy(deadline time.Time)
}

// Peer is the other process of the dispatcher, while there is one.
type Peer interface {
	// Linked reports whether there is another process.
	Linked() bool
	// Succeeded reports whether the other process is newer, and serves.
	Succeeded() bool
	// ForwardReport passes a report on and returns whether the other process held its
	// job, by a deadline.
	ForwardReport(ev core.JobEvent, deadline time.Time) core.ReportResult
	// TransferConn passes a client's connection on, with what was read from it, and
	// reports whether the other process serves it, by a deadline.
	TransferConn(c net.Conn, request []byte, m *core.MovedRequest, deadline time.Time) bool
}

// Counts counts how jobs end, by the number of their class.
type Counts interface {
	Completed(class int)
	Rejected(class int)
	Failed(class int)
	// Pending adds to the number of open jobs.
	Pending(change int)
}

// Recorder begins the span records of jobs, and takes those of jobs that the core
// never gets.
type Recorder interface {
	// Begin returns nil where nothing is recorded.
	Begin(received time.Time, parent, state string) *trace.Record
	Ended(*trace.Record)
}

// Steps has jobs that are steps of workflows agreed on before they are sent.
type Steps interface {
	// Begin returns the status and text of the response where a step can't begin,
	// and otherwise who learns its verdict. For a job that is no step it returns
	// zeros.
	Begin(ctx context.Context, h http.Header, deadline time.Time) (status int, text string, onVerdict func(core.Verdict))
}

// Class is what the ingress knows of a class of jobs.
type Class struct {
	Name        string
	Keyed       bool          // its jobs carry an idempotency key
	Removed     bool          // it takes no new jobs
	Value       float64       // of a job, for span records
	DedupWindow time.Duration // how long after a job a request for the same is a retry of it
}

// Config holds the settings of the ingress.
type Config struct {
	Classes        []Class  // by their numbers
	Tenants        []string // names by their numbers
	Columns        []string // of load reports
	MaxSlots       float64  // slots that one job may ask for
	MaxJobs        int      // open jobs
	MaxConnections int      // open connections; those beyond MaxJobs are for reports
	Recorder       Recorder
	Steps          Steps // nil without workflows
}

// Front is the server of clients and workers. Make it with New and run it with
// Serve.
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

	// Settings that a reload may change.
	classes atomic.Pointer[[]Class]
	tenants atomic.Pointer[[]string]
	maxJobs atomic.Int64

	// Load.
	activeRequests atomic.Int64 // requests being handled, reports included
	openJobs       atomic.Int64 // jobs that wait for the core's response
	malformed      atomic.Int64 // requests rejected as malformed, since the last summary
	crowded        atomic.Int64 // jobs rejected past maxJobs, since the last summary

	// The end of the process.
	draining    atomic.Bool               // each response ends its connection
	stopBy      atomic.Pointer[time.Time] // when everything has to be answered; nil before the planned end
	handingOver chan struct{}             // closed when all jobs go to a newer process
	answerBy    atomic.Pointer[time.Time] // until when each of them has an outcome; nil before
}

// New makes a front that does not serve yet.
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
	// The channel has room for all connections that an older process may have: on a
	// busy machine 200 handed over at once overran 64 places, and the jobs of those
	// that found none failed.
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

// connKey is the key of a request's *conn in its context.
type connKey struct{}

// Serve serves until the listener is closed. It returns nil if that was by Drain.
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
	go func() { _ = f.server.Serve(f.adopted) }() // ends with the server
	err := f.server.Serve(f.listener)
	f.listener.accepting.Done()
	if errors.Is(err, http.ErrServerClosed) || f.draining.Load() {
		return nil
	}
	return fmt.Errorf("serving %s: %w", l.Addr(), err)
}

// SetClasses sets the classes of jobs that come from now on, by their numbers.
func (f *Front) SetClasses(classes []Class) { f.classes.Store(&classes) }

// SetTenants sets the names of the tenants, by their numbers.
func (f *Front) SetTenants(names []string) { f.tenants.Store(&names) }

// SetLimits sets the limits of open jobs and connections.
func (f *Front) SetLimits(jobs, connections int) {
	f.maxJobs.Store(int64(jobs))
	f.listener.setMaxOpen(connections)
}

// logSummaries logs how much was turned away. Clients can cause as much of it as
// they like, so it is not logged one by one.
func (f *Front) logSummaries(stop <-chan struct{}) {
	tick := time.NewTicker(summaryInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		malformed, crowded, evicted := f.malformed.Swap(0), f.crowded.Swap(0), f.listener.evicted.Swap(0)
		if malformed+crowded+evicted > 0 {
			f.log.WithFields(logrus.Fields{"malformed": malformed, "crowded": crowded, "put_out": evicted,
				"connections": f.listener.count()}).Info("turned away in the last 10 s")
		}
	}
}
