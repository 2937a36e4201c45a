package scheduler

import (
	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
)

// objective is by when one occurrence of a job should be done, from the estimates that came with the job and the
// latency target of its queue. Times are times of day in ms since 1970.
type objective struct {
	softDeadlineMs int64 // done by then it meets its target
	hardDeadlineMs int64 // done by then it is late, but of use
	remainingMs    int64 // estimated work from the step on, along the critical path
	unbounded      bool  // long-running work has no end that could meet a deadline
}

// deadlineClass is how a step stands to its objective; lower classes are served first.
type deadlineClass int

// The deadline classes. A step that can still be of use goes ahead of one that can't.
const (
	onTime deadlineClass = iota
	pastSoftDeadline
	pastHardDeadline
)

// hardDeadlineFactor is how many times the allowed latency a job may take and still be of use, by the operators' rules.
const hardDeadlineFactor = 3

// class returns how a step stands if it were started now.
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

// objectiveFor returns the objective of a step: the latency that its queue allows, counted from the acceptance of the
// job or from the scheduled time of the occurrence, whichever is later.
func (s *Scheduler) objectiveFor(step *jobs.Step) objective {
	start := max(step.Job.AcceptedMs, step.Job.ScheduledMs(step.Occurrence.Number))
	route := s.config.Route(step.Job.Queue)
	if route == nil {
		return objective{softDeadlineMs: start, hardDeadlineMs: start}
	}
	if step.Stage.GetLongRunning() {
		return objective{softDeadlineMs: s.wallMs + route.TargetLatencyMs, unbounded: true}
	}
	allowedMs := int64(route.Stretch*float64(criticalPathMs(step.Job.Stages, 0))) + route.TargetLatencyMs
	return objective{
		softDeadlineMs: start + allowedMs,
		hardDeadlineMs: start + hardDeadlineFactor*allowedMs,
		remainingMs:    criticalPathMs(step.Job.Stages, step.Number),
	}
}

// criticalPathMs returns the estimated time, in ms, of the longest chain of dependent stages from a stage on; from
// stage 0 that is the critical path of the job.
func criticalPathMs(stages []*protocol.Stage, from int) (longest int64) {
	finish := make([]int64, len(stages)) // of the longest chain that ends with each stage
	for i, stage := range stages {
		if i < from {
			continue
		}
		for _, dependency := range stage.GetDependsOn() {
			finish[i] = max(finish[i], finish[dependency])
		}
		finish[i] += stage.GetEstimateMs()
		longest = max(longest, finish[i])
	}
	return longest
}

// lastPriority is that of jobs whose queue is no longer configured.
const lastPriority = 1 << 20

// priority returns the priority of a job by its queue; lower ones are served first.
func (s *Scheduler) priority(j *jobs.Job) int {
	if r := s.config.Route(j.Queue); r != nil {
		return r.Priority
	}
	return lastPriority
}
