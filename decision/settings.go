package decision

import (
	"time"
)

// The settings of the module.

// Settings of the module, not of a deployment. docs/design.md says what each
// rests on.
const (
	defaultTokens = MostSlots        // tokens of a worker of mean weight
	maxTokens     = 64               // bound on the tokens of one worker, whatever its weight
	restBase      = time.Second      // rest of a worker after a failure, doubled for each in a row
	restMost      = 16 * time.Second // up to this
	retryCredit   = 0.2              // attempts after a failure, per request taken
	creditMost    = 10               // credit for them that is kept
	startShare    = 10               // a start may take 1/startShare of the objective past the usual
	farCost       = 1.3              // a worker of another zone counts as that much slower
	paceFor       = 20 * time.Second // a worker's pace is forgotten this long after its last job
	paceMost      = 4.0              // slowest that a worker is taken for
	farPrices     = 3                // a forecast in another zone is dearer by that many times its price
	coldFit       = 1.0              // full workers that FallMultiple times a cold one covers when it is used
	coldFree      = 2.0              // and when it is used without a ration
	hopeShare     = 1.5              // mean run times that must be left before the process ends
	meanGain      = 1.0 / 16         // weight of a new sample in a mean
	refusalWait   = 200 * time.Millisecond
)
