// Package decision decides, for a dispatcher that pushes requests to workers, which worker gets which request
// and when to try again, wait, reject or fail.
//
// A host (internal/dispatcher/core on sockets, cmd/adapter on the bench) feeds a Dispatcher with events
// through Step and carries out the actions that Step returns. The Dispatcher is a pure state machine: it
// reads no clock, starts no goroutine, does no I/O and draws its random numbers from the seed it was made
// with, so equal events lead to equal actions. A Dispatcher is not safe for concurrent use; its host owns it.
//
// # Invariants
//
//   - A request gets at most one final answer, a Reject or a Fail, and no attempt after it.
//   - A request whose second execution would do harm is never sent to a worker that could run it twice:
//     Dispatcher.allowed is the rule, and every attempt passes Dispatcher.send.
//   - A worker that drains, has left or is excluded by its warm-up gets no attempt.
//   - Together, the dispatchers of a fleet send a warming worker no more than its warm-up budget
//     (package warmupbudget).
//   - A token is free, or held by one open attempt, or withdrawn.
//
// # Files
//
// config.go, event.go and action.go are the interface, machine.go holds the state and hands each event to the
// file that decides on it, and inspect.go answers questions about the state. The other files decide:
// lifecycle.go on a request from its arrival to its end, eligibility.go on what may be sent where,
// selection.go on the worker, bucket.go on tokens, warmup.go on workers that have started lately, health.go
// on workers that fail or are slow, overload.go on what is rejected so that the rest is in time, and
// membership.go on the workers' list. The deploy file names these under policy. settings.go holds the figures
// that they use.
package decision
