package scheduler

import (
	"cmp"
	"slices"

	"frosttide/internal/control/jobs"
)

// JobStatus is a job as an operator sees it.
type JobStatus struct {
	ID              string       `json:"id"`
	Queue           string       `json:"queue"`
	State           string       `json:"state"`
	AcceptedMs      int64        `json:"accepted_ms,omitempty"` // time of day
	EndedMs         int64        `json:"ended_ms,omitempty"`
	OccurrenceCount int          `json:"times,omitempty"`
	Steps           []StepStatus `json:"steps,omitempty"` // of the times that have fallen due
	Waiting         []WaitStatus `json:"waiting,omitempty"`
}

// StepStatus is a step of a job.
type StepStatus struct {
	Occurrence int          `json:"time"`
	Step       int          `json:"step"`
	Ready      bool         `json:"ready"`
	Waiting    int          `json:"waiting"`
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

// phases names the phases of tasks.
var phases = map[jobs.Phase]string{jobs.Waiting: "waiting", jobs.Live: "running", jobs.Done: "done", jobs.DoneLive: "done, its own end is not known"}

// maxListedJobs bounds a list of jobs.
const maxListedJobs = 2000

// JobStatuses returns the jobs that are known, those that have not ended first, each group by acceptance.
func (s *Scheduler) JobStatuses() []JobStatus {
	var all []*jobs.Job
	s.jobs.Each(func(j *jobs.Job) { all = append(all, j) })
	slices.SortFunc(all, func(a, b *jobs.Job) int {
		final := func(j *jobs.Job) int {
			if j.State.Final() {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(final(a), final(b)), cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.ID, b.ID))
	})
	out := make([]JobStatus, 0, min(len(all), maxListedJobs))
	for _, j := range all[:min(len(all), maxListedJobs)] {
		out = append(out, jobStatus(j))
	}
	return out
}

func jobStatus(j *jobs.Job) JobStatus {
	return JobStatus{ID: j.ID, Queue: j.Queue, State: j.State.String(), AcceptedMs: j.AcceptedMs, EndedMs: j.EndedMs, OccurrenceCount: j.OccurrenceCount}
}

// JobDetails returns a job with its steps and why they wait, and false where it is not known.
func (s *Scheduler) JobDetails(id string) (JobStatus, bool) {
	j := s.jobs.Get(id)
	if j == nil {
		return JobStatus{}, false
	}
	out := jobStatus(j)
	j.EachStep(func(step *jobs.Step) {
		stepStatus := StepStatus{Occurrence: step.Occurrence.Number, Step: step.Number, Ready: step.Ready(), Waiting: step.Waiting}
		for i := range step.Tasks {
			if t := &step.Tasks[i]; t.Run > 0 {
				stepStatus.Tasks = append(stepStatus.Tasks, TaskStatus{Task: step.TaskID(i), Run: t.Run, Runner: t.Runner, Phase: phases[t.Phase], Failures: t.Failures})
			}
		}
		out.Steps = append(out.Steps, stepStatus)
	})
	out.Waiting = s.waitingSteps(func(step *jobs.Step) bool { return step.Job == j })
	return out, true
}
