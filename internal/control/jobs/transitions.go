package jobs

// End is the end of a run, as its runner reports it or the head infers it.
type End struct {
	Task       TaskName
	Run        uint32
	Runner     string
	Reason     EndReason
	Checkpoint string // that the run has left, empty for none
}

// EndResult is what the end of a run meant for its task.
type EndResult struct {
	Step    *Step // nil where the task is not known
	Applied bool  // the end counted: it was that of the task's newest run
}

// RecordStart records the start of a run of a waiting task. The run may be ordered only once that is committed.
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

// RecordEnd records the end of a run. An end of a run that is not the task's newest, or whose end is recorded already,
// changes nothing. maxAttempts is how many failed runs a task may have until the job fails.
func (t *Table) RecordEnd(end End, maxAttempts int, nowMs int64) EndResult {
	s, index := t.FindStep(end.Task), end.Task.Index
	if s == nil {
		return EndResult{}
	}
	task := &s.Tasks[index]
	if task.Run != end.Run || task.Runner != end.Runner || task.Phase != Live && task.Phase != DoneLive {
		return EndResult{Step: s}
	}
	if end.Checkpoint != "" {
		task.Checkpoint = end.Checkpoint
	}
	switch {
	case task.Phase == DoneLive:
		t.setPhase(s, index, Done)
	case end.Reason == EndDone && !s.Stage.GetLongRunning():
		t.setPhase(s, index, Done)
		t.completeGang(s)
	default:
		t.setPhase(s, index, Waiting)
		if end.Reason == EndFailed {
			s.countFailure(index, end.Run, end.Runner)
		}
	}
	t.Writes.putTask(s, index)
	t.advance(s, index, maxAttempts, nowMs)
	return EndResult{Step: s, Applied: true}
}

// setPhase is the one place where a task's phase changes.
func (t *Table) setPhase(s *Step, index int, to Phase) {
	task := &s.Tasks[index]
	if task.Phase == to {
		return
	}
	s.countPhase(task.Phase, -1)
	s.countPhase(to, 1)
	task.Phase = to
}

// countPhase adds to the counts of the step and its job that a task in a phase belongs to.
func (s *Step) countPhase(p Phase, delta int) {
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

// completeGang has all members of a gang done with the first that is.
func (t *Table) completeGang(s *Step) {
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

// countFailure counts a failed run of a task. A run of a gang counts once for all members.
func (s *Step) countFailure(index int, run uint32, runner string) {
	s.Tasks[index].Failures++
	s.Tasks[index].LastFailed = runner
	if s.Stage.GetGang() && s.lastFailedRun < run {
		s.lastFailedRun = run
		s.gangFailures++
	}
}

// advance does what follows from the end of a task's run: the job fails, or the step is done, or the task is to be
// started again.
func (t *Table) advance(s *Step, index, maxAttempts int, nowMs int64) {
	j := s.Job
	switch {
	case j.State.Final():
	case s.Tasks[index].Phase == Waiting && !s.Stage.GetLongRunning() && s.Failures(index) >= maxAttempts:
		t.setState(j, Failed, nowMs)
	case s.done() && s.Tasks[index].Phase == Done:
		t.completeStep(s, nowMs)
	default:
		t.enqueueReady(s)
	}
	t.pruneEnded(j)
}

// completeStep makes ready what depends on a step that is done, or with the last step of the last occurrence completes
// the job.
func (t *Table) completeStep(s *Step, nowMs int64) {
	o := s.Occurrence
	o.countDone()
	if !o.finished() {
		for _, step := range o.Steps {
			t.enqueueReady(step)
		}
		return
	}
	j := s.Job
	j.countFinished()
	if j.finishedOccurrences == j.OccurrenceCount {
		t.setState(j, Completed, nowMs)
	}
}

// countDone counts the steps of the occurrence that are done.
func (o *Occurrence) countDone() {
	o.doneSteps = 0
	for _, s := range o.Steps {
		if s.done() {
			o.doneSteps++
		}
	}
}

// finished reports whether all steps of the occurrence were done when they were counted.
func (o *Occurrence) finished() bool { return o.doneSteps == len(o.Steps) }

// countFinished counts the occurrences of the job that are finished.
func (j *Job) countFinished() {
	j.finishedOccurrences = 0
	for _, o := range j.occurrences {
		if o.finished() {
			j.finishedOccurrences++
		}
	}
}
