// Package egress speaks the platform's protocol to the runners. Each egress
// target is an actor with a mailbox and an http.Transport of its own; it owns
// the hops from their sending until the runner has taken the job or the hop has
// failed. It decides nothing.
package egress

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/mailbox"
)

const (
	headerID      = "X-Trace-Id"
	headerExpires = "X-Expires-In-Ms"
	headerKey     = "Idempotency-Key"
	headerUnrun   = "X-Never-Ran"
	headerLoad    = "Endpoint-Load-Metrics"
	headerParent  = "Traceparent" // W3C Trace Context
	headerState   = "Tracestate"

	maxBody = 64 << 10 // the protocol's bound on any body
	// minUnpooledTime is how long a runner that broke a kept connection gets a new one for
	// each hop, doubled each time that keeping them fails again, up to aloneMost.
	minUnpooledTime = 15 * time.Second
	maxUnpooledTime = 2 * time.Minute
	// acceptTimeout is how long a runner may take to say that it has a job. It says so in
	// milliseconds; one that is silent is down, or its connection is.
	acceptTimeout = time.Second
	// closeGrace is how long after its deadline a hop's connection may still be
	// open: the core gives up first, this only ends what nobody waits for.
	closeGrace = time.Second
)

// Reporter takes what becomes of hops and probes; the core does. It must not block.
type Reporter interface {
	AttemptAccepted(core.AttemptRef, core.Delivery)
	AttemptEnded(core.AttemptRef, decision.Outcome, []float32, core.Delivery)
	AttemptRecalled(ref core.AttemptRef, known bool)
	ProbeEnded(decision.WorkerID, decision.Outcome, []float32)
}

// Config holds the figures of the egress side.
type Config struct {
	ConnectTimeout time.Duration // a dial that is not done by then has failed
	IdleTimeout    time.Duration // runners close connections that sat idle this long
	MaxSockets     int           // most connections to all runners together
	Columns        []string      // of load reports
	LoadReports    bool          // GET /_load gives a load report
	OnSent         func(int)     // told the class's number of each hop that has been written whole
	Dial           Dial          // nil for the net package's
}

// Fleet makes the targets and holds what they share: the budget of sockets.
type Fleet struct {
	cfg      Config
	reporter Reporter
	log      *logrus.Entry
	maxOpen  atomic.Int64 // connections that may be open
	open     atomic.Int64
}

// NewFleet makes a fleet without targets.
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

// SetReporter names who takes the reports; it is called before the first Open.
func (f *Fleet) SetReporter(reports Reporter) { f.reporter = reports }

// Open makes the actor of a target.
func (f *Fleet) Open(worker decision.WorkerID, uid, addr string) core.Backend {
	b := &backend{fleet: f, worker: worker, addr: addr, mailbox: mailbox.New[func(*backend)](),
		log: f.log.WithField("target", uid), inFlight: map[core.AttemptRef]*delivery{}}
	b.pooled = &http.Transport{
		DialContext:         f.dial,
		Proxy:               nil,
		DisableCompression:  true,
		MaxIdleConnsPerHost: f.cfg.MaxSockets,
		// Guards against a request written to a connection that the runner closes
		// at that moment, which ends as a reset: ours goes first.
		IdleConnTimeout:        f.cfg.IdleTimeout * 3 / 4,
		ResponseHeaderTimeout:  acceptTimeout,
		MaxResponseHeaderBytes: 16 << 10,
		ReadBufferSize:         2 << 10,
		WriteBufferSize:        2 << 10,
	}
	b.unpooled = b.pooled.Clone()
	b.unpooled.DisableKeepAlives = true
	go b.run()
	return b
}

// backend is the actor of one runner.
type backend struct {
	fleet      *Fleet
	log        *logrus.Entry
	worker     decision.WorkerID
	addr       string
	pooled     *http.Transport // uses connections again
	unpooled   *http.Transport // opens one for each request
	mailbox    *mailbox.Box[func(*backend)]
	inFlight   map[core.AttemptRef]*delivery // hops that the runner has not taken yet
	openProbes int
	closed     bool

	endMu sync.Mutex
	ended bool // the actor has ended

	unpooledTime  time.Duration // how long connections were last not kept
	unpooledUntil time.Time     // none are kept before
}

// delivery is a hop on its way to the runner.
type delivery struct {
	cancel   context.CancelFunc
	canceled bool
	confirm  bool // another may follow once the runner has heard that
}

func (b *backend) run() {
	var mail []func(*backend)
	for ended := false; !ended; {
		<-b.mailbox.Ready()
		mail = b.mailbox.Drain(mail[:0])
		for i, message := range mail {
			message(b)
			mail[i] = nil
		}
		ended = b.closed && len(b.inFlight) == 0 && b.openProbes == 0 && b.tryEnd()
	}
	b.pooled.CloseIdleConnections()
}

// tryEnd ends the actor unless there is mail.
func (b *backend) tryEnd() bool {
	b.endMu.Lock()
	defer b.endMu.Unlock()
	select {
	case <-b.mailbox.Ready():
		b.mailbox.Put(func(*backend) {}) // the loop waits for it
	default:
		b.ended = true
	}
	return b.ended
}

// post gives the actor a message. Once it has ended the sender carries it out: jobs that the runner
// has taken outlive its place in the list, and are recalled all the same.
func (b *backend) post(message func(*backend)) {
	b.endMu.Lock()
	defer b.endMu.Unlock()
	if b.ended {
		message(b)
		return
	}
	b.mailbox.Put(message)
}

// transport picks the transport of a request.
func (b *backend) transport() *http.Transport {
	if time.Now().Before(b.unpooledUntil) {
		return b.unpooled
	}
	return b.pooled
}

// suspendPooling stops keeping connections for a while. Guards hops against a runner, or
// something on the way, that breaks kept connections when the next request comes:
// what was written to one may have run, however surely it did not.
func (b *backend) suspendPooling() {
	if time.Now().Before(b.unpooledUntil) {
		return // of a hop that began before
	}
	b.unpooledTime = min(max(2*b.unpooledTime, minUnpooledTime), maxUnpooledTime)
	b.unpooledUntil = time.Now().Add(b.unpooledTime)
	b.pooled.CloseIdleConnections()
	b.log.WithField("for", b.unpooledTime.String()).Info("runner breaks kept connections; hops get new ones")
}

func (b *backend) Send(h core.Attempt)   { b.post(func(b *backend) { b.send(h) }) }
func (b *backend) Cancel(h core.Attempt) { b.post(func(b *backend) { b.cancelAttempt(h) }) }
func (b *backend) Close()                { b.post(func(b *backend) { b.closed = true }) }

func (b *backend) SetAddress(addr string) {
	b.post(func(b *backend) {
		b.addr = addr
		b.pooled.CloseIdleConnections()
	})
}

func (b *backend) Probe(deadline time.Time) {
	b.post(func(b *backend) {
		b.openProbes++
		go b.probe(b.transport(), b.addr, deadline)
	})
}

func (b *backend) send(h core.Attempt) {
	ctx, cancel := context.WithDeadline(context.Background(), h.Deadline.Add(closeGrace))
	f := &delivery{cancel: cancel}
	b.inFlight[h.Ref] = f
	via, addr := b.transport(), b.addr
	go func() {
		res := b.deliver(ctx, via, addr, h)
		cancel()
		b.post(func(b *backend) { b.handleResult(h, f, res) })
	}()
}

// result is how a hop's own exchange ended.
type result struct {
	accepted        bool
	outcome         decision.Outcome // unless taken
	load            []float32
	pooledConnBroke bool // a kept connection broke
	ambiguous       bool // the answer may be another request's: the runner may have the job
	mayHaveLeft     bool // its last byte may have left
	report          core.Delivery
}

// handleResult is the one place where a flight ends.
func (b *backend) handleResult(h core.Attempt, f *delivery, res result) {
	delete(b.inFlight, h.Ref)
	if res.pooledConnBroke && !f.canceled {
		b.suspendPooling()
	}
	switch {
	case res.ambiguous, f.confirm && res.mayHaveLeft, f.canceled && res.accepted: // its 202 was on the way
		b.recall(h)
	case res.accepted:
		b.fleet.reporter.AttemptAccepted(h.Ref, res.report)
	case f.canceled: // its connection was closed, or it had ended before
		b.fleet.reporter.AttemptRecalled(h.Ref, true)
	default:
		b.fleet.reporter.AttemptEnded(h.Ref, res.outcome, res.load, res.report)
	}
}

// cancelAttempt ends the core's waiting for a hop: before the 202 by closing its
// connection, after it by recalling the job.
func (b *backend) cancelAttempt(h core.Attempt) {
	if f := b.inFlight[h.Ref]; f != nil {
		f.canceled, f.confirm = true, h.Confirm
		f.cancel()
		return
	}
	b.recall(h)
}
