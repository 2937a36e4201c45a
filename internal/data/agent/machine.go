// Package agent answers the heartbeats of one runner. It holds the set of runs that the head wants
// there, has the runner start what is missing and stop what is not wanted, passes the ends on to the
// head, and lets the runner's holds grow only within the lease that the head has granted. Machine is pure;
// Server runs it on HTTP and the internal transport.
package agent

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
)

// Config holds what the settings say.
type Config struct {
	Incarnation uint64
	MaxRunLease time.Duration // longest hold that runners take
	Contacts    []string      // core machines to ask for the view at first
	Seed        uint64
}

// Heartbeat is a heartbeat of the runner.
type Heartbeat struct {
	Account  *protocol.RunnerAccount
	Sequence uint64
	Running  []*protocol.RunProgress
	Finished []*protocol.RunEnd
}

// HeartbeatResponse is what the runner is told.
type HeartbeatResponse struct {
	RunLease          time.Duration // 0 gives none
	Acknowledged      uint64
	FencingToken      uint64
	Start             []*protocol.RunOrder
	Stop              []*protocol.RunRef
	HeartbeatInterval time.Duration
}

// Send is a message to the process at an internal address.
type Send struct {
	To      string
	Message *protocol.Envelope
}

// Machine is the companion. It is not safe for concurrent use.
type Machine struct {
	cfg   Config
	now   time.Duration
	began time.Duration
	sends []Send

	incarnation       uint64 // rises where a runner was given up, so that orders from before are void
	session           uint64 // of the head's orders
	runner            *runner
	removed           map[string]time.Duration // runners that run nothing any more, until the head surely knows
	headAddress       string                   // internal address of the head, empty where none is known
	epoch             uint64                   // of the head
	appliedSequence   uint64                   // newest orders applied of this epoch
	fullSyncDone      bool                     // the whole set of this epoch has come
	leaseExpiry       time.Duration            // end of the lease
	lastLeaseRequest  uint64                   // of the newest request for a lease
	leaseRequestedAt  map[uint64]time.Duration // when rounds were asked
	nextReport        time.Duration
	heartbeatInterval time.Duration
	reportInterval    time.Duration // between reports
	lastHeadContact   time.Duration
	nextContact       int
}

// runner is the runner as its beats show it.
type runner struct {
	account        *protocol.RunnerAccount
	known          bool // the head knows the account as it is
	sequence       uint64
	lastContact    time.Duration
	desired        map[string]*protocol.RunOrder
	startAttempts  map[string]*startAttempt // starts that the runner has been told of and does not list
	refused        map[string]uint32        // runs that it surely never starts, until the head has dropped them
	blockedRuns    map[string]*blockedRun   // runs that are wanted no longer and not listed, until they surely never begin
	running        map[string]uint32
	acknowledged   uint64
	pendingEnds    map[uint64]*protocol.RunEnd // listed and not noted by the head, by number
	sentEnds       uint64                      // highest end sent to this head
	runLeaseExpiry time.Duration               // when the newest hold surely has run out
	deregistered   bool                        // it has taken its leave and ends, now or many seconds later
	healthChecks   int                         // looks in this silence
	refusedChecks  int                         // of these, that found nobody listening
}

// timedOut tells whether a runner has missed its beats.
func (m *Machine) timedOut(r *runner) bool {
	return m.now-r.lastContact > min(maxRunnerTimeout, runnerTimeout+time.Duration(len(r.running))*runnerTimeoutPerRun)
}

const (
	// defaultReportInterval is how often the lease is renewed until the head says how often.
	defaultReportInterval = 200 * time.Millisecond
	// viewQueryInterval is how often the head is looked for while there is none.
	viewQueryInterval = 100 * time.Millisecond
	// headTimeout is how long the head may be silent until it is looked for.
	headTimeout = 900 * time.Millisecond
	// runnerTimeout is how long a runner that runs nothing may be silent until it gets no more tasks, silentRun
	// what each of its runs adds to that and silentMost the bound: a runner puts its beat off until 50 ms after
	// its newest end, so that one with many short runs is silent for longer.
	runnerTimeout       = 300 * time.Millisecond
	runnerTimeoutPerRun = 10 * time.Millisecond
	maxRunnerTimeout    = 900 * time.Millisecond
	// minRefusedChecks is how many looks at a silent runner have to find that nobody listens there until it
	// counts as ended.
	minRefusedChecks = 2
	// maxHealthChecks bounds the looks in one silence, mostProbesLeft those at a runner that has taken its leave and is
	// about to end.
	maxHealthChecks             = 4
	maxHealthChecksDeregistered = 12
	// maxClockDrift is how much slower than ours a runner's clock may be; the rules say 2%.
	maxClockDrift = 0.03
	// runLeaseMargin is added to a hold's end.
	runLeaseMargin = 200 * time.Millisecond
	// defaultHeartbeatInterval is the pause between beats until the head says another.
	defaultHeartbeatInterval = 50 * time.Millisecond
	// removedRetention is how long the head is told of a runner that is gone.
	removedRetention = 30 * time.Second
	// draining and departing runners get short holds.
	minRunLease = 100 * time.Millisecond
)

// New returns a companion that knows nothing yet.
func New(cfg Config, now time.Duration) *Machine {
	return &Machine{cfg: cfg, incarnation: cfg.Incarnation, now: now, began: now, removed: make(map[string]time.Duration), leaseRequestedAt: make(map[uint64]time.Duration), heartbeatInterval: defaultHeartbeatInterval, reportInterval: defaultReportInterval}
}

// TakeSends returns the messages to be sent since the last call.
func (m *Machine) TakeSends() []Send {
	out := m.sends
	m.sends = nil
	return out
}

// HandleHeartbeat handles a heartbeat and returns the answer.
func (m *Machine) HandleHeartbeat(now time.Duration, b *Heartbeat) HeartbeatResponse {
	m.now = now
	r := m.runner
	if r == nil || r.account.GetId() != b.Account.GetId() {
		if r != nil && m.isReplaced(b) {
			return HeartbeatResponse{HeartbeatInterval: m.heartbeatInterval}
		}
		r = m.register(b)
	}
	if b.Sequence < r.sequence {
		return HeartbeatResponse{Acknowledged: r.acknowledged, HeartbeatInterval: m.heartbeatInterval} // it comes late; what it lists is old
	}
	r.sequence, r.lastContact, r.healthChecks, r.refusedChecks = b.Sequence, now, 0, 0
	m.updateAccount(r, b.Account)
	m.updateRuns(r, b)
	return m.respond(r)
}

// isReplaced tells whether a beat is of a runner that was replaced here.
func (m *Machine) isReplaced(b *Heartbeat) bool {
	_, removed := m.removed[b.Account.GetId()]
	return removed
}

// register begins with a runner: one that was here under another id runs nothing any more.
func (m *Machine) register(b *Heartbeat) *runner {
	if m.runner != nil {
		m.removed[m.runner.account.GetId()] = m.now
	}
	// A companion that has started anew knows no holds of the time before; they may last for the longest time.
	m.runner = &runner{desired: make(map[string]*protocol.RunOrder), startAttempts: make(map[string]*startAttempt), refused: make(map[string]uint32), blockedRuns: make(map[string]*blockedRun), running: make(map[string]uint32), pendingEnds: make(map[uint64]*protocol.RunEnd),
		runLeaseExpiry: m.now + m.allowForDrift(m.cfg.MaxRunLease)}
	m.fullSyncDone = false
	delete(m.removed, b.Account.GetId())
	m.runner.account = b.Account
	m.nextReport = 0
	return m.runner
}

// allowForDrift returns when a hold has run out on the slowest clock.
func (m *Machine) allowForDrift(runLease time.Duration) time.Duration {
	return runLease + time.Duration(maxClockDrift*float64(runLease)) + runLeaseMargin
}

// updateAccount has the head told where the account has changed.
func (m *Machine) updateAccount(r *runner, response *protocol.RunnerAccount) {
	previous, now := r.account.GetCapacity(), response.GetCapacity()
	if r.account.GetDraining() != response.GetDraining() || r.account.GetService() != response.GetService() ||
		previous.GetCpu() != now.GetCpu() || previous.GetMemMb() != now.GetMemMb() || previous.GetGpus() != now.GetGpus() {
		r.known = false
		m.nextReport = 0
	}
	r.account = response
}

// updateRuns takes in what the runner runs and what has ended.
func (m *Machine) updateRuns(r *runner, b *Heartbeat) {
	clear(r.running)
	for _, p := range b.Running {
		r.running[p.GetTask()] = p.GetRun()
	}
	changed := false
	for _, e := range b.Finished {
		if e.GetNumber() <= r.acknowledged || r.pendingEnds[e.GetNumber()] != nil {
			continue
		}
		r.pendingEnds[e.GetNumber()] = e
		changed = true
		if f := r.blockedRuns[e.GetTask()]; f != nil && f.run <= e.GetRun() {
			delete(r.blockedRuns, e.GetTask())
		}
		if w := r.desired[e.GetTask()]; w != nil && w.GetRun() <= e.GetRun() {
			delete(r.desired, e.GetTask())
		}
	}
	if changed {
		m.nextReport = 0
	}
}

// respond tells the runner what is wanted of it.
func (m *Machine) respond(r *runner) HeartbeatResponse {
	response := HeartbeatResponse{Acknowledged: r.acknowledged, FencingToken: m.epoch, HeartbeatInterval: m.heartbeatInterval}
	remaining := m.leaseExpiry - m.now
	if remaining < minRunLease || !m.fullSyncDone {
		return response
	}
	response.RunLease = min(m.cfg.MaxRunLease, remaining)
	r.runLeaseExpiry = max(r.runLeaseExpiry, m.now+m.allowForDrift(response.RunLease))
	if !r.account.GetDraining() && !r.deregistered {
		for _, task := range slices.Sorted(maps.Keys(r.desired)) {
			m.startOrBlock(r, r.desired[task], &response)
		}
	}
	for _, task := range slices.Sorted(maps.Keys(r.running)) {
		run := r.running[task]
		if w := r.desired[task]; w == nil || w.GetRun() != run {
			response.Stop = append(response.Stop, &protocol.RunRef{Task: task, Run: run})
		}
	}
	m.stopBlockedRuns(r, &response)
	return response
}

// Deregister handles that the runner takes its leave. It may run on for many seconds and beat late meanwhile, so that the
// leave alone says nothing of what it runs: it gets nothing more to start, and counts as ended as any other does.
func (m *Machine) Deregister(now time.Duration, id string) {
	m.now = now
	if m.runner == nil || m.runner.account.GetId() != id {
		return
	}
	m.runner.deregistered = true
	m.nextReport = 0
}

// NextHealthCheck returns the id of a runner that has fallen silent and is to be looked at now.
func (m *Machine) NextHealthCheck(now time.Duration) (id string, ok bool) {
	m.now = now
	r := m.runner
	if r == nil || !m.timedOut(r) || r.healthChecks >= maxHealthChecks && !r.deregistered || r.healthChecks >= maxHealthChecksDeregistered {
		return "", false
	}
	m.runner.healthChecks++
	return m.runner.account.GetId(), true
}

// HealthCheckDone notes what a look at a silent runner has found. A machine on which nobody listens at the runner's
// address, again and again, while it is silent, has no runner any more.
func (m *Machine) HealthCheckDone(now time.Duration, id string, refused bool) {
	m.now = now
	r := m.runner
	if r == nil || r.account.GetId() != id || !m.timedOut(r) {
		return
	}
	if !refused {
		r.refusedChecks = 0
		return
	}
	if r.refusedChecks++; r.refusedChecks >= minRefusedChecks {
		m.removeRunner(r)
	}
}

// Draining tells whether the runner's wish to leave is known here; it is from then on sent nothing.
func (m *Machine) Draining() bool { return m.runner != nil && m.runner.account.GetDraining() }
