package scheduler

import (
	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
)

// objective is when a job, or one time of it, should be done, by the estimates that came with it.
type objective struct {
	startMs        int64 // time of day from which its latency counts
	softDeadlineMs int64 // time of day by which it is in time
	hardDeadlineMs int64 // time of day by which it is late but worth something
	remainingMs    int64 // work from the step on, along the longest chain
	unbounded      bool  // lasting work has no end to be in time for
}

// deadlineClass is how a step stands to its objective.
type deadlineClass int

// The classes of lateness, the most worthwhile first.
const (
	onTime deadlineClass = iota
	pastSoftDeadline
	pastHardDeadline
)

// hardDeadlineFactor is how many times the objective a job may take and still count as late; the rules say three.
const hardDeadlineFactor = 3

// class tells how a step stands if it were started now.
func (o objective) class(wallMs int64) deadlineClass {
	switch {
	case o.unbounded || wallMs+o.remainingMs <= o.softDeadlineMs:
		return onTime
	case wallMs+o.remainingMs <= o.hardDeadlineMs:
		return pastSoftDeadline
	default:
		return pastHardDeadline
	}
}

// objectiveFor returns the objective of a step: the latency that its queue allows, counted from when the job was
// accepted or the time fell due.
func (s *Scheduler) objectiveFor(step *jobs.Step) objective {
	start := max(step.Job.AcceptedMs, step.Job.ScheduledMs(step.Occurrence.Number))
	route := s.config.Route(step.Job.Queue)
	if route == nil {
		return objective{startMs: start, softDeadlineMs: start, hardDeadlineMs: start}
	}
	if step.Stage.GetLongRunning() {
		return objective{startMs: s.wallMs, softDeadlineMs: s.wallMs + route.TargetLatencyMs, unbounded: true}
	}
	allowedMs := int64(route.Stretch*float64(criticalPathMs(step.Job.Stages, 0))) + route.TargetLatencyMs
	return objective{startMs: start, softDeadlineMs: start + allowedMs, hardDeadlineMs: start + hardDeadlineFactor*allowedMs, remainingMs: criticalPathMs(step.Job.Stages, step.Number)}
}

// criticalPathMs returns the estimated time of the longest chain of steps that begins at or after a step, in ms;
// for step 0 that of the whole job.
func criticalPathMs(stages []*protocol.Stage, from int) (longest int64) {
	chains := make([]int64, len(stages)) // that end with each step
	for i, stage := range stages {
		if i < from {
			continue
		}
		for _, dependency := range stage.GetDependsOn() {
			chains[i] = max(chains[i], chains[dependency])
		}
		chains[i] += stage.GetEstimateMs()
		longest = max(longest, chains[i])
	}
	return longest
}
