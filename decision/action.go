package decision

import "time"

// ActionType says what an Action asks for.
type ActionType uint8

// The types of actions, each with the fields of Action that it sets beside Type.
const (
	Send      ActionType = iota + 1 // start an attempt: Request, Worker, Attempt, After, LatestStart
	Cancel                          // stop waiting for an attempt: Request, Attempt
	Reject                          // final answer, trying again does no harm: Request, Reason, After
	Fail                            // final answer, it may have taken effect: Request, Reason
	SetTimer                        // bring TimerFired with Token at the time At
	Probe                           // ask Worker for a load report
	Subscribe                       // ask for changes of the list of workers from now on
	Fetch                           // ask once for the complete list of workers
)

// Action is one thing that the host has to do, in the order given.
type Action struct {
	Type    ActionType
	Attempt int // the attempt's number within its request, from 0
	Request RequestID
	Worker  WorkerID
	Token   uint32
	// After is the time-out of a Send, 0 for the request's deadline, and the retry-after of a Reject, 0 for
	// none.
	After time.Duration
	// LatestStart is the latest time at which a Send may begin; 0 for the request's deadline.
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
	Overload                           // requests start late, so some are rejected
	ProcessStopping                    // the process ends before most requests of the class would be done
	RetryBudgetExhausted               // attempts after a failure have used up their budget
	AttemptsExhausted                  // it has had all its attempts
	MayHaveRun                         // it must not run twice, and it may have run
	DeadlineExceeded                   // its deadline has come
	NoCapableWorker                    // no worker can use it
	UnknownClass                       // its class is not configured
)

var reasonNames = [...]string{"", "no_token", "overload", "ending", "retry_budget", "attempts",
	"may_have_run", "deadline", "unusable", "unknown_class"}

// String returns the reason as traces and metrics name it; empty for NoReason and for unknown values.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return ""
}
