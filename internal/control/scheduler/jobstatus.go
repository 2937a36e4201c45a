package scheduler

import (
	"cmp"
	"slices"

	"frosttide/internal/control/jobs"
)

// JobStatus is a job as an operator sees it. Times are times of day in ms since 1970.
type JobStatus struct {
	ID              string       `json:"id"`
	Queue           string       `json:"queue"`
	State           string       `json:"state"`
	AcceptedMs      int64        `json:"accepted_ms,omitempty"`
	EndedMs         int64        `json:"ended_ms,omitempty"`
	OccurrenceCount int          `json:"times,omitempty"`
	Steps           []StepStatus `json:"steps,omitempty"` // of the occurrences that have been released
	Waiting         []WaitStatus `json:"waiting,omitempty"`
}

// StepStatus is a step of one occurrence of a job.
type StepStatus struct {
	Occurrence int          `json:"time"`
	Step       int          `json:"step"`
	Ready      bool         `json:"ready"`
	Waiting    int          `json:"waiting"` // tasks
	Tasks      []TaskStatus `json:"tasks,omitempty"`
}

// TaskStatus is a task that has been started.
type TaskStatus struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Runner   string `json:"runner"`
	Phase    string `json:"phase"`
	Failures int    `json:"failures,omitempty"`
}

// phases names the phases of tasks for operators.
var phases = map[jobs.Phase]string{jobs.Waiting: "waiting", jobs.Live: "running", jobs.Done: "done", jobs.DoneLive: "done, its own end is not known"}

// maxListedJobs bounds the jobs that JobStatuses returns.
const maxListedJobs = 2000

// JobStatuses returns the jobs without their steps, at most maxListedJobs: those that have not ended first, each group
// in the order of acceptance.
func (s *Scheduler) JobStatuses() []JobStatus {
	var all []*jobs.Job
	s.jobs.Each(func(j *jobs.Job) { all = append(all, j) })
	slices.SortFunc(all, compareForOperators)
	listed := all[:min(len(all), maxListedJobs)]
	out := make([]JobStatus, 0, len(listed))
	for _, j := range listed {
		out = append(out, jobStatus(j))
	}
	return out
}

// compareForOperators orders jobs that have ended after all others.
func compareForOperators(a, b *jobs.Job) int {
	if a.State.Final() != b.State.Final() {
		if a.State.Final() {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.ID, b.ID))
}

// jobStatus returns the state of a job without its steps.
func jobStatus(j *jobs.Job) JobStatus {
	return JobStatus{
		ID: j.ID, Queue: j.Queue, State: j.State.String(),
		AcceptedMs: j.AcceptedMs, EndedMs: j.EndedMs, OccurrenceCount: j.OccurrenceCount,
	}
}

// JobDetails returns a job with its steps and why they wait, and false where the ID is not known.
func (s *Scheduler) JobDetails(id string) (JobStatus, bool) {
	j := s.jobs.Get(id)
	if j == nil {
		return JobStatus{}, false
	}
	out := jobStatus(j)
	j.EachStep(func(step *jobs.Step) { out.Steps = append(out.Steps, stepStatus(step)) })
	out.Waiting = s.waitingSteps(func(step *jobs.Step) bool { return step.Job == j })
	return out, true
}

// stepStatus returns the state of a step, with the tasks that have been started.
func stepStatus(step *jobs.Step) StepStatus {
	status := StepStatus{Occurrence: step.Occurrence.Number, Step: step.Number, Ready: step.Ready(), Waiting: step.Waiting}
	for i := range step.Tasks {
		if t := &step.Tasks[i]; t.Run > 0 {
			status.Tasks = append(status.Tasks, TaskStatus{Task: step.TaskID(i), Run: t.Run, Runner: t.Runner, Phase: phases[t.Phase], Failures: t.Failures})
		}
	}
	return status
}
