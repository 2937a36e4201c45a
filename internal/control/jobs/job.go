package jobs

import (
	"fmt"
	"strings"

	"frosttide/internal/protocol"
)

// State is a job's state as clients see it. Its values are stored.
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

// Final reports whether a job in the state starts nothing more.
func (s State) Final() bool { return s >= Completed }

// Phase is how far a task has got. Its values are stored.
type Phase uint32

// The phases of a task.
const (
	Waiting  Phase = iota // no run of it is under way
	Live                  // a run of it may be under way
	Done                  // it is done
	DoneLive              // it is done by another member of its gang; its own run is not known to have ended
)

// EndReason is why a run ended, in the words of the runners' protocol.
type EndReason string

// The reasons that runners report, and EndLost, which the head records for a run whose runner surely runs nothing any
// more.
const (
	EndDone    EndReason = "done"
	EndFailed  EndReason = "failed"
	EndStopped EndReason = "stopped"
	EndLapsed  EndReason = "lapsed"  // the runner's lease expired
	EndBroken  EndReason = "broken"  // the runner stopped it as its gang had lost a member
	EndAlone   EndReason = "alone"   // the runner stopped it as it did not meet its gang
	EndRefused EndReason = "refused" // the runner never started it
	EndLost    EndReason = "lost"
)

// Job is a job that has been accepted.
type Job struct {
	// What its client submitted. Stages and Spec are forgotten once the job and all of its runs have ended.
	ID              string
	Queue           string
	Spec            string
	Stages          []*protocol.Stage
	OccurrenceCount int // how many times its stages run
	StartAtMs       int64
	IntervalMs      int64
	ContentDigest   []byte // of all that the client sent

	// Its acceptance.
	Service    string
	Sequence   uint64 // order of acceptance
	AcceptedMs int64

	State   State
	EndedMs int64

	occurrences         []*Occurrence // that have been released, by number
	finishedOccurrences int           // of which all steps are done
	liveRuns            int           // that may be under way
}

// String returns the state of the job and its steps, for traces of simulations.
func (j *Job) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "job %s of %s: %s, %d of %d times due, %d finished, %d runs may be under way",
		j.ID, j.Queue, j.State, len(j.occurrences), j.OccurrenceCount, j.finishedOccurrences, j.liveRuns)
	j.EachStep(func(s *Step) {
		fmt.Fprintf(&b, "; %d.%d: %d waiting, %d done of %d", s.Occurrence.Number, s.Number, s.Waiting, s.doneTasks, len(s.Tasks))
	})
	return b.String()
}

// LiveRuns returns how many of the job's runs may be under way.
func (j *Job) LiveRuns() int { return j.liveRuns }

// LongRunning reports whether the job runs until it is canceled.
func (j *Job) LongRunning() bool {
	for _, s := range j.Stages {
		if s.GetLongRunning() {
			return true
		}
	}
	return false
}

// ScheduledMs returns the scheduled time of an occurrence by its number, as a time of day in ms; 0 is at once.
func (j *Job) ScheduledMs(number int) int64 {
	if j.StartAtMs == 0 && j.IntervalMs == 0 {
		return 0
	}
	return j.StartAtMs + int64(number)*j.IntervalMs
}

// EachStep calls visit with the steps of the occurrences that have been released.
func (j *Job) EachStep(visit func(*Step)) {
	for _, o := range j.occurrences {
		for _, s := range o.Steps {
			visit(s)
		}
	}
}

// Occurrence is one of the times that a job's stages run.
type Occurrence struct {
	Job       *Job
	Number    int // from 0
	Steps     []*Step
	doneSteps int
}

// Step is a stage of one occurrence of a job.
type Step struct {
	Job        *Job
	Occurrence *Occurrence
	Number     int // of its stage, from 0
	Stage      *protocol.Stage
	Tasks      []Task

	// Counts of its tasks by phase, kept by setPhase.
	Waiting   int // in phase Waiting
	doneTasks int // in phase Done or DoneLive

	// Of a gang, whose members share the numbers of their runs.
	maxRun        uint32 // highest run
	gangFailures  int    // runs that had a failed member
	lastFailedRun uint32 // the newest of these
}

// Task is a task of a step.
type Task struct {
	Phase      Phase
	Run        uint32 // number of its newest run, 0 where it has not been started
	Runner     string // of that run
	Failures   int
	Checkpoint string // the newest that a run has saved
	LastFailed string // runner of its newest failure
}

// Ready reports whether the step's tasks may be started: all steps that it depends on are done.
func (s *Step) Ready() bool {
	if s.Job.State.Final() {
		return false
	}
	for _, d := range s.Stage.GetDependsOn() {
		if dependency := s.Occurrence.Steps[d]; !dependency.done() {
			return false
		}
	}
	return true
}

// done reports whether all tasks of the step are done.
func (s *Step) done() bool { return s.doneTasks == len(s.Tasks) }

// NextRun returns the number of a task's next run; the members of a gang share it.
func (s *Step) NextRun(index int) uint32 {
	if s.Stage.GetGang() {
		return s.maxRun + 1
	}
	return s.Tasks[index].Run + 1
}

// Failures returns how many runs of a task have failed; of a member of a gang, how many of the gang.
func (s *Step) Failures(index int) int {
	if s.Stage.GetGang() {
		return max(s.gangFailures, s.Tasks[index].Failures)
	}
	return s.Tasks[index].Failures
}

// GangIdle reports whether a gang may be started: no run of a member may be under way.
func (s *Step) GangIdle() bool { return s.Waiting == len(s.Tasks) }

// GangCheckpoint returns the newest checkpoint of a gang's members, which every member may start from.
func (s *Step) GangCheckpoint() string {
	checkpoint, run := "", uint32(0)
	for i := range s.Tasks {
		if task := &s.Tasks[i]; task.Checkpoint != "" && task.Run >= run {
			checkpoint, run = task.Checkpoint, task.Run
		}
	}
	return checkpoint
}
