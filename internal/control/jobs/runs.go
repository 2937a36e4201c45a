package jobs

import (
	"maps"
	"slices"
)

// Outcome is what an end meant for its task.
type Outcome struct {
	Step    *Step
	Index   int
	Counted bool // the end was that of the run that is in the account
}

// Start notes a run of a task before it is sent anywhere. The task is waiting.
func (t *Table) Start(s *Step, index int, run uint32, runner string, nowMs int64) {
	t.setPhase(s, index, Live)
	task := &s.Tasks[index]
	task.Run, task.Runner = run, runner
	s.run = max(s.run, run)
	t.Writes.putTask(s, index)
	if s.Job.State == Pending {
		t.setState(s.Job, Running, nowMs)
	}
}

// NextRun returns the number of a task's next run; the members of a gang share it.
func (s *Step) NextRun(index int) uint32 {
	if s.Stage.GetGang() {
		return s.run + 1
	}
	return s.Tasks[index].Run + 1
}

// GangIdle tells whether a gang may be started: no run of a member may be under way.
func (s *Step) GangIdle() bool { return s.Waiting == len(s.Tasks) }

// GangSaved returns the newest checkpoint of a gang's members; it is good for all.
func (s *Step) GangSaved() string {
	saved, run := "", uint32(0)
	for i := range s.Tasks {
		if task := &s.Tasks[i]; task.Saved != "" && task.Run >= run {
			saved, run = task.Saved, task.Run
		}
	}
	return saved
}

// setPhase is the one place where a task's phase changes.
func (t *Table) setPhase(s *Step, index int, to Phase) {
	task := &s.Tasks[index]
	from := task.Phase
	if from == to {
		return
	}
	count := func(p Phase, by int) {
		switch p {
		case Waiting:
			s.Waiting += by
		case Live:
			s.Job.live += by
		case Done:
			s.done += by
		case DoneLive:
			s.done += by
			s.Job.live += by
		}
	}
	count(from, -1)
	count(to, 1)
	task.Phase = to
}

// End notes how a run ended. An end of a run that is not the task's newest, or whose end is known
// already, changes nothing. maxAttempts is how many failed runs a task may have.
func (t *Table) End(name TaskName, run uint32, runner string, how How, saved string, maxAttempts int, nowMs int64) Outcome {
	s := t.Find(name)
	if s == nil {
		return Outcome{}
	}
	task := &s.Tasks[name.Index]
	out := Outcome{Step: s, Index: name.Index}
	if task.Run != run || task.Runner != runner || task.Phase != Live && task.Phase != DoneLive {
		return out
	}
	out.Counted = true
	if saved != "" {
		task.Saved = saved
	}
	switch {
	case task.Phase == DoneLive:
		t.setPhase(s, name.Index, Done)
	case how == EndDone && !s.Stage.GetLongRunning():
		t.setPhase(s, name.Index, Done)
		t.shareDone(s, run)
	default:
		t.setPhase(s, name.Index, Waiting)
		if how == EndFailed {
			t.countFailure(s, name.Index, run, runner)
		}
	}
	t.Writes.putTask(s, name.Index)
	t.afterEnd(s, name.Index, maxAttempts, nowMs)
	return out
}

// shareDone has all members of a gang done with the first.
func (t *Table) shareDone(s *Step, run uint32) {
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
	if s.Stage.GetGang() && s.failed < run {
		s.failed = run
		s.failures++
	}
}

// Failures returns how many runs of a task have failed; of a gang's member, how many of the gang.
func (s *Step) Failures(index int) int {
	if s.Stage.GetGang() {
		return max(s.failures, s.Tasks[index].Failures)
	}
	return s.Tasks[index].Failures
}

// afterEnd draws the consequences of an end for the step, the time and the job.
func (t *Table) afterEnd(s *Step, index, maxAttempts int, nowMs int64) {
	j := s.Job
	switch {
	case j.State.Final():
	case s.Tasks[index].Phase == Waiting && !s.Stage.GetLongRunning() && s.Failures(index) >= maxAttempts:
		t.setState(j, Failed, nowMs)
	case s.done == len(s.Tasks) && (s.Tasks[index].Phase == Done):
		t.stepDone(s, nowMs)
	default:
		t.offer(s)
	}
	t.tidy(j)
}

// stepDone offers what depended on a step that is done, or ends the time and the job.
func (t *Table) stepDone(s *Step, nowMs int64) {
	o := s.Occasion
	o.done = 0
	for _, step := range o.Steps {
		if step.done == len(step.Tasks) {
			o.done++
		}
	}
	if o.done < len(o.Steps) {
		for _, step := range o.Steps {
			t.offer(step)
		}
		return
	}
	j := s.Job
	j.finished = 0
	for _, other := range j.times {
		if other.done == len(other.Steps) {
			j.finished++
		}
	}
	if j.finished == j.Occasions {
		t.setState(j, Completed, nowMs)
	}
}

// LiveOn calls f with every run in the account that may be under way, with its runner.
func (t *Table) LiveOn(f func(s *Step, index int)) {
	for _, id := range slices.Sorted(maps.Keys(t.jobs)) {
		for _, o := range t.jobs[id].times {
			for _, s := range o.Steps {
				for i := range s.Tasks {
					if p := s.Tasks[i].Phase; p == Live || p == DoneLive {
						f(s, i)
					}
				}
			}
		}
	}
}
