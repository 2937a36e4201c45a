package decision

import (
	"time"
)

// The settings of the module.

// Settings of the module, not of a deployment. docs/design.md says what each
// rests on.
const (
	defaultTokens          = MaxSlots         // tokens of a worker of mean weight
	maxTokens              = 64               // bound on the tokens of one worker, whatever its weight
	restBase               = time.Second      // rest of a worker after a failure, doubled for each in a row
	maxRest                = 16 * time.Second // up to this
	retryCreditPerRequest  = 0.2              // attempts after a failure, per request taken
	maxRetryCredit         = 10               // credit for them that is kept
	startToleranceDivisor  = 10               // a start may take 1/startShare of the objective past the usual
	crossZoneCost          = 1.3              // a worker of another zone counts as that much slower
	paceMemory             = 20 * time.Second // a worker's pace is forgotten this long after its last job
	maxPace                = 4.0              // slowest that a worker is taken for
	crossZonePenaltyFactor = 3                // factor of the penalty for crossing zones in a forecast
	usableCapacity         = 1.0              // in full workers, at OverloadMultiple, from when it is used
	unbudgetedCapacity     = 2.0              // and when it is used without a ration
	minRunsBeforeStop      = 1.5              // mean run times that must be left before the process ends
	meanGain               = 1.0 / 16         // weight of a new sample in a mean
	rejectRetryAfter       = 200 * time.Millisecond
)
