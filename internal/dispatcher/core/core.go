// Package core is the actor between the pure decision module and the network.
//
// It drains its mailbox into one Step of the module, executes the actions that
// Step returns, and owns what the module does not: the open requests with their
// attempts, the timers, and the one final response of each request. It knows no
// protocol. Clients stand behind Ingress, workers behind Backend, discovery
// behind RouteTable; packages ingress, gearman, egress and routetable implement
// them, and cmd/frosttide connects everything.
//
// Invariants: each request gets exactly one final response unless its client
// has left; each attempt ends exactly once, whatever its backend and its worker
// report and in whatever order; nothing is sent after a stall of the process
// until admission is opened anew.
//
// All exported methods of Core are safe for concurrent use and never block; they
// put a message into the mailbox that the goroutine of Run executes. The
// exceptions are the Set... methods of hooks and observers, Guard and HoldBack,
// which must be called before Run.
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

// Core is the actor. Make it with New and start it with Run. Unless a comment
// says otherwise its fields belong to the goroutine of Run.
type Core struct {
	log        *logrus.Entry
	cfg        decision.Config
	module     *decision.Dispatcher
	backends   Backends
	routeTable RouteTable
	mailbox    *mailbox.Box[func(*Core)] // safe for concurrent use

	// The clock. Durations that are points in time count since 1970.
	start     time.Time            // when the core was made
	startWall time.Duration        // what the wall clock showed then
	wall      func() time.Duration // the wall clock, which may be set at any time
	now       time.Duration        // of the current turn of the loop

	// Work of the current turn, and timers.
	events []decision.Event // for the next Step
	timers timerHeap

	// Requests.
	requests          map[decision.RequestID]*request
	byID              map[string]*request // by the client's name for the request
	lastRequestID     decision.RequestID
	awaitingAdmission map[*Job]bool                    // jobs held back or looked up in the outcome store, whose clients are still there
	heldBack          *heldBackJobs                    // nil once discovery has answered
	releasing         map[*request]func(*MovedRequest) // requests that will go to another process
	released          map[string]bool                  // the IDs of those that have gone, at the end of this process
	stopAt            time.Duration                    // when the process may be ended; 0 before StopBy

	// Workers.
	workers         map[string]*worker // by UID
	workersByNumber map[decision.WorkerID]*worker
	lastWorkerID    decision.WorkerID
	excluded        map[string]bool            // UIDs that operators have excluded, whatever discovery lists
	reinstated      map[string]time.Duration   // UIDs that operators have included again, and when
	restoredHealth  map[string]decision.Health // of an earlier process, for workers not listed yet
	restoredStarts  map[string]WorkerStart     // likewise

	// Other processes and other dispatchers.
	processCount int    // processes of this dispatcher
	warmUpPeers  int    // dispatchers that share warming workers, in place of the settings' number; 0 for that number
	guard        *guard // nil for a dispatcher without a cluster

	// Observers. None of them may block.
	onExclusion       func(Exclusion) // receives what operators decide at this process
	onMembers         MembersFunc
	membersReportedAt time.Duration
	onRecord          func(*trace.Record) // receives the span records of requests that have ended
	onHoldings        func([]Holding)     // receives the tokens that each worker holds; nil for nobody
	holdingsWanted    func() bool         // whether onHoldings is of use now
	observer          WorkerObserver      // nil for none
	outcomeStore      OutcomeStore        // nil for none
	gangs             GangObserver        // nil for none
	summary           trafficCounts
}

// New makes a core that is not running yet. The seed is for the random numbers
// of the decision module. It fails with the module's error for settings that the
// module does not accept.
func New(cfg decision.Config, seed uint64, backends Backends, routeTable RouteTable, onMembers MembersFunc,
	log *logrus.Entry) (*Core, error) {
	module, err := decision.New(cfg, seed)
	if err != nil {
		return nil, errors.Wrap(err, "making the module")
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
		byID:              map[string]*request{},
		awaitingAdmission: map[*Job]bool{},
		releasing:         map[*request]func(*MovedRequest){},
		released:          map[string]bool{},

		workers:         map[string]*worker{},
		workersByNumber: map[decision.WorkerID]*worker{},
		excluded:        map[string]bool{},
		reinstated:      map[string]time.Duration{},

		processCount: 1,
		onExclusion:  func(Exclusion) {},
		onMembers:    onMembers,
	}, nil
}

// Run works until the context ends.
func (c *Core) Run(ctx context.Context) {
	var mail []func(*Core)
	timer := time.NewTimer(0)
	defer timer.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	refresh := time.NewTicker(refreshInterval) // a worker's rest ends by the passing of time alone
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

// moduleTime converts a time into the decision module's: the time since 1970. It
// follows the monotonic clock, so it never goes back within a process.
func (c *Core) moduleTime(t time.Time) time.Duration {
	return c.startWall + t.Sub(c.start)
}

// wallTime converts the decision module's time back.
func (c *Core) wallTime(at time.Duration) time.Time {
	return c.start.Add(at - c.startWall)
}

// ApplySettings puts new settings in force. Classes keep their numbers, and new
// ones come after them. Jobs submitted from now on may be of those.
func (c *Core) ApplySettings(cfg decision.Config) {
	c.mailbox.Put(func(c *Core) {
		c.step() // events that came before the new settings count by the old ones
		c.cfg = cfg
		c.applyConfig()
	})
}

// applyConfig passes the settings in force to the decision module.
func (c *Core) applyConfig() {
	cfg := c.cfg
	cfg.Instances = max(cmp.Or(c.warmUpPeers, cfg.Instances), 1) * c.processCount
	c.addEvent(decision.Event{Type: decision.SettingsChanged, Settings: &cfg})
}

// addEvent queues an event for the next Step.
func (c *Core) addEvent(ev decision.Event) { c.events = append(c.events, ev) }

// step has the decision module act on the queued events, and on those that
// executing its actions causes, until none is left.
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

// execute carries out an action of the decision module.
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
		c.log.WithField("action", a.Type).Error("the module asked for an action that the core does not know")
	}
}
