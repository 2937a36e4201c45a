// Package chainclient sends requests to the control plane and matches the replies, as a pure state machine.
//
// The processes that need the control plane own one Client each: the gateways for their clients' jobs, and the control
// members for the operators' API. A write goes to the head of the chain and a read to its tail; replies come from the tail
// once everything they depend on is committed (van Renesse and Schneider, "Chain Replication for Supporting High Throughput
// and Availability", 2004, section 3). The Client follows the view, sends a request again where no reply comes, and reports
// at the end whether a request without a reply may have been executed.
//
// The owner passes in the time of a steady clock, views and replies, calls Tick regularly, and after each call carries out
// TakeSends and TakeOutcomes. A Client has no socket, clock or goroutine and is not safe for concurrent use.
//
// # Invariants
//
//   - Each request has one outcome, unless it is cancelled.
//   - A request may be sent several times. All attempts carry the same ID, by which the control plane executes it once, and
//     each its own number. A refusal names the attempt: a request is reported as not executed only if every attempt was
//     refused, as a lost reply and a lost refusal look the same.
//   - IDs start from the incarnation of the process, so that replies to an earlier process at the same address match no
//     request.
package chainclient
