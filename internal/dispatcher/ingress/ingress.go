// Package ingress is the platform's front: it takes the jobs of clients, answers
// the health check, and takes the runners' call-backs, all at one address. It
// turns HTTP into the core's terms and back, and decides nothing.
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
	maxBody = 64 << 10 // the protocol's bound on any body
	maxID   = 128      // a longer id is not one of ours
	// requestTimeout is how long a request may take to arrive: from the connection's
	// opening, or from its first bytes on a kept one, to its last byte. Good ones may take
	// more than 2 s; whoever sends something else is due an end within 3 s.
	requestTimeout = 2750 * time.Millisecond
	// responseTimeout is how long a client may take to read its answer.
	responseTimeout = 10 * time.Second
	// idleTimeout is how long a connection may sit between requests.
	idleTimeout = 2 * time.Minute
	// drainQuiet is how long nothing must have come in before the listener closes.
	drainQuiet = 250 * time.Millisecond
	// transitAllowance is taken off the time that a client gives, which runs from its
	// sending: the way here, and the answer's way back.
	transitAllowance = 10 * time.Millisecond
	// crowdedRetryAfter is what a client is told to wait when there is no room for it.
	crowdedRetryAfter = 500 * time.Millisecond
	// closeTimeout is how long connections may take to end once their answers are written: net/http's
	// own wait for the client to read, and some more.
	closeTimeout = 600 * time.Millisecond
	// forwardTimeout is how long a call-back may take to the process that holds the job.
	forwardTimeout = 500 * time.Millisecond
)

// Core takes what the front has read.
type Core interface {
	Submit(*core.Job, core.Ingress)
	ClientLeft(*core.Job)
	Release(job *core.Job, done func(*core.MovedRequest))
	Adopt(*core.Job, *core.MovedRequest, core.Ingress)
	Report(ev core.JobEvent, took func(bool))
	StopBy(time.Time)
}

// Peer is the other process of the dispatcher, while there is one.
type Peer interface {
	Linked() bool
	Succeeded() bool // it is newer, and serves
	ForwardReport(ev core.JobEvent, by time.Time) bool
	TransferConn(c net.Conn, request []byte, m *core.MovedRequest, by time.Time) bool
}

// Counts takes note of how jobs end, by their class's number.
type Counts interface {
	Completed(class int)
	Rejected(class int)
	Failed(class int)
	Pending(change int)
}

// Config holds the figures of the ingress.
type Config struct {
	Classes        []Class  // by their numbers
	Tenants        []string // likewise
	Columns        []string // of load reports
	MaxSlots       float64  // most that a job may ask for
	MaxJobs        int      // most jobs at a time
	MaxConnections int      // most connections at all; the rest is the call-backs'
	Recorder       Recorder
	Steps          Steps // of workflows; nil for none
}

// Steps has jobs that are steps of workflows agreed on before they are sent. Begin returns the
// status and text of the answer where one can't be, and else who is told the verdict; zeros for
// a job that is no step.
type Steps interface {
	Begin(ctx context.Context, h http.Header, deadline time.Time) (status int, text string, settled func(core.Verdict))
}

// Class is what the ingress knows of a class.
type Class struct {
	Name    string
	Keyed   bool // its jobs carry a key
	Removed bool // no new job may be of it
	Value   float64
	// DedupWindow is how long after a job's coming one that asks for the same belongs to it.
	DedupWindow time.Duration
}

// Recorder begins the stories of jobs, and takes those that end at the door. Begin returns
// nil where nothing is recorded.
type Recorder interface {
	Begin(came time.Time, parent, state string) *trace.Record
	Ended(*trace.Record)
}

// Front is the server of clients and call-backs.
type Front struct {
	cfg            Config
	core           Core
	peer           Peer
	counts         Counts
	log            *logrus.Entry
	server         *http.Server
	listener       *connListener
	activeRequests atomic.Int64 // requests being handled, call-backs too
	openJobs       atomic.Int64 // those that wait for the core's answer
	maxJobs        atomic.Int64 // most of them
	classes        atomic.Pointer[[]Class]
	tenants        atomic.Pointer[[]string]
	draining       atomic.Bool   // each answer ends its connection
	handingOver    chan struct{} // closed when all jobs go to a newer process
	adopted        *adoptedListener
	malformed      atomic.Int64              // requests refused as malformed, since the last summary
	crowded        atomic.Int64              // jobs refused for want of room, since then
	handOverBy     atomic.Pointer[time.Time] // until when jobs go to a newer process; nil before
	stopBy         atomic.Pointer[time.Time] // when all that comes now has to be answered; nil before the planned end
}

// New makes a front.
func New(cfg Config, c Core, other Peer, counts Counts, log *logrus.Entry) *Front {
	f := &Front{cfg: cfg, core: c, peer: other, counts: counts, log: log, listener: &connListener{maxOpen: cfg.MaxConnections},
		handingOver: make(chan struct{})}
	// Room for all that an older process may have: on a busy machine 200 handed on at once overran 64,
	// and those that found no room failed.
	f.adopted = &adoptedListener{conns: make(chan net.Conn, max(cfg.MaxConnections, 1)), closed: make(chan struct{}), listener: f.listener}
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

// connKey finds a request's connection in its context.
type connKey struct{}

// Serve answers until the listener is closed.
func (f *Front) Serve(l net.Listener) error {
	var warn sync.Once
	f.listener.setListener(neterr.Listener{Listener: l, OnError: func(err error) {
		warn.Do(func() { f.log.WithError(err).Warn("accept failed; it is tried again, and not logged again") })
	}})
	stop := make(chan struct{})
	defer close(stop)
	go f.logSummaries(stop)
	go func() { _ = f.server.Serve(f.adopted) }() // ends with the server
	err := f.server.Serve(f.listener)
	if errors.Is(err, http.ErrServerClosed) || f.draining.Load() {
		return nil
	}
	return fmt.Errorf("serving %s: %w", l.Addr(), err)
}

// StopBy tells when the process may be ended. No job that is here or comes from now
// on has a later deadline; who is refused is told to go elsewhere, and everybody
// else may still use the connections there are.
func (f *Front) StopBy(by time.Time) {
	f.stopBy.Store(&by)
	f.core.StopBy(by)
}

// SetClasses sets what jobs may be of from now on.
func (f *Front) SetClasses(classes []Class) { f.classes.Store(&classes) }

// SetTenants takes the names of the tenants by their numbers.
func (f *Front) SetTenants(names []string) { f.tenants.Store(&names) }

// SetLimits sets how many jobs and connections there may be from now on.
func (f *Front) SetLimits(clients, sockets int) {
	f.maxJobs.Store(int64(clients))
	f.listener.setMaxOpen(sockets)
}

// HandOver leaves all jobs to a newer process, those that come on the connections that
// there are too; the caller has closed the listener. It returns when no connection is
// left, when the newer process has ended, or at the deadline. Guards requests that cross
// a close: kept connections go with their next use, not before.
func (f *Front) HandOver(by time.Time) {
	f.handOverBy.Store(&by)
	close(f.handingOver)
	tick := time.NewTicker(drainQuiet / 25)
	defer tick.Stop()
	for f.listener.count() > 0 && time.Now().Before(by) && f.peer.Succeeded() {
		<-tick.C
	}
}

// Drain tells clients to go elsewhere, keeps answering, call-backs above all,
// until every request taken has its answer, and only then closes the listener.
// Server.Shutdown alone would close it first, and the runners' call-backs could
// not come in any more.
//
// Connections close after each answer from here on, and those that rest before their next request
// is read, so an open one has a request on it or has just been made: the end is when none is open,
// or when none of them has begun a request for a while.
func (f *Front) Drain(ctx context.Context) error {
	f.draining.Store(true)
	tick := time.NewTicker(drainQuiet / 25)
	defer tick.Stop()
	for since := time.Now(); ; {
		still := time.Since(since)
		begun := f.listener.retireIdle(still > drainQuiet/2)
		if f.activeRequests.Load() > 0 || begun > 0 {
			since = time.Now()
		}
		if f.listener.count() == 0 || still >= drainQuiet {
			break
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("waiting for open requests: %w", ctx.Err())
		}
	}
	f.listener.closeListener() // nobody comes any more; one that has come is let in yet
	f.awaitClosed(tick.C)
	return nil
}

// awaitClosed waits until the last connections have ended. Guards answers that their clients have not
// read yet from a reset: net/http keeps such a connection half open for half a second.
func (f *Front) awaitClosed(tick <-chan time.Time) {
	for since := time.Now(); f.listener.count() > 0 && time.Since(since) < closeTimeout; <-tick {
		f.listener.retireIdle(true)
	}
	_ = f.server.Close() // what is open now is silent
}

// summaryInterval is how often what was turned away is logged, if anything was.
const summaryInterval = 10 * time.Second

// logSummaries logs how much was turned away. Guards against a log line for each of
// them, which any client could cause at will.
func (f *Front) logSummaries(stop <-chan struct{}) {
	tick := time.NewTicker(summaryInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		bad, crowded, out := f.malformed.Swap(0), f.crowded.Swap(0), f.listener.evicted.Swap(0)
		if bad+crowded+out > 0 {
			f.log.WithFields(logrus.Fields{"malformed": bad, "crowded": crowded, "put_out": out,
				"connections": f.listener.count()}).Info("turned away in the last 10 s")
		}
	}
}
