// Package gateway takes clients' jobs on edge machines. frosttide-data runs it in the role that its arguments, the
// settings and the deploy file call carrier.
//
// It serves the queues of the newest configuration over HTTP: POST submits a job, GET returns its state or how many
// jobs of a queue are pending, DELETE cancels one. It parses what clients send, sends it to the control
// plane (package chainclient) and passes the reply on. Whether a job makes sense is checked by the control plane.
//
// # Answers without a reply
//
// If no reply arrives in time, the answer says what the gateway knows. 503 with Retry-After means that the request was
// certainly not executed, or that it changes nothing; 504 means that it may have been executed. A client may repeat
// either: the ID of a job makes its submission idempotent.
//
// # Goroutines
//
// Node is a pure state machine, which the simulated network of internal/testkit/simnet runs as well. It is used only on
// the goroutine of the process (package process), which Run is. Handlers of HTTP requests post their requests
// there and wait for the outcome or for the end of their own context. The one thing that they share is the
// configuration, which the process's goroutine replaces atomically after each turn. Run ends after the requests
// that were open when its context ended, within GraceS.
package gateway
