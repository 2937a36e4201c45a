// Package rejoin is the actor that brings a dispatcher of a cluster back after its start, or
// after it stood still: it gathers evidence from the members, the log and the core, has the
// stages (recovery/stage) decide, and has the core act by what the stage allows. What it
// decides by is pure and stands in internal/dispatcher/fleet/recovery.
package rejoin

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/recovery/admission"
	"frosttide/internal/dispatcher/fleet/recovery/sharers"
	"frosttide/internal/dispatcher/fleet/recovery/stage"
	"frosttide/internal/mailbox"
)

// Fleet is what the member knows of the others. None of it may block for long.
type Fleet interface {
	// Standing tells what is known now.
	Standing(ctx context.Context) (Standing, bool)
	// Stage makes known how far this member has come back.
	Stage(stage.Stage)
	// Compare has copies compared with another member's anew, soon.
	Compare()
}

// Standing is what a member knows of the others.
type Standing struct {
	Met    bool
	Nobody bool
	Log    stage.Log
	Copies bool           // compared with who was there before, or with anybody where nobody was
	Others []sharers.Life // those that were ever heard of
}

// Dispatcher is who comes back; the core does. None of it blocks.
type Dispatcher interface {
	// SetAdmission sets the door, by one who knows that it stood still so many times.
	SetAdmission(level admission.Level, keyed bool, first, stood int)
	RejoinProgress(func(core.RejoinProgress))
	SetWarmUpPeers(count int)
}

// List is the list of runners.
type List interface {
	// Renew asks discovery anew; heard is called once it has told all there is, or has failed:
	// then it has told nothing that the list lacks.
	Renew(heard func())
}

// Config says how a dispatcher comes back.
type Config struct {
	Dispatchers int  // by the settings
	Paced       bool // jobs are let in by a door; else it stands wide open as soon as they may be sent
	Warm        bool // the dispatcher served before this part began: an older process was the member
	Stood       int  // standstills of the process before this part began
	Bounds      stage.Bounds
}

const (
	// lookEvery is how often evidence is gathered on the way, and restEvery once it is back.
	lookEvery = 50 * time.Millisecond
	restEvery = 500 * time.Millisecond
	// slotsEach is what a runner is taken to bear at once until jobs have shown it.
	slotsEach = 4
	// askTime bounds a question to the member.
	askTime = time.Second
)

// Status is how far a dispatcher has come back, for people.
type Status struct {
	Stage   string  `json:"stage"`
	Waits   string  `json:"waits,omitempty"` // what it lacks to go on
	Since   float64 `json:"since"`           // seconds in the stage
	Sharers int     `json:"sharers"`         // by how many cold runners are shared
	Stood   int     `json:"stood_still"`     // times that the process stood still
	Took    float64 `json:"took,omitempty"`  // seconds from the start, or from the last standstill, until it was back in full
}

// Actor is a dispatcher's. New makes it.
type Actor struct {
	cfg   Config
	fleet Fleet
	to    Dispatcher
	list  List
	log   *logrus.Entry
	box   *mailbox.Box[func(*Actor)]
	begun time.Time

	machine stage.Machine
	renewed bool // discovery has told all there is since the process stood still last
	stood   int  // times that it has stood still
	way     core.RejoinProgress
	rights  stage.Rights  // that the core acts by
	again   bool          // it has to be told again: it closed the door by itself
	from    time.Duration // when the way back began

	mu     sync.Mutex
	status Status
	at     time.Duration // when its stage began
}

// New makes an actor; Run starts it.
func New(cfg Config, f Fleet, to Dispatcher, list List, log *logrus.Entry) *Actor {
	a := &Actor{cfg: cfg, fleet: f, to: to, list: list, log: log, stood: cfg.Stood, box: mailbox.New[func(*Actor)](), begun: time.Now(), renewed: true,
		machine: stage.Machine{Bounds: cfg.Bounds}, status: Status{Stage: stage.Empty.String(), Sharers: cfg.Dispatchers}}
	if cfg.Warm {
		a.way = core.RejoinProgress{Listed: 1, Unrestricted: true}
		a.moved(a.machine.Step(0, stage.Evidence{Open: true, Met: true, Log: stage.LogApplied, List: true, Copies: true, Bears: true}))
		a.rights = a.machine.Stage().Rights()
	}
	return a
}

func (a *Actor) now() time.Duration { return time.Since(a.begun) }

// Woke takes in that the process stood still. It does not block.
func (a *Actor) Woke(still time.Duration) {
	a.box.Put(func(a *Actor) {
		a.log.WithField("for", still.Round(time.Millisecond).String()).Warn("this process stood still; what it knew is heard anew before anything is sent")
		a.renewed, a.from = false, a.now()
		a.stood++
		a.again = true
		a.mu.Lock()
		a.status.Stood = a.stood
		a.mu.Unlock()
		a.moved(a.machine.Woke(a.now()))
		a.list.Renew(func() { a.box.Put(func(a *Actor) { a.renewed = true }) })
		a.fleet.Compare()
	})
}

// Run works until the context ends.
func (a *Actor) Run(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	last := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.box.Ready():
			for _, message := range a.box.Drain(nil) {
				message(a)
			}
			continue // evidence is gathered by the tick alone
		case <-tick.C:
			if a.machine.Stage() == stage.Full && a.now()-last < restEvery {
				continue
			}
		}
		last = a.now()
		a.to.RejoinProgress(func(w core.RejoinProgress) { a.box.Put(func(a *Actor) { a.way = w }) })
		call, cancel := context.WithDeadline(ctx, time.Now().Add(askTime))
		s, ok := a.fleet.Standing(call)
		cancel()
		if ok {
			a.look(s)
		}
	}
}

// look decides by what is known now. The core is told first: whoever hears of a stage finds a
// member that acts by it.
func (a *Actor) look(s Standing) {
	e := stage.Evidence{Open: true, Met: s.Met, Nobody: s.Nobody, Log: s.Log, Copies: s.Copies, Bears: a.way.Unrestricted || !a.cfg.Paced,
		List: a.way.Listed > 0 && (a.renewed || s.Copies && s.Met)} // others' discoveries may answer where ours does not
	moves := a.machine.Step(a.now(), e)
	a.act(e)
	a.moved(moves)
	n := a.cfg.Dispatchers
	if a.machine.Stage().Rights().Counts {
		n = sharers.Count(a.cfg.Dispatchers, s.Others)
	}
	a.to.SetWarmUpPeers(n)
	a.mu.Lock()
	defer a.mu.Unlock()
	if n != a.status.Sharers {
		a.log.WithFields(logrus.Fields{"sharers": n, "were": a.status.Sharers}).Info("cold runners are shared by another number of dispatchers")
	}
	a.status.Sharers, a.status.Waits = n, a.machine.Waits(e)
}

// moved carries out what moves mean.
func (a *Actor) moved(moves []stage.Move) {
	for _, v := range moves {
		l := a.log.WithFields(logrus.Fields{"from": v.From.String(), "to": v.To.String(), "why": v.Why, "after": v.After.Round(time.Millisecond).String()})
		if v.Without {
			l.Warn("coming back without it")
		} else {
			l.Info("coming back")
		}
		a.fleet.Stage(v.To)
		a.mu.Lock()
		a.status.Stage, a.at = v.To.String(), a.now()
		if v.To == stage.Full {
			a.status.Took = (a.now() - a.from).Seconds()
		}
		a.mu.Unlock()
	}
}

// act has the core do what is allowed now. A door that stands ajar keeps its window.
func (a *Actor) act(e stage.Evidence) {
	r := a.machine.May(e)
	if r == a.rights && !a.again {
		return
	}
	a.rights, a.again = r, false
	level := map[stage.Admit]admission.Level{stage.None: admission.Closed, stage.Some: admission.Ajar, stage.All: admission.Wide}[r.Admits]
	if level == admission.Ajar && !a.cfg.Paced {
		level = admission.Wide
	}
	a.to.SetAdmission(level, r.Keyed, slotsEach*a.way.Listed/max(a.cfg.Dispatchers, 1), a.stood)
}

// Status returns how far it has come back. It may be called from any goroutine.
func (a *Actor) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.status
	s.Since = (a.now() - a.at).Seconds()
	return s
}
