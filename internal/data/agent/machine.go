package agent

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
)

// Config holds what the settings say of an agent.
type Config struct {
	Incarnation uint64        // of the process
	MaxRunLease time.Duration // longest run lease that runners take
	Contacts    []string      // core machines to ask for the first view
	Seed        uint64        // of the gossip's random numbers
}

// Heartbeat is what the runner reports.
type Heartbeat struct {
	Account  *protocol.RunnerAccount
	Sequence uint64 // rises with each heartbeat of a runner
	Running  []*protocol.RunProgress
	Finished []*protocol.RunEnd // ends that were not acknowledged
}

// HeartbeatResponse is the answer to a heartbeat.
type HeartbeatResponse struct {
	RunLease          time.Duration // 0 gives none
	Acknowledged      uint64        // ends up to this number need not be listed again
	FencingToken      uint64        // the runner passes over responses with a lower one
	Start             []*protocol.RunOrder
	Stop              []*protocol.RunRef
	HeartbeatInterval time.Duration // until the next heartbeat
}

// Machine is an agent as a pure state machine. It is not safe for concurrent use.
type Machine struct {
	cfg   Config
	now   time.Duration
	sends []protocol.Outbound

	// The runner.
	runner            *runner                  // nil where there is none
	removed           map[string]time.Duration // since when, by ID: runners that run nothing any more
	heartbeatInterval time.Duration

	// The head and the view that names it.
	headAddress     string // empty where no head is known
	epoch           uint64
	lastHeadContact time.Duration
	nextContact     int // index of the contact that was queried last

	// Orders of the head.
	incarnation     uint64 // rises with each removed runner, which voids the orders given until then
	session         uint64
	appliedSequence uint64 // of the newest orders applied in the session
	fullSyncDone    bool   // a full sync has been applied in the session

	// Reports and the lease that their answers renew.
	nextReport       time.Duration
	reportInterval   time.Duration
	leaseExpiry      time.Duration
	lastLeaseRequest uint64
	leaseRequestedAt map[uint64]time.Duration // by number: requests without an answer
}

// runner is what the agent knows of its runner.
type runner struct {
	account      *protocol.RunnerAccount
	sequence     uint64 // of the newest heartbeat
	lastContact  time.Duration
	deregistered bool // it ends, now or many seconds later

	// Runs, by task: the number of the task's run, or what is kept of it.
	desired       map[string]*protocol.RunOrder
	running       map[string]uint32        // as listed in the newest heartbeat
	startAttempts map[string]*startAttempt // starts that were sent and have not been listed
	blockedRuns   map[string]*blockedRun   // no longer desired, not listed, and not yet sure never to start
	refused       map[string]uint32        // sure never to start, until the head acknowledges it

	// Ends of runs, by their number.
	pendingEnds  map[uint64]*protocol.RunEnd // listed by the runner and not acknowledged by the head
	acknowledged uint64                      // highest number that the head has acknowledged

	runLeaseExpiry time.Duration // when the newest run lease has ended on the slowest clock
	healthChecks   int           // in this time-out
	refusedChecks  int           // of these, the newest in a row
}

// New returns an agent that knows neither a runner nor a view.
func New(cfg Config, now time.Duration) *Machine {
	return &Machine{
		cfg:               cfg,
		now:               now,
		incarnation:       cfg.Incarnation,
		removed:           make(map[string]time.Duration),
		heartbeatInterval: defaultHeartbeatInterval,
		reportInterval:    defaultReportInterval,
		leaseRequestedAt:  make(map[uint64]time.Duration),
	}
}

// TakeSends returns the messages to send since the last call.
func (m *Machine) TakeSends() []protocol.Outbound {
	out := m.sends
	m.sends = nil
	return out
}

// HandleHeartbeat handles a heartbeat of the runner and returns the response.
func (m *Machine) HandleHeartbeat(now time.Duration, b *Heartbeat) HeartbeatResponse {
	m.now = now
	r := m.runner
	if r == nil || r.account.GetId() != b.Account.GetId() {
		if r != nil && m.isReplaced(b) {
			return HeartbeatResponse{HeartbeatInterval: m.heartbeatInterval}
		}
		r = m.register(b)
	}
	if b.Sequence < r.sequence { // delayed: its lists are out of date
		return HeartbeatResponse{Acknowledged: r.acknowledged, HeartbeatInterval: m.heartbeatInterval}
	}
	r.sequence, r.lastContact, r.healthChecks, r.refusedChecks = b.Sequence, now, 0, 0
	m.updateAccount(r, b.Account)
	m.updateRuns(r, b)
	return m.respond(r)
}

// isReplaced reports whether a heartbeat is of a runner that another one has replaced here.
func (m *Machine) isReplaced(b *Heartbeat) bool {
	_, removed := m.removed[b.Account.GetId()]
	return removed
}

// register takes the sender of a heartbeat for the runner. One that was here under another ID runs nothing any more.
func (m *Machine) register(b *Heartbeat) *runner {
	if m.runner != nil {
		m.removed[m.runner.account.GetId()] = m.now
	}
	m.runner = &runner{
		account:       b.Account,
		desired:       make(map[string]*protocol.RunOrder),
		running:       make(map[string]uint32),
		startAttempts: make(map[string]*startAttempt),
		blockedRuns:   make(map[string]*blockedRun),
		refused:       make(map[string]uint32),
		pendingEnds:   make(map[uint64]*protocol.RunEnd),
		// An earlier process of this agent may just have given the longest run lease.
		runLeaseExpiry: m.now + m.allowForDrift(m.cfg.MaxRunLease),
	}
	m.fullSyncDone = false
	delete(m.removed, b.Account.GetId())
	m.nextReport = 0
	return m.runner
}

// allowForDrift returns how long a run lease lasts at the most, on the slowest clock.
func (m *Machine) allowForDrift(runLease time.Duration) time.Duration {
	return runLease + time.Duration(maxClockDrift*float64(runLease)) + runLeaseMargin
}

// updateAccount replaces the runner's account and reports a change of what the head places runs by at once.
func (m *Machine) updateAccount(r *runner, account *protocol.RunnerAccount) {
	previous, current := r.account.GetCapacity(), account.GetCapacity()
	if r.account.GetDraining() != account.GetDraining() || r.account.GetService() != account.GetService() ||
		previous.GetCpu() != current.GetCpu() || previous.GetMemMb() != current.GetMemMb() || previous.GetGpus() != current.GetGpus() {
		m.nextReport = 0
	}
	r.account = account
}

// updateRuns takes over which runs the runner lists as running and as ended. New ends are reported at once.
func (m *Machine) updateRuns(r *runner, b *Heartbeat) {
	clear(r.running)
	for _, progress := range b.Running {
		r.running[progress.GetTask()] = progress.GetRun()
	}
	for _, end := range b.Finished {
		if end.GetNumber() <= r.acknowledged || r.pendingEnds[end.GetNumber()] != nil {
			continue
		}
		r.pendingEnds[end.GetNumber()] = end
		m.nextReport = 0
		task, run := end.GetTask(), end.GetRun()
		if blocked := r.blockedRuns[task]; blocked != nil && blocked.run <= run {
			delete(r.blockedRuns, task)
		}
		if order := r.desired[task]; order != nil && order.GetRun() <= run {
			delete(r.desired, task)
		}
	}
}

// respond returns what the runner has to start and stop, and its run lease. Without a lease of the head, or before
// the first full sync, it gets neither: what it runs may be desired.
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
		if order := r.desired[task]; order == nil || order.GetRun() != run {
			response.Stop = append(response.Stop, &protocol.RunRef{Task: task, Run: run})
		}
	}
	m.stopBlockedRuns(r, &response)
	return response
}

// Deregister handles that the runner says it is about to end. It may go on for many seconds and send delayed heartbeats
// meanwhile, so that this says nothing of what it runs: it gets nothing more to start, and is removed as any
// other runner is.
func (m *Machine) Deregister(now time.Duration, id string) {
	m.now = now
	if m.runner == nil || m.runner.account.GetId() != id {
		return
	}
	m.runner.deregistered = true
	m.nextReport = 0
}

// timedOut reports whether a runner's heartbeats are overdue.
func (m *Machine) timedOut(r *runner) bool {
	return m.now-r.lastContact > min(maxRunnerTimeout, runnerTimeout+time.Duration(len(r.running))*runnerTimeoutPerRun)
}

// NextHealthCheck returns the ID of the runner if it is timed out and its address is to be checked now. The caller
// passes the result to HealthCheckDone.
func (m *Machine) NextHealthCheck(now time.Duration) (id string, ok bool) {
	m.now = now
	r := m.runner
	if r == nil || !m.timedOut(r) {
		return "", false
	}
	limit := maxHealthChecks
	if r.deregistered {
		limit = maxHealthChecksDeregistered
	}
	if r.healthChecks >= limit {
		return "", false
	}
	r.healthChecks++
	return r.account.GetId(), true
}

// HealthCheckDone handles the result of a health check: whether a connection to the runner's address was refused. A
// machine on which nothing listens there, several times in a row while the runner is timed out, has no runner any more.
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

// removeRunner handles that the runner certainly runs nothing any more. What the head has ordered before it knows that is
// void, should the runner send a heartbeat again.
func (m *Machine) removeRunner(r *runner) {
	m.removed[r.account.GetId()] = m.now
	m.runner = nil
	m.incarnation++
	m.session, m.appliedSequence, m.fullSyncDone = 0, 0, false
	m.nextReport = 0
}
