package scheduler

import (
	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
)

// objective is when a job, or one time of it, should be done, by the estimates that came with it.
type objective struct {
	startMs     int64 // time of day from which its latency counts
	byMs        int64 // time of day by which it is in time
	latestMs    int64 // time of day by which it is late but worth something
	remainingMs int64 // work from the step on, along the longest chain
	none        bool  // lasting work has no end to be in time for
}

// lateness is how a step stands to its objective.
type lateness int

// The classes of lateness, the most worthwhile first.
const (
	inTime lateness = iota
	late
	tooLate
)

// lateFactor is how many times the objective a job may take and still count as late; the rules say three.
const lateFactor = 3

// lateness tells how a step stands if it were started now.
func (o objective) lateness(wallMs int64) lateness {
	switch {
	case o.none || wallMs+o.remainingMs <= o.byMs:
		return inTime
	case wallMs+o.remainingMs <= o.latestMs:
		return late
	default:
		return tooLate
	}
}

// objective returns the objective of a step: the latency that its queue allows, counted from when the job was
// accepted or the time fell due.
func (d *Scheduler) objective(s *jobs.Step) objective {
	start := max(s.Job.AcceptedMs, s.Job.DueMs(s.Occasion.Number))
	route := d.config.Route(s.Job.Queue)
	if route == nil {
		return objective{startMs: start, byMs: start, latestMs: start}
	}
	if s.Stage.GetLongRunning() {
		return objective{startMs: d.wallMs, byMs: d.wallMs + route.TargetLatencyMs, none: true}
	}
	whole := int64(route.Stretch*float64(longestChain(s.Job.Stages, 0))) + route.TargetLatencyMs
	return objective{startMs: start, byMs: start + whole, latestMs: start + lateFactor*whole, remainingMs: longestChain(s.Job.Stages, s.Number)}
}

// longestChain returns the estimated time of the longest chain of steps that begins at or after a step, in ms;
// for step 0 that of the whole job.
func longestChain(stages []*protocol.Stage, from int) (longest int64) {
	chains := make([]int64, len(stages)) // that end with each step
	for i, stage := range stages {
		if i < from {
			continue
		}
		for _, before := range stage.GetDependsOn() {
			chains[i] = max(chains[i], chains[before])
		}
		chains[i] += stage.GetEstimateMs()
		longest = max(longest, chains[i])
	}
	return longest
}
