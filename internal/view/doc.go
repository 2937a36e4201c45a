// Package view holds the arithmetic of views: quorums of voters, the length of the chain, proposal numbers, and the choice
// of the next view. It keeps no state.
//
// A view (protocol.View) is a configuration of the replicated control plane: the voters, those before a change that may
// still count, and the chain of members that keep every write, from the head to the tail. Its epoch is the proposal number
// under which the voters agreed on it. The state machine in internal/control/replica agrees on views with these functions;
// clients (internal/chainclient) and operators' tools only read them.
//
// # Invariants
//
//   - Every two quorums of a view have a voter in common, and while the voters change, a quorum needs majorities of both
//     sets, as in joint consensus (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014,
//     section 6).
//   - Every majority of the voters contains a member of any chain that ChainLength allows. A member with promises of a
//     majority therefore learns of everything that an earlier chain has committed (van Renesse and Schneider, "Chain Replication for
//     Supporting High Throughput and Availability", 2004, leave this to an external configuration master).
//   - The head of the next view has installed the newest epoch among a quorum of voters, so that nothing committed is lost.
//   - Two members never propose under the same number: a proposal number contains the proposer's number, which is never
//     assigned twice.
//
// The functions are safe for concurrent use as long as nobody modifies the views and members passed to them. They accept a
// nil view, which has neither voters nor a chain.
package view
