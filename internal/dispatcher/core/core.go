// Package core is the actor of the decision module. It drains its mailbox into
// one Step of the module, carries out the actions that come back, and owns the
// state of requests and hops, the timers and the one final answer of each
// request. It knows no protocol: fronts and egress targets stand behind the
// small interfaces declared here. What those tell (Submit, Report, HopEnded, ...) may be
// called from any goroutine, and none of it blocks.
package core

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/monotime"
	"frosttide/internal/dispatcher/trace"
	"frosttide/internal/mailbox"
)

// Core is the actor. Make it with New, start it with Run.
type Core struct {
	log        *logrus.Entry
	cfg        decision.Config
	module     *decision.Dispatcher
	backends   Backends
	routeTable RouteTable
	mailbox    *mailbox.Box[func(*Core)]
	start      time.Time
	startWall  time.Duration        // what the wall clock said then
	wall       func() time.Duration // the wall clock, since 1970; it may be set at any time

	now               time.Duration
	events            []decision.Event // for the next Step
	timers            timerHeap
	requests          map[decision.RequestID]*request
	byID              map[string]*request
	lastRequestID     decision.RequestID
	lastWorkerID      decision.WorkerID
	summary           trafficCounts
	workers           map[string]*worker // by uid
	workersByNumber   map[decision.WorkerID]*worker
	excluded          map[string]bool                  // uids that operators have left out, whatever discovery lists
	reinstated        map[string]time.Duration         // uids that they have put back, and when
	restoredHealth    map[string]decision.Health       // of an earlier process, for runners not listed yet
	restoredStarts    map[string]WorkerStart           // the same
	processCount      int                              // of this dispatcher
	releasing         map[*request]func(*MovedRequest) // requests that are to go to another process
	onExclusion       func(Exclusion)                  // told of what operators say here
	onMembers         MembersFunc
	membersReportedAt time.Duration       // when it was told last
	onRecord          func(*trace.Record) // takes the stories of requests that have ended
	onHoldings        func([]Holding)     // is told what each worker holds; nil for nobody
	holdingsWanted    func() bool         // whether it wants to know now
	observer          WorkerObserver      // nil for none
	outcomeStore      OutcomeStore        // nil for none
	awaitingAdmission map[*Job]bool       // jobs whose fate is asked for, or that are held back, their clients still there
	heldBack          *heldBackJobs       // what came before discovery's first word; nil once that has come
	stopAt            time.Duration       // when the process may be ended; 0 for not yet
	gangs             GangObserver        // nil for none
	guard             *guard              // of one that comes back together with others; nil for none
	warmUpPeers       int                 // of cold runners, in place of the settings' number; 0 for that
}

// New makes the core. Seed is for the module's random numbers.
func New(cfg decision.Config, seed uint64, targets Backends, list RouteTable, members MembersFunc,
	log *logrus.Entry) (*Core, error) {
	module, err := decision.New(cfg, seed)
	if err != nil {
		return nil, fmt.Errorf("making the module: %w", err)
	}
	return &Core{log: log, cfg: cfg, module: module, backends: targets, routeTable: list, mailbox: mailbox.New[func(*Core)](),
		start: time.Now(), startWall: monotime.Wall(), wall: monotime.Wall, requests: map[decision.RequestID]*request{}, byID: map[string]*request{},
		workers: map[string]*worker{}, workersByNumber: map[decision.WorkerID]*worker{},
		excluded: map[string]bool{}, reinstated: map[string]time.Duration{}, releasing: map[*request]func(*MovedRequest){},
		onExclusion: func(Exclusion) {}, onMembers: members, processCount: 1, awaitingAdmission: map[*Job]bool{}}, nil
}

// Run works until the context ends.
func (c *Core) Run(ctx context.Context) {
	var mail []func(*Core)
	timer := time.NewTimer(0)
	defer timer.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	fresh := time.NewTicker(refreshInterval) // rests end with the time alone
	defer fresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.mailbox.Ready():
		case <-timer.C:
		case <-summary.C:
			c.logSummary()
		case <-fresh.C:
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

// moduleTime turns a time into the module's: the time since 1970, which never goes
// back in a process as it follows the monotonic clock.
func (c *Core) moduleTime(t time.Time) time.Duration {
	return c.startWall + t.Sub(c.start)
}

// wallTime turns the module's time back.
func (c *Core) wallTime(at time.Duration) time.Time {
	return c.start.Add(at - c.startWall)
}

// ApplySettings takes new settings: classes keep their numbers, and new ones come after
// them. Jobs submitted from now on may be of those.
func (c *Core) ApplySettings(cfg decision.Config) {
	c.mailbox.Put(func(c *Core) {
		c.step() // what came in before counts by the old ones
		c.cfg = cfg
		c.applyConfig()
	})
}

// applyConfig tells the module the settings in force.
func (c *Core) applyConfig() {
	cfg := c.cfg
	cfg.Instances = max(cmp.Or(c.warmUpPeers, cfg.Instances), 1) * c.processCount
	c.addEvent(decision.Event{Type: decision.SettingsChanged, Settings: &cfg})
}

func (c *Core) addEvent(ev decision.Event) { c.events = append(c.events, ev) }

// step lets the module act on the events gathered, and on those that carrying
// out its actions makes, until nothing is left to tell.
func (c *Core) step() {
	var actions []decision.Action
	for len(c.events) > 0 {
		events := c.events
		c.events = nil
		actions = c.module.Step(c.now, events, actions[:0])
		for i := range actions {
			c.carryOut(&actions[i])
		}
		for i := range events {
			if r := c.requests[events[i].Request]; r != nil {
				c.removeIfDone(r)
			}
		}
	}
}

func (c *Core) carryOut(a *decision.Action) {
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
