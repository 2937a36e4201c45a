// Package scheduler is the state machine of the placement role: what the head of the replication chain does with the
// control state. It evaluates clients' requests, keeps one session for the agent of each runner's machine, assigns
// ready tasks to runners, and returns to its caller what to append to the replicated log and, once that is committed,
// what to send.
//
// # Use
//
// Package member owns the one Scheduler of a process. It makes it with New from the replicated store when the member
// begins to serve as the head, drops it when the member no longer is the head, and calls Continue where the same head
// goes on under a newer epoch. Each turn it hands over what has arrived (HandleRequest, HandleReport, Tick), asks with
// Entry for what is to be appended, returns the index of that entry with Appended, reports the chain's progress with
// Committed, and collects TakeSends and TakeEvents.
//
// A Scheduler does no input or output, starts no goroutine and reads no clock: time is an argument of each call, on a
// steady clock as a time.Duration, and as the agreed time of day in milliseconds where a name ends in Ms. It is not
// safe for concurrent use. Equal calls lead to equal entries, which the simulator (package simnet) relies on.
//
// # Invariants
//
//   - Write ahead: no order to start, stop or acknowledge a run is sent before the entry that records the decision is
//     committed by the chain (van Renesse & Schneider 2004, section 3: the tail's reply is the commit point). A head
//     that has been replaced therefore starts nothing that its successor does not know of. See batch.
//   - Lease: a runner whose agent has been out of contact is declared lost only once every lease that this or an
//     earlier head has granted has run out by the slowest clock allowed for (Gray & Cheriton 1989). Until then its
//     runs keep their reservations and are started nowhere else. See leaseOverAt.
//   - Confirmation: a lease is counted from the moment at which a majority was asked whether the epoch still stands,
//     never from the moment of the answer. See renewLease.
//   - Fencing: each message to an agent carries the epoch, the agent's incarnation and the number of its session, so
//     that an agent can reject what an earlier head or an earlier session has sent.
//   - Full sync: the complete set of a runner's wanted runs is sent only when all decisions that it reflects are
//     committed. A set without a run whose end is not committed would have the agent stop what may still be wanted.
//   - Idempotence: a request, an end or an operator's update that arrives again is answered or acknowledged again and
//     changes nothing.
//
// # Files
//
//   - scheduler.go: the state and the turn; clock.go: the agreed time of day in the store
//   - requests.go: clients' and operators' requests; config.go and updatelog.go: the configuration and its history
//   - sessions.go, ends.go, lease.go, runners.go, evacuate.go: agents and their runners
//   - orders.go, fullsync.go: what is sent to agents
//   - cycle.go, queue.go, objective.go, pass.go, blockage.go, gang.go: which task is started where, and in which order
//   - status.go, jobstatus.go, counters.go, overdue.go: what operators and the log are shown
package scheduler
