package scheduler

import (
	"cmp"
	"slices"

	"frosttide/internal/control/jobs"
)

// JobStatus is the state of a job as shown to operators. Times are times of day in ms since 1970.
type JobStatus struct {
	ID              string       `json:"id"`
	Queue           string       `json:"queue"`
	State           string       `json:"state"`
	AcceptedMs      int64        `json:"accepted_ms,omitempty"`
	EndedMs         int64        `json:"ended_ms,omitempty"`
	OccurrenceCount int          `json:"times,omitempty"`
	Steps           []StepStatus `json:"steps,omitempty"` // steps of the occurrences that have been released
	Waiting         []WaitStatus `json:"waiting,omitempty"`
}

// StepStatus is the state of a step of one occurrence of a job.
type StepStatus struct {
	Occurrence int          `json:"time"`
	Step       int          `json:"step"`
	Ready      bool         `json:"ready"`
	Waiting    int          `json:"waiting"` // number of waiting tasks
	Tasks      []TaskStatus `json:"tasks,omitempty"`
}

// TaskStatus is the state of a task that has been started at least once.
type TaskStatus struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Runner   string `json:"runner"`
	Phase    string `json:"phase"`
	Failures int    `json:"failures,omitempty"`
}

// phaseNames holds the names of task phases as shown to operators.
var phaseNames = map[jobs.Phase]string{jobs.Waiting: "waiting", jobs.Live: "running", jobs.Done: "done", jobs.DoneLive: "done, its own end is not known"}

const (
	// maxListedJobs bounds the number of jobs that JobStatuses returns.
	maxListedJobs = 2000
	// maxListedSteps bounds the number of steps that JobDetails returns, and maxListedTasks that of their tasks.
	maxListedSteps = 2000
	maxListedTasks = 10_000
)

// JobStatuses returns at most maxListedJobs jobs, without their steps. Jobs that have not ended come first; within each
// group jobs are in the order of acceptance.
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

// compareForOperators orders jobs that have not ended before those that have, and then by acceptance.
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

// JobDetails returns the state of a job with its newest steps and the reasons why they wait. It returns false if the ID is
// not known.
func (s *Scheduler) JobDetails(id string) (JobStatus, bool) {
	j := s.jobs.Get(id)
	if j == nil {
		return JobStatus{}, false
	}
	out := jobStatus(j)
	var steps []*jobs.Step
	j.EachStep(func(step *jobs.Step) { steps = append(steps, step) })
	tasks := 0
	for _, step := range steps[max(0, len(steps)-maxListedSteps):] {
		status := stepStatus(step, maxListedTasks-tasks)
		tasks += len(status.Tasks)
		out.Steps = append(out.Steps, status)
	}
	out.Waiting = s.waitingSteps(func(step *jobs.Step) bool { return step.Job == j })
	return out, true
}

// stepStatus returns the state of a step and of at most maxTasks of its tasks that have been started at least once.
func stepStatus(step *jobs.Step, maxTasks int) StepStatus {
	status := StepStatus{Occurrence: step.Occurrence.Number, Step: step.Number, Ready: step.Ready(), Waiting: step.Waiting}
	for i := range step.Tasks {
		if t := &step.Tasks[i]; t.Run > 0 && len(status.Tasks) < maxTasks {
			status.Tasks = append(status.Tasks, TaskStatus{Task: step.TaskID(i), Run: t.Run, Runner: t.Runner, Phase: phaseNames[t.Phase], Failures: t.Failures})
		}
	}
	return status
}
