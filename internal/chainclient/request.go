package chainclient

import (
	"time"

	"frosttide/internal/protocol"
)

// Destination selects the end of the chain that a request is sent to.
type Destination int

// The two ends of the chain.
const (
	ToHead Destination = iota // executes writes, and answers reads of the placement role's state
	ToTail                    // answers reads of replicated items
)

// request is a request that has no outcome yet.
type request struct {
	message         *protocol.ClientRequest
	destination     Destination
	startedAt       time.Duration
	deadline        time.Duration // ends the request in any case
	unsentDeadline  time.Duration // ends the request if it has not been sent
	resendAt        time.Duration
	attempts        uint32          // number of times it has been sent
	refusedAttempts map[uint32]bool // attempts that were certainly not executed
}

// nextAttempt returns the message of a further attempt. Each attempt has a message of its own,
// because a message that has been sent belongs to the transport.
func (r *request) nextAttempt() *protocol.ClientRequest {
	r.attempts++
	return &protocol.ClientRequest{
		Id:          r.message.GetId(),
		Incarnation: r.message.GetIncarnation(),
		Op:          r.message.GetOp(),
		Attempt:     r.attempts,
	}
}

// expired reports whether the request must end without a reply.
func (r *request) expired(now time.Duration) bool {
	return now >= r.deadline || r.attempts == 0 && now >= r.unsentDeadline
}

// recordRefusal records that an attempt was certainly not executed. Refusals of attempts that were
// not made are ignored.
func (r *request) recordRefusal(attempt uint32) {
	if attempt == 0 || attempt > r.attempts {
		return
	}
	if r.refusedAttempts == nil {
		r.refusedAttempts = make(map[uint32]bool)
	}
	r.refusedAttempts[attempt] = true
}

// mayHaveExecuted reports whether at least one attempt was not refused.
func (r *request) mayHaveExecuted() bool { return len(r.refusedAttempts) < int(r.attempts) }
