package jobs

// End describes the end of a run, as reported by its runner or inferred by the head.
type End struct {
	Task       TaskName
	Run        uint32
	Runner     string
	Reason     EndReason
	Checkpoint string // saved by the run; empty if none
}

// EndResult is the effect of RecordEnd.
type EndResult struct {
	Step    *Step // step of the task; nil if the task is unknown
	Applied bool  // whether the end took effect: the run was the task's newest and had not ended
}

// RecordStart records the start of a run of a waiting task. The order to start the run may be sent
// only once the record is committed.
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

// RecordEnd records the end of a run. It changes nothing if the run is not the task's newest, if it
// was started on another runner, or if its end is already recorded. The job fails when a task that
// is not long-running has maxAttempts failed runs.
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

// setPhase sets the phase of a task and updates the counts. No other function changes a task's
// phase.
func (t *Table) setPhase(s *Step, index int, to Phase) {
	task := &s.Tasks[index]
	if task.Phase == to {
		return
	}
	s.countPhase(task.Phase, -1)
	s.countPhase(to, 1)
	task.Phase = to
}

// countPhase adds delta to those counts of the step and its job that include tasks in phase p.
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

// completeGang marks all members of a gang as done after the run of one member is done. Steps that
// are not gangs are left unchanged.
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

// countFailure counts a failed run of a task. A gang run counts once for the gang, even if several
// members fail.
func (s *Step) countFailure(index int, run uint32, runner string) {
	s.Tasks[index].Failures++
	s.Tasks[index].LastFailed = runner
	if s.Stage.GetGang() && s.lastFailedRun < run {
		s.lastFailedRun = run
		s.gangFailures++
	}
}

// advance applies the consequences of the end of a task's run: it fails the job, completes the
// step, or queues the step so that the task is started again.
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

// completeStep queues the steps of the occurrence that are now ready. After the last step of the
// last unfinished occurrence it completes the job instead.
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

// countDone recomputes the number of done steps of the occurrence.
func (o *Occurrence) countDone() {
	o.doneSteps = 0
	for _, s := range o.Steps {
		if s.done() {
			o.doneSteps++
		}
	}
}

// finished reports whether all steps of the occurrence were done at the last countDone.
func (o *Occurrence) finished() bool { return o.doneSteps == len(o.Steps) }

// countFinished recomputes the number of finished occurrences of the job.
func (j *Job) countFinished() {
	j.finishedOccurrences = 0
	for _, o := range j.occurrences {
		if o.finished() {
			j.finishedOccurrences++
		}
	}
}
