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
	log       *logrus.Entry
	cfg       decision.Config
	module    *decision.Dispatcher
	targets   Targets
	list      RouteTable
	box       *mailbox.Box[func(*Core)]
	start     time.Time
	startWall time.Duration        // what the wall clock said then
	wall      func() time.Duration // the wall clock, since 1970; it may be set at any time

	now       time.Duration
	events    []decision.Event // for the next Step
	due       deadlines
	requests  map[decision.RequestID]*request
	byID      map[string]*request
	lastID    decision.RequestID
	lastTo    decision.WorkerID
	tally     tally
	workers   map[string]*worker // by uid
	byNumber  map[decision.WorkerID]*worker
	excluded  map[string]bool            // uids that operators have left out, whatever discovery lists
	putBack   map[string]time.Duration   // uids that they have put back, and when
	health    map[string]decision.Health // of an earlier process, for runners not listed yet
	starts    map[string]Start           // the same
	processes int                        // of this dispatcher
	releasing map[*request]func(*Moved)  // requests that are to go to another process
	inform    func(Exclusion)            // told of what operators say here
	members   Members
	membersAt time.Duration      // when it was told last
	ended     func(*trace.Story) // takes the stories of requests that have ended
	held      func([]Holding)    // is told what each worker holds; nil for nobody
	wanted    func() bool        // whether it wants to know now
	witness   Witness            // nil for none
	fates     Fates              // nil for none
	asking    map[*Job]bool      // jobs whose fate is asked for, or that are held back, their clients still there
	early     *early             // what came before discovery's first word; nil once that has come
	ends      time.Duration      // when the process may be ended; 0 for not yet
	gangs     Gangs              // nil for none
	guard     *guard             // of one that comes back together with others; nil for none
	sharers   int                // of cold runners, in place of the settings' number; 0 for that
}

// New makes the core. Seed is for the module's random numbers.
func New(cfg decision.Config, seed uint64, targets Targets, list RouteTable, members Members,
	log *logrus.Entry) (*Core, error) {
	module, err := decision.New(cfg, seed)
	if err != nil {
		return nil, fmt.Errorf("making the module: %w", err)
	}
	return &Core{log: log, cfg: cfg, module: module, targets: targets, list: list, box: mailbox.New[func(*Core)](),
		start: time.Now(), startWall: monotime.Wall(), wall: monotime.Wall, requests: map[decision.RequestID]*request{}, byID: map[string]*request{},
		workers: map[string]*worker{}, byNumber: map[decision.WorkerID]*worker{},
		excluded: map[string]bool{}, putBack: map[string]time.Duration{}, releasing: map[*request]func(*Moved){},
		inform: func(Exclusion) {}, members: members, processes: 1, asking: map[*Job]bool{}}, nil
}

// Run works until the context ends.
func (c *Core) Run(ctx context.Context) {
	var mail []func(*Core)
	timer := time.NewTimer(0)
	defer timer.Stop()
	summary := time.NewTicker(tallyEvery)
	defer summary.Stop()
	fresh := time.NewTicker(freshEvery) // rests end with the time alone
	defer fresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.box.Ready():
		case <-timer.C:
		case <-summary.C:
			c.report()
		case <-fresh.C:
			c.tellHeld()
		}
		c.now = c.clock(time.Now())
		c.guard.look(c.now)
		mail = c.box.Drain(mail[:0])
		for i, message := range mail {
			message(c)
			mail[i] = nil
		}
		c.ring()
		c.step()
		c.release()
		c.tellMembers()
		if len(c.due) > 0 {
			timer.Reset(max(c.due[0].at-c.clock(time.Now()), 0))
		}
	}
}

// clock turns a time into the module's: the time since 1970, which never goes
// back in a process as it follows the monotonic clock.
func (c *Core) clock(t time.Time) time.Duration {
	return c.startWall + t.Sub(c.start)
}

// moment turns the module's time back.
func (c *Core) moment(at time.Duration) time.Time {
	return c.start.Add(at - c.startWall)
}

// Settings takes new settings: classes keep their numbers, and new ones come after
// them. Jobs submitted from now on may be of those.
func (c *Core) Settings(cfg decision.Config) {
	c.box.Put(func(c *Core) {
		c.step() // what came in before counts by the old ones
		c.cfg = cfg
		c.configure()
	})
}

// configure tells the module the settings in force.
func (c *Core) configure() {
	cfg := c.cfg
	cfg.Instances = max(cmp.Or(c.sharers, cfg.Instances), 1) * c.processes
	c.event(decision.Event{Type: decision.SettingsChanged, Settings: &cfg})
}

func (c *Core) event(ev decision.Event) { c.events = append(c.events, ev) }

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
				c.forget(r)
			}
		}
	}
}

func (c *Core) carryOut(a *decision.Action) {
	switch a.Type {
	case decision.Send:
		c.send(a)
	case decision.Cancel:
		if r := c.requests[a.Request]; r != nil {
			c.cancel(r, a.Attempt)
		}
	case decision.Refuse:
		c.answer(a.Request, Answer{Verdict: Shed, RetryAfter: a.After}, a.Why.String())
	case decision.Fail:
		verdict := Failed
		if r := c.requests[a.Request]; r != nil && r.unusable {
			verdict = Unusable
		}
		c.answer(a.Request, Answer{Verdict: verdict}, a.Why.String())
	case decision.SetTimer:
		c.wake(&due{at: a.At, token: a.Token})
	case decision.Probe:
		if w := c.byNumber[a.Worker]; w != nil && c.cfg.Limits.ProbeAllowed {
			w.target.Probe(c.moment(c.now + c.cfg.Limits.ConnectTimeout))
		}
	case decision.Subscribe:
		c.list.Watch()
	case decision.Fetch:
		c.list.Fetch()
	default:
		c.log.WithField("action", a.Type).Error("the module asked for an action that the core does not know")
	}
}
