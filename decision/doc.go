// Package decision decides, for a dispatcher that pushes requests to workers, which worker gets which request
// and when to retry, wait, reject or fail it.
//
// A host (internal/dispatcher/core on sockets, cmd/adapter on the bench) feeds a Dispatcher with events
// through Step and carries out the actions that Step returns. The Dispatcher is a deterministic state
// machine: it reads no clock, starts no goroutine, does no I/O and derives its random numbers from the seed
// passed to New, so equal events lead to equal actions. A Dispatcher is not safe for concurrent use; its
// host owns it.
//
// # Invariants
//
//   - A request gets at most one final answer, a Reject or a Fail, and no attempt after it.
//   - A request whose second execution would do harm is never sent to a worker that could run it twice:
//     Dispatcher.allowed implements the rule, and every attempt goes through Dispatcher.send.
//   - A worker that is draining, removed or excluded by its warm-up gets no attempts.
//   - Together, the dispatchers of a fleet send a warming worker no more than its warm-up budget
//     (package warmupbudget).
//   - A token is free, held by exactly one open attempt, or withdrawn.
//
// # Files
//
// config.go, event.go and action.go define the interface, machine.go holds the state and dispatches the
// events, and inspect.go returns parts of the state. The other files make the decisions: lifecycle.go
// follows a request from its arrival to its end, eligibility.go decides which request may be sent to which
// worker, selection.go chooses the worker, bucket.go manages the tokens, warmup.go restricts recently
// started workers, health.go tracks workers that fail or are slow, overload.go rejects some requests so
// that the others are on time, and membership.go maintains the list of workers. The deploy file lists these
// under policy. settings.go holds the constants that they use.
package decision
