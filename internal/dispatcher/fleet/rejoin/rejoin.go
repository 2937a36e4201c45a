// Package rejoin brings a dispatcher back into its cluster after a start or after a stall of the
// process. Its Actor gathers evidence from the other members, the replicated log and the core,
// advances the stages of package recovery/stage, and applies the rights of the current stage to the
// core. The decisions themselves are pure functions in the packages under
// internal/dispatcher/fleet/recovery.
//
// The dispatcher's command creates one Actor per cluster member. Invariant: the core applies the
// rights of a stage before the stage is published to the other members. The goroutine that executes
// Run owns the state machine; ProcessStalled and Status may be called from any goroutine.
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

// Fleet is the cluster member by which the actor observes the other members and tells them its
// stage. No method may block for long.
type Fleet interface {
	// State returns what is known now, and false if the member does not respond before ctx ends.
	State(ctx context.Context) (FleetState, bool)
	// SetStage publishes this member's stage to the others.
	SetStage(stage.Stage)
	// CompareReplicas requests another comparison of this member's replica with those of others.
	CompareReplicas()
}

// FleetState is what the member knows of the others: evidence for the stages, and the states of the
// other dispatchers.
type FleetState struct {
	PeerAlive        bool                // see stage.Evidence
	NoPeers          bool                // see stage.Evidence
	Log              stage.Log           // state of the replicated log at this member
	ReplicasCompared bool                // with a member that was there earlier, or with any if none was
	Peers            []sharers.PeerState // of every other dispatcher that was ever known
}

// Dispatcher is the dispatcher's core, to which the actor applies the rights of the current stage.
// No method blocks.
type Dispatcher interface {
	// SetAdmission sets the admission level. keyed permits keyed jobs. initial is the number of
	// jobs that may be in flight when the level changes to Limited. stalls is the number of stalls
	// of which the caller knows: the core ignores the call if another stall has occurred since, as
	// the decision is then outdated.
	SetAdmission(level admission.Level, keyed bool, initial, stalls int)
	// RejoinProgress calls the function with the core's progress, from the core's goroutine.
	RejoinProgress(func(core.RejoinProgress))
	// SetWarmUpPeers sets the number of dispatchers that share the warm-up capacity of cold
	// runners.
	SetWarmUpPeers(count int)
}

// RunnerTable is the table of runners, which discovery keeps up to date.
type RunnerTable interface {
	// Renew requests the full list from discovery again. done is called once, either when the list
	// has been received or when the request has failed; in that case discovery has sent nothing
	// that the table lacks.
	Renew(done func())
}

// Config configures an Actor.
type Config struct {
	Dispatchers int  // configured number of dispatchers in the cluster
	Paced       bool // admit under a growing limit; if false, without limit once jobs may be sent
	Warm        bool // it takes over from an older process of the member that was serving
	Stalls      int  // number of stalls of the process before the actor was created
	Bounds      stage.Bounds
}

const (
	// evaluateInterval is the interval between evaluations of the evidence before the full stage,
	// and idleInterval the interval in it.
	evaluateInterval = 50 * time.Millisecond
	idleInterval     = 500 * time.Millisecond
	// slotsPerRunner is the number of jobs that a runner is assumed to process concurrently. It
	// determines the initial admission window, before completed jobs show the real number.
	slotsPerRunner = 4
	// stateTimeout limits a call of Fleet.State.
	stateTimeout = time.Second
)

// Status is a dispatcher's rejoin progress, as shown to operators.
type Status struct {
	Stage    string  `json:"stage"`           // name of the current stage
	WaitsFor string  `json:"waits,omitempty"` // evidence that is missing to advance
	Since    float64 `json:"since"`           // time in the stage, in seconds
	Sharers  int     `json:"sharers"`         // number of dispatchers that share cold runners
	Stalls   int     `json:"stood_still"`     // number of stalls of the process
	Took     float64 `json:"took,omitempty"`  // seconds from the start, or the last stall, to the full stage
}

// Actor drives the rejoin of one dispatcher. Use New to create one.
type Actor struct {
	cfg        Config
	fleet      Fleet
	dispatcher Dispatcher
	runners    RunnerTable
	log        *logrus.Entry
	mailbox    *mailbox.Box[func(*Actor)]
	startedAt  time.Time

	machine        stage.Machine
	runnersCurrent bool // false from a stall until RunnerTable.Renew has called done
	stalls         int  // number of stalls of the process
	progress       core.RejoinProgress
	appliedRights  stage.Rights  // rights last applied to the core
	mustReapply    bool          // the core has closed admission because of a stall
	rejoinStart    time.Duration // time of the last stall, 0 before the first; see now

	mu         sync.Mutex
	status     Status
	stageStart time.Duration // time of the last transition; see now
}

// New creates an actor. With cfg.Warm it starts in the full stage, which New publishes; the core is
// expected to have that stage's rights already. The actor does nothing else until Run is called.
func New(cfg Config, fleet Fleet, dispatcher Dispatcher, runners RunnerTable, log *logrus.Entry) *Actor {
	a := &Actor{cfg: cfg, fleet: fleet, dispatcher: dispatcher, runners: runners, log: log, stalls: cfg.Stalls, mailbox: mailbox.New[func(*Actor)](), startedAt: time.Now(), runnersCurrent: true,
		machine: stage.Machine{Bounds: cfg.Bounds}, status: Status{Stage: stage.Starting.String(), Sharers: cfg.Dispatchers}}
	if cfg.Warm {
		a.progress = core.RejoinProgress{Listed: 1, Unrestricted: true}
		a.reportTransitions(a.machine.Step(0, stage.Evidence{AddressesOpen: true, PeerAlive: true, Log: stage.LogApplied, RunnersKnown: true, ReplicasCompared: true, Unrestricted: true}))
		a.appliedRights = a.machine.Stage().Rights()
	}
	return a
}

// now returns the time since the actor was created.
func (a *Actor) now() time.Duration { return time.Since(a.startedAt) }

// ProcessStalled tells the actor that the process was stalled for a time. The member returns to
// stage CatchingUp if it is past that, and requests the runners and a comparison of replicas
// again, because it missed the updates of that time. ProcessStalled does not block.
func (a *Actor) ProcessStalled(stalledFor time.Duration) {
	a.mailbox.Put(func(a *Actor) {
		a.log.WithField("for", stalledFor.Round(time.Millisecond).String()).Warn("process was stalled; refreshing runners and replicas before sending jobs")
		a.runnersCurrent, a.rejoinStart = false, a.now()
		a.stalls++
		a.mustReapply = true
		a.mu.Lock()
		a.status.Stalls = a.stalls
		a.mu.Unlock()
		a.reportTransitions(a.machine.ProcessStalled(a.now()))
		a.runners.Renew(func() { a.mailbox.Put(func(a *Actor) { a.runnersCurrent = true }) })
		a.fleet.CompareReplicas()
	})
}

// Run evaluates the evidence and advances the stages periodically until ctx ends.
func (a *Actor) Run(ctx context.Context) {
	tick := time.NewTicker(evaluateInterval)
	defer tick.Stop()
	lastEvaluation := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.mailbox.Ready():
			for _, message := range a.mailbox.Drain(nil) {
				message(a)
			}
			continue // messages do not trigger an evaluation, only the ticker does
		case <-tick.C:
			if a.machine.Stage() == stage.Full && a.now()-lastEvaluation < idleInterval {
				continue
			}
		}
		lastEvaluation = a.now()
		a.dispatcher.RejoinProgress(func(progress core.RejoinProgress) { a.mailbox.Put(func(a *Actor) { a.progress = progress }) })
		stateCtx, cancel := context.WithDeadline(ctx, time.Now().Add(stateTimeout))
		state, ok := a.fleet.State(stateCtx)
		cancel()
		if ok {
			a.evaluate(state)
		}
	}
}

// evaluate advances the stages by the current evidence. It applies the new rights to the core
// before it publishes the stage: another member that learns of the stage relies on the rights being
// in force.
func (a *Actor) evaluate(state FleetState) {
	// The list of runners is current if this member's discovery has sent it since the last stall,
	// or if it was compared with the replica of a live member: discovery may respond to other
	// members while it does not respond to this one.
	evidence := stage.Evidence{AddressesOpen: true, PeerAlive: state.PeerAlive, NoPeers: state.NoPeers, Log: state.Log, ReplicasCompared: state.ReplicasCompared, Unrestricted: a.progress.Unrestricted || !a.cfg.Paced,
		RunnersKnown: a.progress.Listed > 0 && (a.runnersCurrent || state.ReplicasCompared && state.PeerAlive)}
	transitions := a.machine.Step(a.now(), evidence)
	a.applyRights(evidence)
	a.reportTransitions(transitions)
	sharerCount := a.cfg.Dispatchers
	if a.machine.Stage().Rights().CountsPeers {
		sharerCount = sharers.Count(a.cfg.Dispatchers, state.Peers)
	}
	a.dispatcher.SetWarmUpPeers(sharerCount)
	a.mu.Lock()
	defer a.mu.Unlock()
	if sharerCount != a.status.Sharers {
		a.log.WithFields(logrus.Fields{"sharers": sharerCount, "were": a.status.Sharers}).Info("number of dispatchers sharing cold runners changed")
	}
	a.status.Sharers, a.status.WaitsFor = sharerCount, a.machine.WaitsFor(evidence)
}

// reportTransitions logs the transitions, publishes their stages to the other members and updates
// the status.
func (a *Actor) reportTransitions(transitions []stage.Transition) {
	for _, transition := range transitions {
		entry := a.log.WithFields(logrus.Fields{"from": transition.From.String(), "to": transition.To.String(), "why": transition.Why, "after": transition.Elapsed.Round(time.Millisecond).String()})
		if transition.TimedOut {
			entry.Warn("rejoin stage changed after a timeout, with evidence missing")
		} else {
			entry.Info("rejoin stage changed")
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

// applyRights applies the current rights to the core, if they differ from those applied last or the
// core has closed admission since. If admission is limited already, the core keeps its window.
func (a *Actor) applyRights(evidence stage.Evidence) {
	rights := a.machine.Rights(evidence)
	if rights == a.appliedRights && !a.mustReapply {
		return
	}
	a.appliedRights, a.mustReapply = rights, false
	level := map[stage.Admission]admission.Level{stage.AdmitNone: admission.Closed, stage.AdmitLimited: admission.Limited, stage.AdmitAll: admission.Unlimited}[rights.Admission]
	if level == admission.Limited && !a.cfg.Paced {
		level = admission.Unlimited
	}
	a.dispatcher.SetAdmission(level, rights.KeyedJobs, slotsPerRunner*a.progress.Listed/max(a.cfg.Dispatchers, 1), a.stalls)
}

// Status returns the current rejoin progress. It may be called from any goroutine.
func (a *Actor) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.status
	s.Since = (a.now() - a.stageStart).Seconds()
	return s
}
