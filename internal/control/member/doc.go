// Package member is one process of the control plane as a pure state machine.
//
// A Member joins five parts that know nothing of each other: the replica of the chain (package replica), the
// scheduler (package scheduler), which exists only while the replica serves as the head, the clock that the
// voters agree on (package wallclock), the gossip by which views and configurations spread (package gossip), and
// the client through which the operator's API of this process asks the chain (package chainclient).
//
// # Turns
//
// Package server runs a Member on files, sockets and clocks; the simulated network of internal/testkit/simnet
// runs many of them in one goroutine. Both call Receive, Tick, DiskDone, Do and Drain for what has happened, with the
// time on a steady clock, and after each of them, or after several, Turn. Turn closes the turn: it appends
// the scheduler's decisions as one entry and returns the Output that has to be carried out.
//
// # Invariants
//
//   - The writes of an Output go to the disk before its sends leave: the replica relies on that order for the
//     promises that it makes (see package replica).
//   - A request is evaluated only by a head that a majority of the voters has confirmed of late (see Accepting in
//     package replica). Any other member rejects the attempt, so that the client may try the next one.
//   - An attempt of a request is handled once. One that was rejected is not accepted when it arrives again,
//     because its client may already rely on its not having been executed.
//   - A read is answered once a majority has confirmed the epoch since it arrived and once all that the answer
//     shows is committed, be it at the tail (jobs, configuration) or at the head (the scheduler's state).
//   - The scheduler's orders to agents leave only after the entry that records them is committed.
//
// A Member is not safe for concurrent use.
package member
