// Package gateway implements the HTTP gateway on edge machines, through which clients submit jobs.
// frosttide-data runs it as the role that is called carrier in its arguments, the settings and the
// deploy file.
//
// The gateway serves the queues of the newest configuration: POST submits a job, GET returns the
// state of a job or the number of pending jobs of a queue, and DELETE cancels a job. It parses each
// request, forwards it to the control plane (package chainclient) and returns the reply to the
// client. Validating a job beyond its JSON types is left to the control plane.
//
// # Responses without a reply of the control plane
//
// If no reply arrives in time, the status tells the client what the gateway knows. 503 with
// Retry-After means that the request was certainly not executed, or that it is read-only; 504 means
// that it may have been executed. A client may retry in both cases: the ID of a job makes its
// submission idempotent.
//
// # Concurrency
//
// Node is a deterministic state machine that performs no I/O, so that the simulated network in
// internal/testkit/simnet can run it as well. Only the event loop of the process (package process)
// uses it, on the goroutine that called Run. HTTP handlers post their requests to that loop and
// wait for the outcome or for the end of the request's context. The only state they share with it
// is the configuration, which the loop replaces atomically after each turn. When its context ends,
// Run waits up to GraceS for the open requests before it returns.
package gateway
