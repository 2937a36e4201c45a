// Package chainclient sends requests to the control plane and matches the replies, as a pure state
// machine.
//
// Each process that needs the control plane owns one Client: the gateways for the jobs of their
// clients, and the control members for the operators' API. A write goes to the head of the chain
// and a read to its tail; replies come from the tail once everything they depend on is committed
// (van Renesse and Schneider, "Chain Replication for Supporting High Throughput and Availability",
// 2004, section 3). The Client follows changes of the view, resends a request that gets no reply,
// and reports for a request that ends without a reply whether it may have been executed.
//
// The owner passes in the time of a monotonic clock, views and replies, calls Tick regularly, and
// after each call sends the messages of TakeSends and processes the outcomes of TakeOutcomes. A
// Client has no socket, clock or goroutine and is not safe for concurrent use.
//
// # Invariants
//
//   - Each request has exactly one outcome, unless it is canceled.
//   - A request may be sent several times. All attempts carry the same ID, by which the control
//     plane executes the request at most once, and each has its own attempt number. A refusal names
//     the attempt: a request is reported as not executed only if every attempt was refused, because
//     a lost reply cannot be told from a lost refusal.
//   - The high bits of an ID are the incarnation of the process, so that replies to an earlier
//     process at the same address match no request.
package chainclient
