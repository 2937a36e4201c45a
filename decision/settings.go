package decision

import "time"

// Constants of the decisions, the same in every deployment. docs/design.md gives the reason for each.
const (
	defaultTokens          = MaxSlots         // tokens of a worker of mean weight
	maxTokens              = 64               // of one worker, whatever its weight
	restBase               = time.Second      // first rest of a failed worker, doubled per further failure
	maxRest                = 16 * time.Second // longest rest
	retryCreditPerRequest  = 0.2              // attempts after a failure earned by each new request
	maxRetryCredit         = 10               // maximum number of such attempts saved up
	startToleranceDivisor  = 10               // a start is overdue after 2*usual + Objective/this
	crossZoneCost          = 1.3              // cost factor of a worker in another zone
	paceMemory             = 20 * time.Second // how long a worker's pace is remembered after its last run
	maxPace                = 4.0              // upper bound of a worker's pace (slowest)
	crossZonePenaltyFactor = 3                // factor of Config.CrossZonePenalty in forecast costs
	usableCapacity         = 1.0              // capacity times OverloadMultiple, in full workers, to be used
	unbudgetedCapacity     = 2.0              // the same, to be used without a warm-up budget
	minRunsBeforeStop      = 1.5              // mean run times that must be left before the process stops
	meanGain               = 1.0 / 16         // weight of a new sample in a mean
	rejectRetryAfter       = 200 * time.Millisecond
)
