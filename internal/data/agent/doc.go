// Package agent answers the heartbeats of the one runner beside it. frosttide-data runs it in the role that its
// arguments, the settings and the deploy file call companion.
//
// The agent keeps the set of runs that the head of the control plane desires at its runner. It answers each
// heartbeat with what the runner has to start and to stop, and with a run lease: the span in which the runner may go on
// with its runs without another answer. It reports the runner's account and the ends of runs to the head, and
// renews its own lease with each report.
//
// Machine and Node are pure state machines, which the simulated network of internal/testkit/simnet runs as well. Server
// runs them on HTTP and on the links of its process. Neither is safe for concurrent use; Server uses them on the
// goroutine of its process only.
//
// # Invariants
//
//   - A run lease never outlasts the lease that the head has given the agent. That lease counts from the sending
//     of the request for it, which is before the head decides how long it lasts.
//   - A runner is reported as removed only if it certainly runs nothing any more: its newest run lease has ended on the
//     slowest clock allowed, or nothing listens at its address on several health checks while it is timed out, or it
//     has come back under a new ID. A deregistration proves nothing, since a runner may go on for many seconds.
//   - Orders apply once, in sequence, and only if they are for this agent process, this runner and the newest
//     session of the newest epoch. After a gap nothing applies until a full sync, which lists every desired run.
//   - A run that is no longer desired before the runner has listed it is blocked: the runner is sent stops until
//     it certainly never starts the run. Only then is the run reported as refused, and the head frees its capacity.
//   - The end of a run is reported until the head acknowledges it, and the runner lists it in its heartbeats until then.
package agent
