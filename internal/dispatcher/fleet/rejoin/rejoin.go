// Package rejoin is the actor that brings a dispatcher back into its fleet after a start or a
// stall. It gathers evidence from the members, the replicated log and the core, advances the
// stages of package recovery/stage, and applies the rights of the current stage to the core. The
// decisions themselves are pure and live in the packages below internal/dispatcher/fleet/recovery.
//
// The dispatcher's command creates one Actor for each cluster member. Invariant: the core acts by
// a stage before the other members are told of it. One goroutine (Run) owns the state machine;
// ProcessStalled and Status may be called from any goroutine.
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

// Fleet is the member's view of the other members. No method may block for long.
type Fleet interface {
	// State returns what is known now; false if the member does not respond before ctx ends.
	State(ctx context.Context) (FleetState, bool)
	// SetStage publishes this member's stage to the others.
	SetStage(stage.Stage)
	// CompareReplicas starts another comparison of replicas soon.
	CompareReplicas()
}

// FleetState is what a member knows of the others; see stage.Evidence.
type FleetState struct {
	PeerAlive        bool
	NoPeers          bool
	Log              stage.Log
	ReplicasCompared bool                // with an earlier member's, or with any member's if there was no earlier one
	Peers            []sharers.PeerState // every dispatcher that was ever known
}

// Dispatcher is the dispatcher's core. No method blocks.
type Dispatcher interface {
	// SetAdmission sets the admission level. keyed permits keyed jobs, first is the admission
	// window to start from, and stood is the number of stalls that the caller knows of: the core
	// ignores a call that does not know of its latest stall.
	SetAdmission(level admission.Level, keyed bool, first, stood int)
	// RejoinProgress calls the function with the core's progress, from the core's goroutine.
	RejoinProgress(func(core.RejoinProgress))
	// SetWarmUpPeers sets by how many dispatchers the capacity of cold runners is divided.
	SetWarmUpPeers(count int)
}

// RunnerTable is the table of runners that discovery maintains.
type RunnerTable interface {
	// Renew requests the full list from discovery again; done is called when it has been received,
	// or when the request has failed, in which case discovery had no more to report than the table
	// holds.
	Renew(done func())
}

// Config configures an Actor.
type Config struct {
	Dispatchers int  // configured number of dispatchers
	Paced       bool // admit under a growing limit; otherwise admission is unlimited as soon as jobs may be sent
	Warm        bool // the dispatcher was serving before: it takes over from an older process of the member
	Stalls      int  // stalls of the process before the actor was created
	Bounds      stage.Bounds
}

const (
	// evaluateInterval is the interval between evaluations while rejoining, and idleInterval the
	// one after that.
	evaluateInterval = 50 * time.Millisecond
	idleInterval     = 500 * time.Millisecond
	// slotsPerRunner is the assumed number of concurrent jobs of a runner until jobs have shown
	// it.
	slotsPerRunner = 4
	// stateTimeout bounds a request for the fleet's state.
	stateTimeout = time.Second
)

// Status is a dispatcher's rejoin progress, for operators.
type Status struct {
	Stage    string  `json:"stage"`
	WaitsFor string  `json:"waits,omitempty"` // what is missing to advance
	Since    float64 `json:"since"`           // seconds in the stage
	Sharers  int     `json:"sharers"`         // number of dispatchers that divide the capacity of cold runners
	Stalls   int     `json:"stood_still"`     // number of stalls
	Took     float64 `json:"took,omitempty"`  // seconds from the start, or the last stall, to the full stage
}

// Actor brings one dispatcher back; New creates it.
type Actor struct {
	cfg        Config
	fleet      Fleet
	dispatcher Dispatcher
	runners    RunnerTable
	log        *logrus.Entry
	mailbox    *mailbox.Box[func(*Actor)]
	startedAt  time.Time

	machine     stage.Machine
	renewed     bool // discovery has sent the full list since the last stall
	stalls      int  // number of stalls
	progress    core.RejoinProgress
	rights      stage.Rights // rights in force at the core
	reapply     bool         // the core closed admission by itself, so the rights have to be applied again
	rejoinStart time.Duration

	mu         sync.Mutex
	status     Status
	stageStart time.Duration
}

// New creates an actor; it does nothing until Run is called.
func New(cfg Config, fleet Fleet, dispatcher Dispatcher, runners RunnerTable, log *logrus.Entry) *Actor {
	a := &Actor{cfg: cfg, fleet: fleet, dispatcher: dispatcher, runners: runners, log: log, stalls: cfg.Stalls, mailbox: mailbox.New[func(*Actor)](), startedAt: time.Now(), renewed: true,
		machine: stage.Machine{Bounds: cfg.Bounds}, status: Status{Stage: stage.Starting.String(), Sharers: cfg.Dispatchers}}
	if cfg.Warm {
		a.progress = core.RejoinProgress{Listed: 1, Unrestricted: true}
		a.report(a.machine.Step(0, stage.Evidence{AddressesOpen: true, PeerAlive: true, Log: stage.LogApplied, RunnersKnown: true, ReplicasCompared: true, Unrestricted: true}))
		a.rights = a.machine.Stage().Rights()
	}
	return a
}

func (a *Actor) now() time.Duration { return time.Since(a.startedAt) }

// ProcessStalled records that the process was stalled. It does not block.
func (a *Actor) ProcessStalled(stalledFor time.Duration) {
	a.mailbox.Put(func(a *Actor) {
		a.log.WithField("for", stalledFor.Round(time.Millisecond).String()).Warn("this process stood still; what it knew is heard anew before anything is sent")
		a.renewed, a.rejoinStart = false, a.now()
		a.stalls++
		a.reapply = true
		a.mu.Lock()
		a.status.Stalls = a.stalls
		a.mu.Unlock()
		a.report(a.machine.ProcessStalled(a.now()))
		a.runners.Renew(func() { a.mailbox.Put(func(a *Actor) { a.renewed = true }) })
		a.fleet.CompareReplicas()
	})
}

// Run evaluates the evidence periodically until ctx ends.
func (a *Actor) Run(ctx context.Context) {
	tick := time.NewTicker(evaluateInterval)
	defer tick.Stop()
	last := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.mailbox.Ready():
			for _, message := range a.mailbox.Drain(nil) {
				message(a)
			}
			continue // the ticker alone paces the evaluations
		case <-tick.C:
			if a.machine.Stage() == stage.Full && a.now()-last < idleInterval {
				continue
			}
		}
		last = a.now()
		a.dispatcher.RejoinProgress(func(w core.RejoinProgress) { a.mailbox.Put(func(a *Actor) { a.progress = w }) })
		call, cancel := context.WithDeadline(ctx, time.Now().Add(stateTimeout))
		s, ok := a.fleet.State(call)
		cancel()
		if ok {
			a.evaluate(s)
		}
	}
}

// evaluate advances the stages by what is known now. The core acts first: a member that learns of
// a stage must find one that already acts by it.
func (a *Actor) evaluate(s FleetState) {
	evidence := stage.Evidence{AddressesOpen: true, PeerAlive: s.PeerAlive, NoPeers: s.NoPeers, Log: s.Log, ReplicasCompared: s.ReplicasCompared, Unrestricted: a.progress.Unrestricted || !a.cfg.Paced,
		RunnersKnown: a.progress.Listed > 0 && (a.renewed || s.ReplicasCompared && s.PeerAlive)} // the other members' discoveries may respond when this one's does not
	transitions := a.machine.Step(a.now(), evidence)
	a.apply(evidence)
	a.report(transitions)
	n := a.cfg.Dispatchers
	if a.machine.Stage().Rights().CountsPeers {
		n = sharers.Count(a.cfg.Dispatchers, s.Peers)
	}
	a.dispatcher.SetWarmUpPeers(n)
	a.mu.Lock()
	defer a.mu.Unlock()
	if n != a.status.Sharers {
		a.log.WithFields(logrus.Fields{"sharers": n, "were": a.status.Sharers}).Info("cold runners are shared by another number of dispatchers")
	}
	a.status.Sharers, a.status.WaitsFor = n, a.machine.WaitsFor(evidence)
}

// report publishes and logs transitions.
func (a *Actor) report(transitions []stage.Transition) {
	for _, transition := range transitions {
		l := a.log.WithFields(logrus.Fields{"from": transition.From.String(), "to": transition.To.String(), "why": transition.Why, "after": transition.Elapsed.Round(time.Millisecond).String()})
		if transition.TimedOut {
			l.Warn("coming back without it")
		} else {
			l.Info("coming back")
		}
		a.fleet.SetStage(transition.To)
		a.mu.Lock()
		a.status.Stage, a.stageStart = transition.To.String(), a.now()
		if transition.To == stage.Full {
			a.status.Took = (a.now() - a.rejoinStart).Seconds()
		}
		a.mu.Unlock()
	}
}

// apply puts the current rights in force at the core. A limited admission level keeps its window.
func (a *Actor) apply(evidence stage.Evidence) {
	rights := a.machine.Rights(evidence)
	if rights == a.rights && !a.reapply {
		return
	}
	a.rights, a.reapply = rights, false
	level := map[stage.Admission]admission.Level{stage.AdmitNone: admission.Closed, stage.AdmitLimited: admission.Limited, stage.AdmitAll: admission.Unlimited}[rights.Admission]
	if level == admission.Limited && !a.cfg.Paced {
		level = admission.Unlimited
	}
	a.dispatcher.SetAdmission(level, rights.KeyedJobs, slotsPerRunner*a.progress.Listed/max(a.cfg.Dispatchers, 1), a.stalls)
}

// Status returns the rejoin progress. It may be called from any goroutine.
func (a *Actor) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.status
	s.Since = (a.now() - a.stageStart).Seconds()
	return s
}
