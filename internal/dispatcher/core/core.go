// Package core is the dispatcher's event loop: an actor that connects the pure decision module
// (package decision) to the network.
//
// In each turn of its loop it drains its mailbox, passes the collected events to one Step of the
// decision module and executes the actions that Step returns. It owns the state that the decision
// module does not have: the open requests and their attempts, the timers, and the delivery of the
// one final response to each request. It is independent of protocols. Clients are reached through
// Ingress, workers through Backend and discovery through RouteTable; packages ingress, gearman,
// egress and routetable implement these interfaces, and cmd/frosttide wires them up.
//
// Invariants: each request gets exactly one final response, unless its client has disconnected;
// each attempt ends exactly once, whatever its backend and its worker report and in whatever order;
// after a stall of the process (see Guard), nothing is sent until admission is reopened.
//
// All exported methods of Core are safe for concurrent use and never block: they put a message into
// the mailbox, which the goroutine of Run executes. The exceptions are Guard, HoldBack and those
// Set... methods that install hooks and observers; they must be called before Run.
package core

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/monotime"
	"frosttide/internal/dispatcher/trace"
	"frosttide/internal/mailbox"
)

// Core is the actor. New makes it and Run runs it. Its fields belong to the goroutine of Run,
// unless their comment says otherwise.
type Core struct {
	log        *logrus.Entry
	cfg        decision.Config
	module     *decision.Dispatcher
	backends   Backends
	routeTable RouteTable
	mailbox    *mailbox.Box[func(*Core)] // safe for concurrent use

	// The clock. A time.Duration that denotes a point in time is the time since 1970.
	start     time.Time            // when the core was made
	startWall time.Duration        // reading of the wall clock at start
	wall      func() time.Duration // reads the wall clock, which may be set at any time
	now       time.Duration        // time of the current turn of the loop

	// Events of the current turn, and timers.
	events []decision.Event // input of the next Step
	timers timerHeap

	// Requests.
	requests        map[decision.RequestID]*request
	requestsByJobID map[string]*request // by Job.ID
	lastRequestID   decision.RequestID
	// awaitingAdmission holds the jobs that are held back or being looked up in the outcome store,
	// while their clients are connected.
	awaitingAdmission map[*Job]bool
	heldBack          *heldBackJobs // nil unless jobs are held back
	// releasing holds the requests to be transferred to another process, with the callbacks of
	// Release.
	releasing map[*request]func(*MovedRequest)
	// releasedIDs holds the IDs of the requests that were transferred to another process.
	releasedIDs map[string]bool
	stopAt      time.Duration // when the process may be terminated; 0 before StopBy

	// Workers.
	workers         map[string]*worker // by UID
	workersByNumber map[decision.WorkerID]*worker
	lastWorkerID    decision.WorkerID
	// excluded holds the UIDs of the workers that operators have excluded, regardless of their
	// state in discovery's list.
	excluded   map[string]bool
	reinstated map[string]time.Duration // UIDs of reinstated workers, with the time
	// restoredHealth and restoredStarts hold, by UID, what an earlier process or another dispatcher
	// knew about workers that are not listed yet.
	restoredHealth map[string]decision.Health
	restoredStarts map[string]WorkerStart

	// Other processes and other dispatchers.
	processCount int // number of processes of this dispatcher
	// warmUpPeers is the number of dispatchers that share the workers that are warming up; 0 for
	// the number in cfg.
	warmUpPeers int
	guard       *guard // nil if Guard was not called

	// Observers. None of them may block.
	onExclusion       func(Exclusion) // receives the operators' decisions made here
	onMembers         MembersFunc
	membersReportedAt time.Duration
	onRecord          func(*trace.Record) // receives the span records of completed requests
	onHoldings        func([]Holding)     // receives the tokens in use; nil for none
	holdingsWanted    func() bool         // reports whether onHoldings has a consumer now
	observer          WorkerObserver      // nil for none
	outcomeStore      OutcomeStore        // nil for none
	gangs             GangObserver        // nil for none
	summary           trafficCounts
}

// New returns a core; Run runs it. The seed initializes the random numbers of the decision module.
// New fails if the decision module rejects cfg.
func New(cfg decision.Config, seed uint64, backends Backends, routeTable RouteTable, onMembers MembersFunc,
	log *logrus.Entry) (*Core, error) {
	module, err := decision.New(cfg, seed)
	if err != nil {
		return nil, errors.Wrap(err, "create decision module")
	}
	return &Core{
		log:        log,
		cfg:        cfg,
		module:     module,
		backends:   backends,
		routeTable: routeTable,
		mailbox:    mailbox.New[func(*Core)](),

		start:     time.Now(),
		startWall: monotime.Wall(),
		wall:      monotime.Wall,

		requests:          map[decision.RequestID]*request{},
		requestsByJobID:   map[string]*request{},
		awaitingAdmission: map[*Job]bool{},
		releasing:         map[*request]func(*MovedRequest){},
		releasedIDs:       map[string]bool{},

		workers:         map[string]*worker{},
		workersByNumber: map[decision.WorkerID]*worker{},
		excluded:        map[string]bool{},
		reinstated:      map[string]time.Duration{},

		processCount: 1,
		onExclusion:  func(Exclusion) {},
		onMembers:    onMembers,
	}, nil
}

// Run runs the loop until ctx is done.
func (c *Core) Run(ctx context.Context) {
	var mail []func(*Core)
	timer := time.NewTimer(0)
	defer timer.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	// Ensures a turn at least every refreshInterval: workers that were avoided for a while become
	// available again without any message.
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.mailbox.Ready():
		case <-timer.C:
		case <-summary.C:
			c.logSummary()
		case <-refresh.C:
			c.reportHoldings()
		}
		c.now = c.moduleTime(time.Now())
		c.guard.observe(c.now)
		mail = c.mailbox.Drain(mail[:0])
		for i, message := range mail {
			message(c)
			mail[i] = nil
		}
		c.runTimers()
		c.step()
		c.releaseReady()
		c.reportMembers()
		if len(c.timers) > 0 {
			timer.Reset(max(c.timers[0].at-c.moduleTime(time.Now()), 0))
		}
	}
}

// moduleTime converts t to the decision module's clock, the time since 1970. It is based on the
// monotonic clock, so it never goes back within a process.
func (c *Core) moduleTime(t time.Time) time.Duration {
	return c.startWall + t.Sub(c.start)
}

// wallTime converts a time of the decision module's clock to a time.Time.
func (c *Core) wallTime(at time.Duration) time.Time {
	return c.start.Add(at - c.startWall)
}

// ApplySettings puts a new configuration into effect. Existing classes keep their indexes and new
// ones are appended; jobs submitted after this call may belong to the new ones.
func (c *Core) ApplySettings(cfg decision.Config) {
	c.mailbox.Put(func(c *Core) {
		c.step() // the queued events are decided under the old settings
		c.cfg = cfg
		c.applyConfig()
	})
}

// applyConfig passes the current configuration to the decision module.
func (c *Core) applyConfig() {
	cfg := c.cfg
	cfg.Instances = max(cmp.Or(c.warmUpPeers, cfg.Instances), 1) * c.processCount
	c.addEvent(decision.Event{Type: decision.SettingsChanged, Settings: &cfg})
}

// addEvent queues an event for the next Step.
func (c *Core) addEvent(ev decision.Event) { c.events = append(c.events, ev) }

// step runs the decision module on the queued events, and on the events that executing its actions
// adds, until none is left.
func (c *Core) step() {
	var actions []decision.Action
	for len(c.events) > 0 {
		events := c.events
		c.events = nil
		actions = c.module.Step(c.now, events, actions[:0])
		for i := range actions {
			c.execute(&actions[i])
		}
		for i := range events {
			if r := c.requests[events[i].Request]; r != nil {
				c.removeIfDone(r)
			}
		}
	}
}

// execute performs one action of the decision module.
func (c *Core) execute(a *decision.Action) {
	switch a.Type {
	case decision.Send:
		c.sendAttempt(a)
	case decision.Cancel:
		if r := c.requests[a.Request]; r != nil {
			c.handleCancel(r, a.Attempt)
		}
	case decision.Reject:
		c.respond(a.Request, Response{Verdict: Rejected, RetryAfter: a.After}, a.Reason.String())
	case decision.Fail:
		verdict := Failed
		if r := c.requests[a.Request]; r != nil && r.unusable {
			verdict = Unusable
		}
		c.respond(a.Request, Response{Verdict: verdict}, a.Reason.String())
	case decision.SetTimer:
		c.addTimer(&timerEntry{at: a.At, token: a.Token})
	case decision.Probe:
		if w := c.workersByNumber[a.Worker]; w != nil && c.cfg.Limits.ProbeAllowed {
			w.backend.Probe(c.wallTime(c.now + c.cfg.Limits.ConnectTimeout))
		}
	case decision.Subscribe:
		c.routeTable.Watch()
	case decision.Fetch:
		c.routeTable.Fetch()
	default:
		c.log.WithField("action", a.Type).Error("unknown action type from the decision module")
	}
}
