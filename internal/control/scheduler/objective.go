package scheduler

import (
	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
)

// objective holds the deadlines of one occurrence of a job, as derived from the estimates submitted with the job and the
// latency target of its queue. Times are times of day in ms since 1970.
type objective struct {
	softDeadlineMs int64 // completion by this time meets the latency target
	hardDeadlineMs int64 // completion by this time is late but still useful
	remainingMs    int64 // estimated time along the critical path, from the step to the end of the job
	unbounded      bool  // long-running work, which has no completion time to compare with a deadline
}

// deadlineClass tells which deadlines of its objective a step can still meet. Lower classes are served first.
type deadlineClass int

// The deadline classes. Steps whose result can still be useful precede steps whose result can't.
const (
	onTime deadlineClass = iota
	pastSoftDeadline
	pastHardDeadline
)

// hardDeadlineFactor is the multiple of the allowed latency within which a job is still useful by the operators' rules.
const hardDeadlineFactor = 3

// class returns the deadline class of a step that would be started at wallMs.
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

// criticalPathMs returns the estimated time, in ms, of the longest chain of dependent stages among the stages with an
// index of at least from. With from = 0 that is the critical path of the job.
func criticalPathMs(stages []*protocol.Stage, from int) (longest int64) {
	finish := make([]int64, len(stages)) // by stage: time of the longest chain that ends with it
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

// lowestPriority is the priority of jobs whose queue is no longer configured.
const lowestPriority = 1 << 20

// priority returns the priority of a job's queue. Lower numbers are served first.
func (s *Scheduler) priority(j *jobs.Job) int {
	if r := s.config.Route(j.Queue); r != nil {
		return r.Priority
	}
	return lowestPriority
}
