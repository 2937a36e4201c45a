package jobs

import (
	"fmt"
	"strings"

	"frosttide/internal/protocol"
)

// State is the state of a job as reported to clients. Its numeric values are stored and must not
// change.
type State uint32

// The states of a job. Completed, Failed and Canceled are final.
const (
	Pending State = iota + 1
	Running
	Completed
	Failed
	Canceled
)

// String returns the name of the state in replies to clients.
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

// Final reports whether a job in this state has ended, so that no further run of it is started.
func (s State) Final() bool { return s >= Completed }

// Phase is the progress of a task. Its numeric values are stored and must not change.
type Phase uint32

// The phases of a task.
const (
	Waiting  Phase = iota // no run is in progress
	Live                  // a run may be in progress
	Done                  // done, and no run is in progress
	DoneLive              // done by another gang member; the end of its own run is not known yet
)

// EndReason is the reason why a run ended, as the protocol with the runners spells it.
type EndReason string

// The reasons that runners report. EndLost is the exception: the head records it once the runner
// can no longer be executing the run.
const (
	EndDone    EndReason = "done"
	EndFailed  EndReason = "failed"
	EndStopped EndReason = "stopped"
	EndLapsed  EndReason = "lapsed"  // the runner's lease expired
	EndBroken  EndReason = "broken"  // stopped by the runner because the gang lost a member
	EndAlone   EndReason = "alone"   // stopped by the runner because the gang did not assemble
	EndRefused EndReason = "refused" // rejected by the runner and never started
	EndLost    EndReason = "lost"
)

// Job is an accepted job with the progress of its occurrences.
type Job struct {
	// The client's submission. Stages and Spec are cleared once the job and all its runs have
	// ended.
	ID              string
	Queue           string
	Spec            string
	Stages          []*protocol.Stage
	OccurrenceCount int    // how many times the stages run
	StartAtMs       int64  // time of day of the first occurrence; 0 means at once
	IntervalMs      int64  // between consecutive occurrences
	ContentDigest   []byte // see contentDigest; empty if an earlier version accepted the job

	// Set on acceptance.
	Service    string
	Sequence   uint64 // position in the order of acceptance
	AcceptedMs int64  // time of day

	State   State
	EndedMs int64 // time of day; 0 while the job has not ended
	// CanceledMs is the time of day of the newest cancellation after the end; 0 if there is none.
	CanceledMs int64

	occurrences         []*Occurrence // released occurrences, indexed by number
	finishedOccurrences int           // occurrences with all steps done
	liveRuns            int           // tasks in phase Live or DoneLive
}

// String returns the state of the job and its steps on one line, for traces of simulations.
func (j *Job) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "job %s of %s: %s, %d of %d times due, %d finished, %d runs may be under way",
		j.ID, j.Queue, j.State, len(j.occurrences), j.OccurrenceCount, j.finishedOccurrences, j.liveRuns)
	j.EachStep(func(s *Step) {
		fmt.Fprintf(&b, "; %d.%d: %d waiting, %d done of %d", s.Occurrence.Number, s.Number, s.Waiting, s.doneTasks, len(s.Tasks))
	})
	return b.String()
}

// retainedFromMs returns the time of day from which the state of an ended job is retained.
func (j *Job) retainedFromMs() int64 { return max(j.EndedMs, j.CanceledMs) }

// LiveRuns returns the number of the job's runs that may be in progress.
func (j *Job) LiveRuns() int { return j.liveRuns }

// LongRunning reports whether the job has a long-running stage, whose tasks are restarted until the
// job is canceled.
func (j *Job) LongRunning() bool {
	for _, s := range j.Stages {
		if s.GetLongRunning() {
			return true
		}
	}
	return false
}

// ScheduledMs returns the scheduled time of the occurrence with the given number, as a time of day
// in ms. 0 means at once.
func (j *Job) ScheduledMs(number int) int64 {
	if j.StartAtMs == 0 && j.IntervalMs == 0 {
		return 0
	}
	return j.StartAtMs + int64(number)*j.IntervalMs
}

// EachStep calls visit for every step of the released occurrences, ordered by occurrence and stage.
func (j *Job) EachStep(visit func(*Step)) {
	for _, o := range j.occurrences {
		for _, s := range o.Steps {
			visit(s)
		}
	}
}

// Occurrence is one execution of all stages of a job.
type Occurrence struct {
	Job       *Job
	Number    int     // counted from 0
	Steps     []*Step // indexed by stage
	doneSteps int     // kept by countDone
}

// Step is the execution of one stage in one occurrence.
type Step struct {
	Job        *Job
	Occurrence *Occurrence
	Number     int // index of the stage
	Stage      *protocol.Stage
	Tasks      []Task

	// Numbers of tasks by phase, kept by setPhase.
	Waiting   int // in phase Waiting
	doneTasks int // in phase Done or DoneLive

	// Used for gangs, whose members share run numbers.
	maxRun        uint32 // highest run number of any task
	gangFailures  int    // number of gang runs in which a member failed
	lastFailedRun uint32 // number of the newest of these runs
}

// Task is one task of a step with the state of its newest run.
type Task struct {
	Phase      Phase
	Run        uint32 // number of the newest run; 0 if the task has never been started
	Runner     string // ID of the runner of that run
	Failures   int    // number of failed runs
	Checkpoint string // newest checkpoint that a run has saved; empty if none
	LastFailed string // ID of the runner of the newest failed run; empty if none
}

// Ready reports whether tasks of the step may be started: the job has not ended, and all steps that
// this one depends on are done.
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

// NextRun returns the number for the next run of the task with the given index. All members of a
// gang share the number.
func (s *Step) NextRun(index int) uint32 {
	if s.Stage.GetGang() {
		return s.maxRun + 1
	}
	return s.Tasks[index].Run + 1
}

// Failures returns the number of failed runs of the task with the given index. For a member of a
// gang it is at least the number of gang runs in which any member failed.
func (s *Step) Failures(index int) int {
	if s.Stage.GetGang() {
		return max(s.gangFailures, s.Tasks[index].Failures)
	}
	return s.Tasks[index].Failures
}

// GangIdle reports whether the gang can be started: all of its members wait, so none of their runs
// can be in progress.
func (s *Step) GangIdle() bool { return s.Waiting == len(s.Tasks) }

// GangCheckpoint returns the newest checkpoint that any member of the gang has saved, or "" if
// there is none. Every member can resume from it.
func (s *Step) GangCheckpoint() string {
	checkpoint, run := "", uint32(0)
	for i := range s.Tasks {
		if task := &s.Tasks[i]; task.Checkpoint != "" && task.Run >= run {
			checkpoint, run = task.Checkpoint, task.Run
		}
	}
	return checkpoint
}
