package decision

import "time"

// ActionType is the operation that an Action asks the host to perform.
type ActionType uint8

// The types of actions, each with the fields of Action that it sets in addition to Type.
const (
	Send      ActionType = iota + 1 // start an attempt: Request, Worker, Attempt, After, LatestStart
	Cancel                          // stop waiting for an attempt: Request, Attempt
	Reject                          // final answer, safe for the client to retry: Request, Reason, After
	Fail                            // final answer, the request may have taken effect: Request, Reason
	SetTimer                        // deliver TimerFired with Token at the time At
	Probe                           // ask Worker for a load report
	Subscribe                       // ask for all further changes of the list of workers
	Fetch                           // ask for the complete list of workers once
)

// Action is one operation that the host performs. Actions are performed in the order in which Step returns
// them.
type Action struct {
	Type    ActionType
	Attempt int // the attempt's number within its request, from 0
	Request RequestID
	Worker  WorkerID
	Token   uint32
	// After is the timeout of a Send (0: the request's deadline) or the retry-after of a Reject (0: none).
	After time.Duration
	// LatestStart is the latest time at which the attempt of a Send may begin; 0 for the request's deadline.
	LatestStart time.Duration
	At          time.Duration // the time of a SetTimer
	Reason      Reason        // of a Reject or Fail, for traces and metrics
}

// Reason says why a request was rejected or failed.
type Reason uint8

// The reasons. Their names in traces and metrics are those that Reason.String returns.
const (
	NoReason             Reason = iota // the request was neither rejected nor failed
	NoFreeToken                        // no eligible worker has tokens free
	Overload                           // requests start too late, so some are rejected
	ProcessStopping                    // the process stops before most requests of the class would finish
	RetryBudgetExhausted               // the budget for attempts after a failure is used up
	AttemptsExhausted                  // the request has reached Limits.MaxAttempts
	MayHaveRun                         // the request must not run twice and may have run
	DeadlineExceeded                   // the request's deadline has passed
	NoCapableWorker                    // no worker can run the request
	UnknownClass                       // the request's class is not configured
)

var reasonNames = [...]string{"", "no_token", "overload", "ending", "retry_budget", "attempts",
	"may_have_run", "deadline", "unusable", "unknown_class"}

// String returns the reason's name in traces and metrics; empty for NoReason and for unknown values.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return ""
}
