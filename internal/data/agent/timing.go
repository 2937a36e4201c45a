package agent

import "time"

// The head.
const (
	// defaultReportInterval is the interval between reports until the head names another.
	defaultReportInterval = 200 * time.Millisecond
	// headTimeout is how long the head may be out of contact until the agent queries core machines for a newer view.
	headTimeout = 900 * time.Millisecond
	// viewQueryInterval is the interval between these queries.
	viewQueryInterval = 100 * time.Millisecond
	// removedRetention is how long a removed runner is reported, and how long an unanswered request for a lease is
	// kept.
	removedRetention = 30 * time.Second
)

// The runner.
const (
	// defaultHeartbeatInterval is the interval between heartbeats until the head names another.
	defaultHeartbeatInterval = 50 * time.Millisecond
	// A runner times out after runnerTimeout, plus runnerTimeoutPerRun for each of its runs, up to maxRunnerTimeout. A
	// runner puts its heartbeat off until 50 ms after its newest end, so that one with many short runs sends fewer.
	runnerTimeout       = 300 * time.Millisecond
	runnerTimeoutPerRun = 10 * time.Millisecond
	maxRunnerTimeout    = 900 * time.Millisecond
	// minRefusedChecks is how many health checks in a row have to be refused until a timed-out runner is removed.
	minRefusedChecks = 2
	// maxHealthChecks bounds the health checks in one time-out, maxHealthChecksDeregistered those of a runner that has
	// deregistered and is about to end.
	maxHealthChecks             = 4
	maxHealthChecksDeregistered = 12
)

// Run leases.
const (
	// maxClockDrift is how much slower than the agent's a runner's clock may be, as a fraction; the rules say 2%.
	maxClockDrift = 0.03
	// runLeaseMargin is added to the end of a run lease.
	runLeaseMargin = 200 * time.Millisecond
	// minRunLease is the shortest run lease that is worth giving.
	minRunLease = 100 * time.Millisecond
)

// Starts and stops.
const (
	// A run that the runner does not list after minStartsSent starts and after startTimeout is blocked.
	startTimeout  = 1500 * time.Millisecond
	minStartsSent = 5
	// stopsToBlock is how many stops are sent before the one with which the run certainly never starts. One is not
	// enough: the runner drops a response that arrives too late.
	stopsToBlock = 3
)
