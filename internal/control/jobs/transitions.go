package jobs

import (
	"maps"
	"slices"
)

// EndResult is what an end meant for its task.
type EndResult struct {
	Step    *Step
	Index   int
	Applied bool // the end was that of the run that is in the account
}

// RecordStart notes a run of a task before it is sent anywhere. The task is waiting.
func (t *Table) RecordStart(s *Step, index int, run uint32, runner string, nowMs int64) {
	t.setPhase(s, index, Live)
	task := &s.Tasks[index]
	task.Run, task.Runner = run, runner
	s.maxRun = max(s.maxRun, run)
	t.Writes.putTask(s, index)
	if s.Job.State == Pending {
		t.setState(s.Job, Running, nowMs)
	}
}

// NextRun returns the number of a task's next run; the members of a gang share it.
func (s *Step) NextRun(index int) uint32 {
	if s.Stage.GetGang() {
		return s.maxRun + 1
	}
	return s.Tasks[index].Run + 1
}

// GangIdle tells whether a gang may be started: no run of a member may be under way.
func (s *Step) GangIdle() bool { return s.Waiting == len(s.Tasks) }

// GangCheckpoint returns the newest checkpoint of a gang's members; it is good for all.
func (s *Step) GangCheckpoint() string {
	checkpoint, run := "", uint32(0)
	for i := range s.Tasks {
		if task := &s.Tasks[i]; task.Checkpoint != "" && task.Run >= run {
			checkpoint, run = task.Checkpoint, task.Run
		}
	}
	return checkpoint
}

// setPhase is the one place where a task's phase changes.
func (t *Table) setPhase(s *Step, index int, to Phase) {
	task := &s.Tasks[index]
	from := task.Phase
	if from == to {
		return
	}
	count := func(p Phase, delta int) {
		switch p {
		case Waiting:
			s.Waiting += delta
		case Live:
			s.Job.liveRuns += delta
		case Done:
			s.doneTasks += delta
		case DoneLive:
			s.doneTasks += delta
			s.Job.liveRuns += delta
		}
	}
	count(from, -1)
	count(to, 1)
	task.Phase = to
}

// RecordEnd notes how a run ended. An end of a run that is not the task's newest, or whose end is known
// already, changes nothing. maxAttempts is how many failed runs a task may have.
func (t *Table) RecordEnd(name TaskName, run uint32, runner string, reason EndReason, checkpoint string, maxAttempts int, nowMs int64) EndResult {
	s := t.FindStep(name)
	if s == nil {
		return EndResult{}
	}
	task := &s.Tasks[name.Index]
	result := EndResult{Step: s, Index: name.Index}
	if task.Run != run || task.Runner != runner || task.Phase != Live && task.Phase != DoneLive {
		return result
	}
	result.Applied = true
	if checkpoint != "" {
		task.Checkpoint = checkpoint
	}
	switch {
	case task.Phase == DoneLive:
		t.setPhase(s, name.Index, Done)
	case reason == EndDone && !s.Stage.GetLongRunning():
		t.setPhase(s, name.Index, Done)
		t.completeGang(s, run)
	default:
		t.setPhase(s, name.Index, Waiting)
		if reason == EndFailed {
			t.countFailure(s, name.Index, run, runner)
		}
	}
	t.Writes.putTask(s, name.Index)
	t.advance(s, name.Index, maxAttempts, nowMs)
	return result
}

// completeGang has all members of a gang done with the first.
func (t *Table) completeGang(s *Step, run uint32) {
	if !s.Stage.GetGang() {
		return
	}
	for i := range s.Tasks {
		switch s.Tasks[i].Phase {
		case Live:
			t.setPhase(s, i, DoneLive)
		case Waiting:
			t.setPhase(s, i, Done)
		default:
			continue
		}
		t.Writes.putTask(s, i)
	}
}

// countFailure counts a failed run. A gang's run counts once for all its members.
func (t *Table) countFailure(s *Step, index int, run uint32, runner string) {
	s.Tasks[index].Failures++
	s.Tasks[index].LastFailed = runner
	if s.Stage.GetGang() && s.lastFailedRun < run {
		s.lastFailedRun = run
		s.gangFailures++
	}
}

// Failures returns how many runs of a task have failed; of a gang's member, how many of the gang.
func (s *Step) Failures(index int) int {
	if s.Stage.GetGang() {
		return max(s.gangFailures, s.Tasks[index].Failures)
	}
	return s.Tasks[index].Failures
}

// advance draws the consequences of an end for the step, the time and the job.
func (t *Table) advance(s *Step, index, maxAttempts int, nowMs int64) {
	j := s.Job
	switch {
	case j.State.Final():
	case s.Tasks[index].Phase == Waiting && !s.Stage.GetLongRunning() && s.Failures(index) >= maxAttempts:
		t.setState(j, Failed, nowMs)
	case s.doneTasks == len(s.Tasks) && (s.Tasks[index].Phase == Done):
		t.completeStep(s, nowMs)
	default:
		t.enqueueReady(s)
	}
	t.pruneEnded(j)
}

// completeStep offers what depended on a step that is done, or ends the time and the job.
func (t *Table) completeStep(s *Step, nowMs int64) {
	o := s.Occurrence
	o.doneSteps = 0
	for _, step := range o.Steps {
		if step.doneTasks == len(step.Tasks) {
			o.doneSteps++
		}
	}
	if o.doneSteps < len(o.Steps) {
		for _, step := range o.Steps {
			t.enqueueReady(step)
		}
		return
	}
	j := s.Job
	j.finishedOccurrences = 0
	for _, other := range j.occurrences {
		if other.doneSteps == len(other.Steps) {
			j.finishedOccurrences++
		}
	}
	if j.finishedOccurrences == j.OccurrenceCount {
		t.setState(j, Completed, nowMs)
	}
}

// EachLiveRun calls f with every run in the account that may be under way, with its runner.
func (t *Table) EachLiveRun(visit func(s *Step, index int)) {
	for _, id := range slices.Sorted(maps.Keys(t.jobs)) {
		for _, o := range t.jobs[id].occurrences {
			for _, s := range o.Steps {
				for i := range s.Tasks {
					if p := s.Tasks[i].Phase; p == Live || p == DoneLive {
						visit(s, i)
					}
				}
			}
		}
	}
}
