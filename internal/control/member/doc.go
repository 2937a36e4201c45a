// Package member combines the state machines of one control-plane process into a single pure state
// machine.
//
// A Member connects five components that do not depend on each other:
//
//   - the replica of the replication chain (package replica),
//   - the scheduler (package scheduler), which exists only while the replica serves as the head,
//   - the clock that the voters agree on (package wallclock),
//   - the gossip that spreads views and configurations (package gossip),
//   - the client that sends requests of this process's operator API to the chain (package
//     chainclient).
//
// # Turns
//
// Package server runs a Member on files, sockets and clocks. The simulated network of
// internal/testkit/simnet runs many of them in one goroutine. Both report events with Receive,
// Tick, DiskDone, Do and Drain, passing the current time of a steady clock. After one or more
// events they call Turn, which appends the scheduler's decisions as one entry and returns the
// Output to carry out.
//
// # Invariants
//
//   - The writes of an Output are handed to the disk before its messages are sent. The replica's
//     promises depend on this order (see package replica).
//   - A request is evaluated only by a head whose epoch a majority of the voters has recently
//     confirmed (see Accepting in package replica). Any other member rejects the attempt, and the
//     client may try the next member.
//   - An attempt of a request is handled only once, as long as it is among the recent ones that are
//     remembered (see recentAttempts). A rejected attempt that is delivered again is not accepted,
//     because its client may already rely on its not having been executed.
//   - A read is answered once a majority has confirmed the epoch after the read arrived and all
//     entries that the reply reflects are committed. This holds for reads at the tail (jobs,
//     configuration) and at the head (the scheduler's state).
//   - The scheduler's orders to agents are sent only after the entry that records them is
//     committed.
//
// # Files
//
// member.go holds the Member and its entry points, requests.go dispatches client requests, and
// attempts.go detects repeated ones. reads.go answers reads of the replicated state and
// statusreads.go reads of the scheduler's state.
//
// A Member is not safe for concurrent use.
package member
