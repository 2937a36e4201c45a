// Package egress sends attempts to workers over the platform's HTTP protocol. It implements
// core.Backends and core.Backend; cmd/frosttide creates one Fleet.
//
// Each backend is an actor with its own mailbox and http.Transports. It is responsible for an
// attempt from sending it until the worker has accepted the job or the attempt has failed. It makes
// no scheduling decisions: it reports the outcome to the core.
//
// Invariants:
//   - A request is written at most once. An attempt is sent again, on a new connection, only if
//     nothing was written to the pooled connection that was tried first.
//   - The attempt's permit is checked immediately before its first byte is written.
//   - The number of open connections to all workers stays within a limit.
//
// All exported methods are safe for concurrent use and do not block.
package egress

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/mailbox"
)

// Headers of the platform's protocol and of W3C Trace Context.
const (
	headerTraceID        = "X-Trace-Id"
	headerExpires        = "X-Expires-In-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerNeverRan       = "X-Never-Ran"
	headerLoad           = "Endpoint-Load-Metrics"
	headerTraceparent    = "Traceparent"
	headerTracestate     = "Tracestate"
)

const (
	maxBody = 64 << 10 // bytes; the protocol's limit for any body
	// acceptTimeout is how long a worker may take to respond to an attempt. Workers respond within
	// milliseconds; without a response the worker or its connection is down.
	acceptTimeout = time.Second
	// closeGrace is how long an exchange may last beyond the attempt's deadline, and how long a
	// recall may take. By the deadline the core has stopped waiting; the limit only frees the
	// connection.
	closeGrace = time.Second
)

// Reporter receives the results of attempts and probes; *core.Core implements it. Its methods must
// not block.
type Reporter interface {
	// AttemptAccepted reports that the worker has accepted the job.
	AttemptAccepted(core.AttemptRef, core.Delivery)
	// AttemptEnded reports why the worker has not accepted the job, with the load report of its
	// response, if any.
	AttemptEnded(core.AttemptRef, decision.Outcome, []float32, core.Delivery)
	// AttemptRecalled reports the end of a canceled attempt. known is whether the worker certainly
	// knows of the cancellation.
	AttemptRecalled(ref core.AttemptRef, known bool)
	// ProbeEnded reports the outcome of a probe, with the worker's load report, if any.
	ProbeEnded(decision.WorkerID, decision.Outcome, []float32)
}

// Config holds the settings of a Fleet.
type Config struct {
	ConnectTimeout time.Duration   // limit for opening a connection, with retries
	IdleTimeout    time.Duration   // after which workers close idle connections
	MaxSockets     int             // limit of open connections to all workers together
	Columns        []string        // column names of load reports
	LoadReports    bool            // probes request GET /_load, which returns a load report
	OnSent         func(class int) // called after an attempt's whole request was written
	Dial           Dial            // nil for the net package's dialer
}

// Fleet creates the backends and enforces the limit of open connections that they share.
type Fleet struct {
	cfg          Config
	reporter     Reporter
	log          *logrus.Entry
	maxOpenConns atomic.Int64 // limit of open connections
	openConns    atomic.Int64
}

// NewFleet returns a fleet without backends. SetReporter must be called before Open.
func NewFleet(cfg Config, log *logrus.Entry) *Fleet {
	if cfg.Dial == nil {
		cfg.Dial = dialNet
	}
	f := &Fleet{cfg: cfg, log: log}
	f.SetMaxSockets(cfg.MaxSockets)
	return f
}

// SetMaxSockets sets the limit of open connections to all workers together. Connections beyond a
// lowered limit stay open; only new ones are refused.
func (f *Fleet) SetMaxSockets(sockets int) { f.maxOpenConns.Store(int64(sockets)) }

// SetReporter sets the receiver of results. It must be called before the first Open.
func (f *Fleet) SetReporter(reporter Reporter) { f.reporter = reporter }

// Open creates and starts the backend of a worker with the given UID and address. After Close, the
// backend's goroutine ends once its last attempt and probe have ended.
func (f *Fleet) Open(worker decision.WorkerID, uid, addr string) core.Backend {
	b := &backend{
		fleet:    f,
		log:      f.log.WithField("target", uid),
		worker:   worker,
		addr:     addr,
		mailbox:  mailbox.New[func(*backend)](),
		inFlight: map[core.AttemptRef]*inFlightAttempt{},
	}
	b.pooled = &http.Transport{
		DialContext:         f.dial,
		Proxy:               nil,
		DisableCompression:  true,
		MaxIdleConnsPerHost: f.cfg.MaxSockets,
		// The dispatcher closes an idle connection before the worker does: a request written while
		// the worker closes the connection would fail with a reset.
		IdleConnTimeout:        f.cfg.IdleTimeout * 3 / 4,
		MaxResponseHeaderBytes: 16 << 10,
		ReadBufferSize:         2 << 10,
		WriteBufferSize:        2 << 10,
	}
	b.unpooled = b.pooled.Clone()
	b.unpooled.DisableKeepAlives = true
	go b.run()
	return b
}
