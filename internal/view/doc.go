// Package view computes the properties of views: quorums of voters, the length of the chain, proposal numbers, and the
// choice of the next view. It keeps no state.
//
// A view (protocol.View) is a configuration of the replicated control plane: the voters, the previous voters while a change
// of the voters is in progress, and the chain of members that store every write, from the head to the tail. Its epoch is
// the proposal number under which the voters agreed on it. The state machine in internal/control/replica agrees on views
// with these functions; clients (internal/chainclient) and operators' tools only read them.
//
// # Invariants
//
//   - Any two quorums of a view have a voter in common. While the voters change, a quorum needs majorities of both the new
//     and the previous voters, as in joint consensus (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//     Algorithm", 2014, section 6).
//   - Every majority of the voters contains a member of any chain that ChainLength allows. A member with promises of a
//     majority therefore learns of everything that an earlier chain has committed (van Renesse and Schneider, "Chain
//     Replication for Supporting High Throughput and Availability", 2004, leave this to an external configuration master).
//   - The head of the next view has installed the newest epoch among a quorum of voters, so that no committed write is lost.
//   - Two members never propose under the same number: a proposal number contains the proposer's number, which is never
//     assigned twice.
//
// The functions are safe for concurrent use as long as the views and members passed to them are not modified. They accept a
// nil view, which has neither voters nor a chain.
package view
