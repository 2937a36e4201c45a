// Package egress sends attempts to workers over the platform's HTTP protocol. It
// implements core.Backends and core.Backend; cmd/frosttide makes one Fleet.
//
// Each backend is an actor with a mailbox and an http.Transport of its own. It owns
// an attempt from its sending until the worker has accepted the job or the attempt
// has failed. It decides nothing: the outcome goes to the core.
//
// Invariants: a request is written at most once, except on a fresh connection after
// nothing was written to a pooled one; immediately before the first byte the
// attempt's permit is checked; the connections to all workers together stay within
// a limit.
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
	headerID       = "X-Trace-Id"
	headerExpires  = "X-Expires-In-Ms"
	headerKey      = "Idempotency-Key"
	headerNeverRan = "X-Never-Ran"
	headerLoad     = "Endpoint-Load-Metrics"
	headerParent   = "Traceparent"
	headerState    = "Tracestate"
)

const (
	maxBody = 64 << 10 // bytes; the protocol's bound on any body
	// acceptTimeout is how long a worker may take to say that it has a job. It says
	// so in milliseconds; one that says nothing is down, or its connection is.
	acceptTimeout = time.Second
	// closeGrace is how long after its deadline an attempt's connection may still be
	// open. The core gives up first; this only ends what nobody waits for.
	closeGrace = time.Second
)

// Reporter takes what becomes of attempts and probes; *core.Core implements it. It
// must not block.
type Reporter interface {
	AttemptAccepted(core.AttemptRef, core.Delivery)
	AttemptEnded(core.AttemptRef, decision.Outcome, []float32, core.Delivery)
	AttemptRecalled(ref core.AttemptRef, known bool)
	ProbeEnded(decision.WorkerID, decision.Outcome, []float32)
}

// Config holds the settings of the egress side.
type Config struct {
	ConnectTimeout time.Duration   // a dial that has not succeeded by then has failed
	IdleTimeout    time.Duration   // workers close connections that were idle for this long
	MaxSockets     int             // connections to all workers together
	Columns        []string        // of load reports
	LoadReports    bool            // GET /_load returns a load report
	OnSent         func(class int) // called for each attempt that has been written whole
	Dial           Dial            // nil for the net package's
}

// Fleet makes the backends and holds what they share: the limit of sockets.
type Fleet struct {
	cfg      Config
	reporter Reporter
	log      *logrus.Entry
	maxOpen  atomic.Int64 // connections that may be open
	open     atomic.Int64
}

// NewFleet makes a fleet without backends.
func NewFleet(cfg Config, log *logrus.Entry) *Fleet {
	if cfg.Dial == nil {
		cfg.Dial = dialNet
	}
	f := &Fleet{cfg: cfg, log: log}
	f.SetMaxSockets(cfg.MaxSockets)
	return f
}

// SetMaxSockets sets how many connections there may be from now on.
func (f *Fleet) SetMaxSockets(sockets int) { f.maxOpen.Store(int64(sockets)) }

// SetReporter sets who takes the reports. It must be called before the first Open.
func (f *Fleet) SetReporter(reporter Reporter) { f.reporter = reporter }

// Open makes and starts the backend of a worker. Its goroutine ends some time after
// Close.
func (f *Fleet) Open(worker decision.WorkerID, uid, addr string) core.Backend {
	b := &backend{
		fleet:    f,
		log:      f.log.WithField("target", uid),
		worker:   worker,
		addr:     addr,
		mailbox:  mailbox.New[func(*backend)](),
		inFlight: map[core.AttemptRef]*delivery{},
	}
	b.pooled = &http.Transport{
		DialContext:         f.dial,
		Proxy:               nil,
		DisableCompression:  true,
		MaxIdleConnsPerHost: f.cfg.MaxSockets,
		// The dispatcher closes an idle connection before the worker does: a request
		// written at the moment when the worker closes would end as a reset.
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
