package chainclient

import (
	"time"

	"frosttide/internal/protocol"
)

// Destination names the member of the chain that a request is sent to.
type Destination int

// The ends of the chain.
const (
	ToHead Destination = iota // evaluates writes, and answers questions about the placement role
	ToTail                    // answers reads of replicated items
)

// request is a request without an outcome.
type request struct {
	message         *protocol.ClientRequest
	destination     Destination
	startedAt       time.Duration
	deadline        time.Duration // ends the request in any case
	unsentDeadline  time.Duration // ends the request where it has not been sent
	resendAt        time.Duration
	attempts        uint32          // number of times it has been sent
	refusedAttempts map[uint32]bool // attempts that were surely not executed
}

// nextAttempt returns the message of another attempt. Each has its own message, as sent ones belong to the transport.
func (r *request) nextAttempt() *protocol.ClientRequest {
	r.attempts++
	return &protocol.ClientRequest{
		Id:          r.message.GetId(),
		Incarnation: r.message.GetIncarnation(),
		Op:          r.message.GetOp(),
		Attempt:     r.attempts,
	}
}

// expired reports whether the request ends without a reply.
func (r *request) expired(now time.Duration) bool {
	return now >= r.deadline || r.attempts == 0 && now >= r.unsentDeadline
}

// recordRefusal records that an attempt was surely not executed. Refusals of unknown attempts are ignored.
func (r *request) recordRefusal(attempt uint32) {
	if attempt == 0 || attempt > r.attempts {
		return
	}
	if r.refusedAttempts == nil {
		r.refusedAttempts = make(map[uint32]bool)
	}
	r.refusedAttempts[attempt] = true
}

// mayHaveExecuted reports whether any attempt was not refused.
func (r *request) mayHaveExecuted() bool { return len(r.refusedAttempts) < int(r.attempts) }
