// Package agent implements the agent that runs beside each runner and connects it to the control
// plane. frosttide-data runs it as the role that is called companion in its arguments, the settings
// and the deploy file.
//
// The agent keeps the set of runs that the head of the control plane wants its runner to execute.
// It answers each heartbeat with the runs to start and to stop, and with a run lease: the time for
// which the runner may continue its runs without another response. It reports the runner's account
// and the ends of runs to the head, and renews its own lease with each report.
//
// # Concurrency
//
// Machine and Node are deterministic state machines that perform no I/O, so that the simulated
// network in internal/testkit/simnet can run them as well. Server connects them to HTTP and to the
// transport of its process. Neither is safe for concurrent use; Server uses them only on the
// goroutine of its process.
//
// # Invariants
//
//   - A run lease never outlasts the lease that the head has granted to the agent. That lease
//     counts from the time when the agent sent the request for it, which is before the head decides
//     how long it lasts.
//   - A runner is reported as removed only if it certainly has no running runs: its newest run
//     lease has expired even on the slowest clock allowed, or several health checks of the
//     timed-out runner were refused because nothing listens at its address, or a runner with a new
//     ID has taken its place. A deregistration is no proof, since the runner may continue for many
//     seconds.
//   - Orders are applied once, in sequence, and only if they are for this agent process, this
//     runner and the newest session of the newest epoch. After a gap in the sequence nothing is
//     applied until a full sync, which lists every desired run.
//   - A run that stops being desired before the runner has listed it is blocked: the agent sends
//     stops until the run certainly never starts. Only then does it report the run as refused, so
//     that the head frees the run's capacity.
//   - The end of a run is reported until the head acknowledges it. The runner lists it in its
//     heartbeats until then.
package agent
