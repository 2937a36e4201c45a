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
	// aloneBase is how long a runner that broke a kept connection gets a new one for
	// each hop, doubled each time that keeping them fails again, up to aloneMost.
	aloneBase = 15 * time.Second
	aloneMost = 2 * time.Minute
	// takeTime is how long a runner may take to say that it has a job. It says so in
	// milliseconds; one that is silent is down, or its connection is.
	takeTime = time.Second
	// settleTime is how long after its deadline a hop's connection may still be
	// open: the core gives up first, this only ends what nobody waits for.
	settleTime = time.Second
)

// Reports takes what becomes of hops and probes; the core does. It must not block.
type Reports interface {
	HopTaken(core.HopRef, core.Flight)
	HopEnded(core.HopRef, decision.Outcome, []float32, core.Flight)
	HopRecalled(ref core.HopRef, known bool)
	ProbeEnded(decision.WorkerID, decision.Outcome, []float32)
}

// Config holds the figures of the egress side.
type Config struct {
	ConnectTimeout time.Duration // a dial that is not done by then has failed
	Keepalive      time.Duration // runners close connections that sat idle this long
	Sockets        int           // most connections to all runners together
	Columns        []string      // of load reports
	Reports        bool          // GET /_load gives a load report
	Sent           func(int)     // told the class's number of each hop that has been written whole
	Dial           Dial          // nil for the net package's
}

// Fleet makes the targets and holds what they share: the budget of sockets.
type Fleet struct {
	cfg     Config
	reports Reports
	log     *logrus.Entry
	most    atomic.Int64 // connections that may be open
	open    atomic.Int64
}

// NewFleet makes a fleet without targets.
func NewFleet(cfg Config, log *logrus.Entry) *Fleet {
	if cfg.Dial == nil {
		cfg.Dial = dialNet
	}
	f := &Fleet{cfg: cfg, log: log}
	f.Budget(cfg.Sockets)
	return f
}

// Budget sets how many connections there may be from now on.
func (f *Fleet) Budget(sockets int) { f.most.Store(int64(sockets)) }

// ReportTo names who takes the reports; it is called before the first Open.
func (f *Fleet) ReportTo(reports Reports) { f.reports = reports }

// Open makes the actor of a target.
func (f *Fleet) Open(worker decision.WorkerID, uid, addr string) core.Target {
	t := &target{fleet: f, worker: worker, addr: addr, box: mailbox.New[func(*target)](),
		log: f.log.WithField("target", uid), flights: map[core.HopRef]*flight{}}
	t.kept = &http.Transport{
		DialContext:         f.dial,
		Proxy:               nil,
		DisableCompression:  true,
		MaxIdleConnsPerHost: f.cfg.Sockets,
		// Guards against a request written to a connection that the runner closes
		// at that moment, which ends as a reset: ours goes first.
		IdleConnTimeout:        f.cfg.Keepalive * 3 / 4,
		ResponseHeaderTimeout:  takeTime,
		MaxResponseHeaderBytes: 16 << 10,
		ReadBufferSize:         2 << 10,
		WriteBufferSize:        2 << 10,
	}
	t.single = t.kept.Clone()
	t.single.DisableKeepAlives = true
	go t.run()
	return t
}

// target is the actor of one runner.
type target struct {
	fleet   *Fleet
	log     *logrus.Entry
	worker  decision.WorkerID
	addr    string
	kept    *http.Transport // uses connections again
	single  *http.Transport // opens one for each request
	box     *mailbox.Box[func(*target)]
	flights map[core.HopRef]*flight // hops that the runner has not taken yet
	probing int
	closed  bool

	endMu sync.Mutex
	over  bool // the actor has ended

	alone      time.Duration // how long connections were last not kept
	aloneUntil time.Time     // none are kept before
}

// flight is a hop on its way to the runner.
type flight struct {
	cancel  context.CancelFunc
	givenUp bool
	confirm bool // another may follow once the runner has heard that
}

func (t *target) run() {
	var mail []func(*target)
	for over := false; !over; {
		<-t.box.Ready()
		mail = t.box.Drain(mail[:0])
		for i, message := range mail {
			message(t)
			mail[i] = nil
		}
		over = t.closed && len(t.flights) == 0 && t.probing == 0 && t.end()
	}
	t.kept.CloseIdleConnections()
}

// end ends the actor unless there is mail.
func (t *target) end() bool {
	t.endMu.Lock()
	defer t.endMu.Unlock()
	select {
	case <-t.box.Ready():
		t.box.Put(func(*target) {}) // the loop waits for it
	default:
		t.over = true
	}
	return t.over
}

// put gives the actor a message. Once it has ended the sender carries it out: jobs that the runner
// has taken outlive its place in the list, and are recalled all the same.
func (t *target) put(message func(*target)) {
	t.endMu.Lock()
	defer t.endMu.Unlock()
	if t.over {
		message(t)
		return
	}
	t.box.Put(message)
}

// via picks the transport of a request.
func (t *target) via() *http.Transport {
	if time.Now().Before(t.aloneUntil) {
		return t.single
	}
	return t.kept
}

// distrust stops keeping connections for a while. Guards hops against a runner, or
// something on the way, that breaks kept connections when the next request comes:
// what was written to one may have run, however surely it did not.
func (t *target) distrust() {
	if time.Now().Before(t.aloneUntil) {
		return // of a hop that began before
	}
	t.alone = min(max(2*t.alone, aloneBase), aloneMost)
	t.aloneUntil = time.Now().Add(t.alone)
	t.kept.CloseIdleConnections()
	t.log.WithField("for", t.alone.String()).Info("runner breaks kept connections; hops get new ones")
}

func (t *target) Send(h core.Hop)   { t.put(func(t *target) { t.send(h) }) }
func (t *target) GiveUp(h core.Hop) { t.put(func(t *target) { t.giveUp(h) }) }
func (t *target) Close()            { t.put(func(t *target) { t.closed = true }) }

func (t *target) Move(addr string) {
	t.put(func(t *target) {
		t.addr = addr
		t.kept.CloseIdleConnections()
	})
}

func (t *target) Probe(deadline time.Time) {
	t.put(func(t *target) {
		t.probing++
		go t.probe(t.via(), t.addr, deadline)
	})
}

func (t *target) send(h core.Hop) {
	ctx, cancel := context.WithDeadline(context.Background(), h.Deadline.Add(settleTime))
	f := &flight{cancel: cancel}
	t.flights[h.Ref] = f
	via, addr := t.via(), t.addr
	go func() {
		res := t.fly(ctx, via, addr, h)
		cancel()
		t.put(func(t *target) { t.landed(h, f, res) })
	}()
}

// result is how a hop's own exchange ended.
type result struct {
	taken   bool
	outcome decision.Outcome // unless taken
	load    []float32
	stale   bool // a kept connection broke
	doubted bool // the answer may be another request's: the runner may have the job
	begun   bool // its last byte may have left
	flight  core.Flight
}

// landed is the one place where a flight ends.
func (t *target) landed(h core.Hop, f *flight, res result) {
	delete(t.flights, h.Ref)
	if res.stale && !f.givenUp {
		t.distrust()
	}
	switch {
	case res.doubted, f.confirm && res.begun, f.givenUp && res.taken: // its 202 was on the way
		t.recall(h)
	case res.taken:
		t.fleet.reports.HopTaken(h.Ref, res.flight)
	case f.givenUp: // its connection was closed, or it had ended before
		t.fleet.reports.HopRecalled(h.Ref, true)
	default:
		t.fleet.reports.HopEnded(h.Ref, res.outcome, res.load, res.flight)
	}
}

// giveUp ends the core's waiting for a hop: before the 202 by closing its
// connection, after it by recalling the job.
func (t *target) giveUp(h core.Hop) {
	if f := t.flights[h.Ref]; f != nil {
		f.givenUp, f.confirm = true, h.Confirm
		f.cancel()
		return
	}
	t.recall(h)
}
