package decision

import "time"

// The figures that the decisions use. They hold for every deployment; docs/design.md says what each rests on.
const (
	defaultTokens          = MaxSlots         // tokens of a worker of mean weight
	maxTokens              = 64               // of one worker, whatever its weight
	restBase               = time.Second      // rest of a worker after a failure, doubled for each in a row
	maxRest                = 16 * time.Second // longest rest
	retryCreditPerRequest  = 0.2              // attempts after a failure that each new request allows
	maxRetryCredit         = 10               // such attempts that can be saved up
	startToleranceDivisor  = 10               // a start is overdue past the usual + Objective/this
	crossZoneCost          = 1.3              // cost factor of a worker in another zone
	paceMemory             = 20 * time.Second // a worker's pace is forgotten this long after its last run
	maxPace                = 4.0              // slowest that a worker is assumed to be
	crossZonePenaltyFactor = 3                // factor of Config.CrossZonePenalty in the cost by forecasts
	usableCapacity         = 1.0              // in full workers, at OverloadMultiple, from when it is used
	unbudgetedCapacity     = 2.0              // and from when it is used without a warm-up budget
	minRunsBeforeStop      = 1.5              // mean run times that must be left before the process ends
	meanGain               = 1.0 / 16         // weight of a new sample in a mean
	rejectRetryAfter       = 200 * time.Millisecond
)
