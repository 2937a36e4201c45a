// Package jobs is the account of jobs, their times, steps and tasks. Every change of a task's phase or a
// job's state goes through one function and is written to the replicated store as items; the same
// items make the account again at the next head. It knows nothing of runners but their ids.
package jobs

import (
	"fmt"
	"strconv"
	"strings"

	"frosttide/internal/protocol"
)

// State is a job's state as clients see it.
type State uint32

// The states of a job. Completed, Failed and Canceled are final.
const (
	Pending State = iota + 1
	Running
	Completed
	Failed
	Canceled
)

// String returns the state as clients read it.
func (s State) String() string {
	switch s {
	case Pending:
		return "pending"
	case Running:
		return "running"
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case Canceled:
		return "canceled"
	default:
		return fmt.Sprintf("state %d", uint32(s))
	}
}

// Final tells whether a job in the state starts nothing more.
func (s State) Final() bool { return s >= Completed }

// Phase is where a task stands.
type Phase uint32

// The phases of a task.
const (
	Waiting  Phase = iota // it has no run under way
	Live                  // a run of it may be under way
	Done                  // it has ended well
	DoneLive              // another member of its gang has ended well; its own run is not known to have ended
)

// EndReason is how a run ended.
type EndReason string

// The ends that runners list, and Lost, which stands for a run whose runner surely runs nothing any more.
const (
	EndDone    EndReason = "done"
	EndFailed  EndReason = "failed"
	EndStopped EndReason = "stopped"
	EndLapsed  EndReason = "lapsed"
	EndBroken  EndReason = "broken"
	EndAlone   EndReason = "alone"
	EndRefused EndReason = "refused"
	EndLost    EndReason = "lost"
)

// Job is a job that has been accepted.
type Job struct {
	ID              string
	Queue           string
	Service         string
	Spec            string
	Stages          []*protocol.Stage
	OccurrenceCount int // how many times its steps run
	StartAtMs       int64
	IntervalMs      int64
	Sequence        uint64 // order of acceptance
	AcceptedMs      int64  // time of day
	State           State
	EndedMs         int64
	ContentDigest   []byte // digest of what its client sent

	occurrences         []*Occurrence // those that have fallen due, by number
	finishedOccurrences int           // times that are done
	liveRuns            int           // runs that may be under way
}

// String tells where a job and its tasks stand, for the log.
func (j *Job) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "job %s of %s: %s, %d of %d times due, %d finished, %d runs may be under way", j.ID, j.Queue, j.State, len(j.occurrences), j.OccurrenceCount, j.finishedOccurrences, j.liveRuns)
	for _, o := range j.occurrences {
		for _, s := range o.Steps {
			fmt.Fprintf(&b, "; %d.%d: %d waiting, %d done of %d", o.Number, s.Number, s.Waiting, s.doneTasks, len(s.Tasks))
		}
	}
	return b.String()
}

// LiveRuns returns how many of the job's runs may be under way.
func (j *Job) LiveRuns() int { return j.liveRuns }

// LongRunning tells whether the job runs until it is canceled.
func (j *Job) LongRunning() bool {
	for _, s := range j.Stages {
		if s.GetLongRunning() {
			return true
		}
	}
	return false
}

// ScheduledMs returns when a time falls due, as a time of day in ms.
func (j *Job) ScheduledMs(number int) int64 {
	if j.StartAtMs == 0 && j.IntervalMs == 0 {
		return 0
	}
	return j.StartAtMs + int64(number)*j.IntervalMs
}

// Occurrence is one of the times that a job's steps run.
type Occurrence struct {
	Job       *Job
	Number    int
	Steps     []*Step
	doneSteps int
}

// Step is one step of one time of a job.
type Step struct {
	Job           *Job
	Occurrence    *Occurrence
	Number        int
	Stage         *protocol.Stage
	Tasks         []Task
	Waiting       int // tasks in phase Waiting
	doneTasks     int
	gangFailures  int    // of a gang: runs that had a failed member
	maxRun        uint32 // of a gang: highest run number
	lastFailedRun uint32 // of a gang: newest run that had a failed member
}

// Task is a task of a step.
type Task struct {
	Phase      Phase
	Run        uint32 // number of its newest run
	Runner     string // of that run
	Failures   int
	Checkpoint string
	LastFailed string // runner of its newest failure
}

// Ready tells whether the step's tasks may be started: all steps that it depends on are done.
func (s *Step) Ready() bool {
	if s.Job.State.Final() {
		return false
	}
	for _, d := range s.Stage.GetDependsOn() {
		if dependency := s.Occurrence.Steps[d]; dependency.doneTasks < len(dependency.Tasks) {
			return false
		}
	}
	return true
}

// TaskID returns the name of a task.
func (s *Step) TaskID(index int) string {
	return s.Job.ID + "." + strconv.Itoa(s.Occurrence.Number) + "." + strconv.Itoa(s.Number) + "." + strconv.Itoa(index)
}

// TaskName is a task's name in its parts.
type TaskName struct {
	Job                     string
	Occurrence, Step, Index int
}

// ParseTask reads a task's name; it returns false where it is none.
func ParseTask(name string) (TaskName, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskName{}, false
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskName{}, false
		}
		numbers[i] = n
	}
	return TaskName{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, true
}

// EachStep calls f with the steps of the times that have fallen due.
func (j *Job) EachStep(visit func(*Step)) {
	for _, o := range j.occurrences {
		for _, s := range o.Steps {
			visit(s)
		}
	}
}
