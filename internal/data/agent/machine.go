package agent

import (
	"time"

	"frosttide/internal/protocol"
)

// Config holds the parameters of an agent.
type Config struct {
	Incarnation uint64        // distinguishes this process from earlier ones of the agent
	MaxRunLease time.Duration // longest run lease that runners accept
	Contacts    []string      // internal addresses of the core machines to query for the first view
	Seed        uint64        // seeds the random numbers of the gossip
}

// Heartbeat is a periodic report of the runner: its account and the state of its runs.
type Heartbeat struct {
	Account  *protocol.RunnerAccount
	Sequence uint64                  // increases with each heartbeat of a runner
	Running  []*protocol.RunProgress // runs that are running
	Finished []*protocol.RunEnd      // oldest ends of runs that were not acknowledged yet
}

// maxListedEnds is the number of ends that a heartbeat lists at most.
const maxListedEnds = 500

// listsAllEnds reports whether the heartbeat lists every end that was not acknowledged yet. If it
// does not, a run that it does not mention may have ended as well as never have begun.
func (h *Heartbeat) listsAllEnds() bool { return len(h.Finished) < maxListedEnds }

// HeartbeatResponse is the response to a heartbeat. It tells the runner what to start and to stop
// and for how long it may continue its runs.
type HeartbeatResponse struct {
	RunLease          time.Duration // 0 grants no run lease
	Acknowledged      uint64        // ends up to this number need not be listed again
	FencingToken      uint64        // the runner ignores responses with a lower one
	Start             []*protocol.RunOrder
	Stop              []*protocol.RunRef
	HeartbeatInterval time.Duration // delay until the next heartbeat
}

// Machine is the state machine of an agent. It handles the heartbeats of the runner and the orders
// of the head; see the package comment for its invariants. It performs no I/O and is not safe for
// concurrent use.
type Machine struct {
	cfg   Config
	now   time.Duration
	sends []protocol.Outbound

	// State of the runner.
	runner            *runner                  // nil if there is none
	removed           map[string]time.Duration // removal times by runner ID; these have no runs left
	heartbeatInterval time.Duration

	// The head and the view in which it is the head.
	headAddress     string // empty if no head is known
	epoch           uint64
	lastHeadContact time.Duration
	nextContact     int // counts view queries, to rotate through the contacts

	// Orders of the head.
	incarnation     uint64 // increases with each removed runner, which voids earlier orders
	session         uint64
	appliedSequence uint64 // sequence of the newest orders applied, or collected, in the session
	fullSyncDone    bool   // a full sync has been applied in the session
	syncParts       *fullSyncParts

	// Reports, and the lease that the orders in response renew.
	nextReport       time.Duration
	reportInterval   time.Duration
	leaseExpiry      time.Duration
	lastLeaseRequest uint64
	leaseRequestedAt map[uint64]time.Duration // send times of unanswered lease requests by number
}

// runner is the state that the agent keeps about its runner.
type runner struct {
	account      *protocol.RunnerAccount
	sequence     uint64 // sequence of the newest heartbeat
	lastContact  time.Duration
	deregistered bool // the runner is about to exit, now or many seconds later

	// Runs by task; a number is the number of the task's run.
	desired     map[string]*desiredRun
	running     map[string]uint32      // listed in the newest heartbeat
	blockedRuns map[string]*blockedRun // no longer desired and not listed, but may still start
	refused     map[string]uint32      // certainly never start; kept until the head acknowledges

	// Ends of runs by their number.
	pendingEnds  map[uint64]*protocol.RunEnd // listed by the runner, not acknowledged by the head
	acknowledged uint64                      // highest number that the head has acknowledged
	allEndsKnown bool                        // the newest heartbeat has listed all ends that are not acknowledged

	runLeaseExpiry time.Duration // when all run leases have expired even on the slowest clock
	healthChecks   int           // health checks during the current time-out
	refusedChecks  int           // consecutive refused health checks, up to the newest
}

// New returns a Machine that knows neither a runner nor a view.
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

// TakeSends returns the messages to send that were queued since the last call.
func (m *Machine) TakeSends() []protocol.Outbound {
	out := m.sends
	m.sends = nil
	return out
}

// HandleHeartbeat handles a heartbeat of the runner and returns the response. The first heartbeat
// of a new runner registers it. A heartbeat that is older than the newest one, or that comes from a
// runner which was replaced, changes nothing and gets neither a run lease nor orders.
func (m *Machine) HandleHeartbeat(now time.Duration, heartbeat *Heartbeat) HeartbeatResponse {
	m.now = now
	r := m.runner
	if r == nil || r.account.GetId() != heartbeat.Account.GetId() {
		if r != nil && m.isReplaced(heartbeat) {
			return HeartbeatResponse{HeartbeatInterval: m.heartbeatInterval}
		}
		r = m.register(heartbeat)
	}
	if heartbeat.Sequence < r.sequence { // delayed: its lists of runs are outdated
		return HeartbeatResponse{Acknowledged: r.acknowledged, HeartbeatInterval: m.heartbeatInterval}
	}
	r.sequence, r.lastContact, r.healthChecks, r.refusedChecks = heartbeat.Sequence, now, 0, 0
	m.updateAccount(r, heartbeat.Account)
	m.updateRuns(r, heartbeat)
	return m.respond(r)
}

// isReplaced reports whether a heartbeat comes from a runner that was removed. The caller checks
// that another runner has taken its place.
func (m *Machine) isReplaced(heartbeat *Heartbeat) bool {
	_, removed := m.removed[heartbeat.Account.GetId()]
	return removed
}

// register makes the sender of a heartbeat the runner of this agent. A previous runner, which had
// another ID, is removed: it has no running runs any more.
func (m *Machine) register(heartbeat *Heartbeat) *runner {
	if m.runner != nil {
		m.removed[m.runner.account.GetId()] = m.now
	}
	m.runner = &runner{
		account:     heartbeat.Account,
		desired:     make(map[string]*desiredRun),
		running:     make(map[string]uint32),
		blockedRuns: make(map[string]*blockedRun),
		refused:     make(map[string]uint32),
		pendingEnds: make(map[uint64]*protocol.RunEnd),
		// An earlier process of this agent may just have granted the longest run lease.
		runLeaseExpiry: m.now + m.allowForDrift(m.cfg.MaxRunLease),
	}
	m.fullSyncDone, m.syncParts = false, nil
	delete(m.removed, heartbeat.Account.GetId())
	m.nextReport = 0
	return m.runner
}

// allowForDrift returns the longest time that a run lease may last by the agent's clock, if the
// runner's clock is the slowest one allowed.
func (m *Machine) allowForDrift(runLease time.Duration) time.Duration {
	return runLease + time.Duration(maxClockDrift*float64(runLease)) + runLeaseMargin
}

// updateAccount replaces the runner's account. If a member has changed by which the head places
// runs, it makes a report due immediately.
func (m *Machine) updateAccount(r *runner, account *protocol.RunnerAccount) {
	previous, current := r.account.GetCapacity(), account.GetCapacity()
	if r.account.GetDraining() != account.GetDraining() || r.account.GetService() != account.GetService() ||
		previous.GetCpu() != current.GetCpu() || previous.GetMemMb() != current.GetMemMb() || previous.GetGpus() != current.GetGpus() {
		m.nextReport = 0
	}
	r.account = account
}

// updateRuns records which runs the runner lists as running and as ended. New ends make a report
// due immediately.
func (m *Machine) updateRuns(r *runner, heartbeat *Heartbeat) {
	r.allEndsKnown = heartbeat.listsAllEnds()
	clear(r.running)
	for _, progress := range heartbeat.Running {
		task, run := progress.GetTask(), progress.GetRun()
		r.running[task] = run
		if desired := r.desired[task]; desired != nil && desired.order.GetRun() == run {
			desired.begun, desired.startsSent, desired.stopsSent = true, 0, 0
		}
	}
	for _, end := range heartbeat.Finished {
		if end.GetNumber() <= r.acknowledged || r.pendingEnds[end.GetNumber()] != nil {
			continue
		}
		r.pendingEnds[end.GetNumber()] = end
		m.nextReport = 0
		task, run := end.GetTask(), end.GetRun()
		if blocked := r.blockedRuns[task]; blocked != nil && blocked.run <= run {
			delete(r.blockedRuns, task)
		}
		if desired := r.desired[task]; desired != nil && desired.order.GetRun() <= run {
			delete(r.desired, task)
		}
	}
}

// respond returns the response to a heartbeat: the run lease and the runs to start and to stop.
// While the agent has no lease of the head, or before the first full sync, the response contains
// neither, since the runs on the runner may be desired ones.
func (m *Machine) respond(r *runner) HeartbeatResponse {
	response := HeartbeatResponse{Acknowledged: r.acknowledged, FencingToken: m.epoch, HeartbeatInterval: m.heartbeatInterval}
	remaining := m.leaseExpiry - m.now
	if remaining < minRunLease || !m.fullSyncDone {
		return response
	}
	response.RunLease = min(m.cfg.MaxRunLease, remaining)
	r.runLeaseExpiry = max(r.runLeaseExpiry, m.now+m.allowForDrift(response.RunLease))
	builder := newResponseBuilder(&response)
	if !r.account.GetDraining() && !r.deregistered {
		m.startDesiredRuns(r, builder)
	}
	m.stopUndesiredRuns(r, builder)
	m.stopBlockedRuns(r, builder)
	return response
}

// Deregister handles the runner's announcement that it is about to exit. The runner may continue
// for many seconds and send delayed heartbeats meanwhile, so that the announcement does not mean
// that its runs have ended. The runner gets no more runs to start, and is removed under the same
// conditions as any other runner.
func (m *Machine) Deregister(now time.Duration, id string) {
	m.now = now
	if m.runner == nil || m.runner.account.GetId() != id {
		return
	}
	m.runner.deregistered = true
	m.nextReport = 0
}

// timedOut reports whether a runner's next heartbeat is overdue; see runnerTimeout.
func (m *Machine) timedOut(r *runner) bool {
	return m.now-r.lastContact > min(maxRunnerTimeout, runnerTimeout+time.Duration(len(r.running))*runnerTimeoutPerRun)
}

// NextHealthCheck returns the ID of the runner if it has timed out and a health check of its
// address is due. The caller passes the result of the check to HealthCheckDone.
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

// HealthCheckDone handles the result of a health check: whether a connection to the runner's
// address was refused. The runner is removed after minRefusedChecks consecutive refusals while it
// is timed out, since nothing listens at its address any more.
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

// removeRunner removes a runner that certainly has no running runs. The new incarnation voids the
// orders that the head sends before it learns of the removal, in case the runner sends a heartbeat
// again.
func (m *Machine) removeRunner(r *runner) {
	m.removed[r.account.GetId()] = m.now
	m.runner = nil
	m.incarnation++
	m.resetSession(0)
	m.nextReport = 0
}
