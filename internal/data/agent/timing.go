package agent

import "time"

// Timing of the communication with the head.
const (
	// defaultReportInterval is the interval between reports until the head sets another.
	defaultReportInterval = 200 * time.Millisecond
	// headTimeout is the time without orders of the head after which the agent queries core
	// machines for a newer view.
	headTimeout = 900 * time.Millisecond
	// viewQueryInterval is the interval between these queries.
	viewQueryInterval = 100 * time.Millisecond
	// removedRetention is how long a removed runner is reported, and how long an unanswered lease
	// request is kept.
	removedRetention = 30 * time.Second
)

// Failure detection of the runner.
const (
	// defaultHeartbeatInterval is the interval between heartbeats until the head sets another.
	defaultHeartbeatInterval = 50 * time.Millisecond
	// A runner times out after runnerTimeout plus runnerTimeoutPerRun for each of its runs, but
	// after maxRunnerTimeout at the latest. The time depends on the runs because a runner postpones
	// its heartbeat until 50 ms after the newest end of a run: a runner with many short runs sends
	// fewer heartbeats.
	runnerTimeout       = 300 * time.Millisecond
	runnerTimeoutPerRun = 10 * time.Millisecond
	maxRunnerTimeout    = 900 * time.Millisecond
	// minRefusedChecks is the number of consecutive refused health checks after which a timed-out
	// runner is removed.
	minRefusedChecks = 2
	// maxHealthChecks limits the health checks during one time-out of a runner, and
	// maxHealthChecksDeregistered those of a runner that has deregistered and is about to exit.
	maxHealthChecks             = 4
	maxHealthChecksDeregistered = 12
)

// Durations of run leases.
const (
	// maxClockDrift is the fraction by which a runner's clock may be slower than the agent's. The
	// specified limit is 2%.
	maxClockDrift = 0.03
	// runLeaseMargin is added to the time at which a run lease is considered expired.
	runLeaseMargin = 200 * time.Millisecond
	// minRunLease is the shortest run lease that is granted; a shorter one would be of no use.
	minRunLease = 100 * time.Millisecond
)

// Retries of starts and stops.
const (
	// A run is blocked if the runner does not list it although at least minStartsSent starts were
	// sent and startTimeout has passed since the first one.
	startTimeout  = 1500 * time.Millisecond
	minStartsSent = 5
	// stopsToBlock is the number of stops after which one more ensures that a run never starts. A
	// single stop is not enough, since the runner drops a response that arrives too late.
	stopsToBlock = 3
)
