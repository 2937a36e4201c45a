// Package scheduler is the state machine of the placement role, which the head of the replication chain runs on the
// control state. It evaluates clients' requests, keeps one session for the agent on each runner's machine and assigns
// ready tasks to runners. It returns to its caller the entries to append to the replicated log and, once these are
// committed, the messages to send.
//
// # Use
//
// Package member owns the only Scheduler of a process. It creates the Scheduler with New from the replicated store when
// the member begins to serve as the head, discards it when the member stops being the head, and calls Continue when the
// same head stays in office under a newer epoch. Each turn it passes on messages and time (HandleRequest, HandleReport,
// Tick), gets the entry to append from Entry, reports that entry's index with Appended and the chain's progress with
// Committed, and takes messages and events from TakeSends and TakeEvents.
//
// A Scheduler does no input or output, starts no goroutine and reads no clock. Its callers pass the time in: a
// time.Duration is a reading of the monotonic clock, and a name that ends in Ms is the agreed time of day in
// milliseconds. It is not safe for concurrent use. It is deterministic: the same calls yield the same entries, which the
// simulator (package simnet) relies on.
//
// # Invariants
//
//   - Write ahead: no order to start, stop or acknowledge a run is sent before the entry that records the decision is
//     committed by the chain (van Renesse & Schneider 2004, section 3: the tail's reply is the commit point). A head
//     that has been replaced therefore starts no run that is unknown to its successor. See batch.
//   - Lease: a runner whose agent is out of contact is declared lost only once every lease granted by this or an
//     earlier head has expired on the slowest permitted clock (Gray & Cheriton 1989). Until then its runs keep their
//     reservations and their tasks are not started on another runner. See leaseOverAt.
//   - Confirmation: a lease is counted from the time at which a majority was asked whether the epoch is still current,
//     never from the time of the answer. See renewLease.
//   - Fencing: each message to an agent carries the epoch, the agent's incarnation and the number of its session, so
//     that an agent can reject messages from an earlier head or an earlier session.
//   - Full sync: the complete set of runs that a runner should have is sent only when all decisions that it reflects
//     are committed. A set that omits a run whose end is not committed would make the agent stop a run that may still
//     be needed.
//   - Idempotence: a repeated request, run end or configuration update is answered or acknowledged again and changes
//     nothing.
//
// # Files
//
//   - scheduler.go: the state and the steps of a turn; clock.go: the agreed time of day in the store
//   - requests.go: clients' and operators' requests; config.go and updatelog.go: the configuration and its history
//   - sessions.go, ends.go, lease.go, runners.go, evacuate.go: agents and their runners
//   - orders.go, fullsync.go: orders to agents
//   - cycle.go, queue.go, objective.go, demand.go, pass.go, blockage.go, gang.go: the order in which tasks are started,
//     and the choice of runners
//   - status.go, jobstatus.go, counters.go, overdue.go: status for operators, counters and events
package scheduler
