package scheduler

import (
	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
	"frosttide/internal/protocol"
)

// recordEnds records the ends of runs that a runner lists, each once: an agent lists an end, by a number that rises,
// until it is acknowledged.
func (s *Scheduler) recordEnds(sess *session, ends []*protocol.RunEnd) {
	r := s.runners[sess.runner]
	if r == nil {
		return
	}
	previous := r.recordedEnd
	for _, end := range ends {
		if end.GetNumber() <= r.recordedEnd {
			continue
		}
		r.recordedEnd = end.GetNumber()
		s.recordEnd(r, end)
	}
	if r.recordedEnd > previous {
		s.writeRunner(r)
		s.batch.acknowledgeEnds(r.id, r.recordedEnd)
	}
}

// recordEnd records the end of a run, releases what it had reserved, and counts its outcome for the runner's health.
func (s *Scheduler) recordEnd(r *runner, end *protocol.RunEnd) {
	name, ok := jobs.ParseTask(end.GetTask())
	if !ok {
		return
	}
	reason := jobs.EndReason(end.GetHow())
	first := s.firstFailure(name)
	result := s.jobs.RecordEnd(jobs.End{Task: name, Run: end.GetRun(), Runner: r.id, Reason: reason, Checkpoint: end.GetSaved()}, s.maxAttempts(name.Job), s.wallMs)
	if run, live := r.live[end.GetTask()]; live && run.number == end.GetRun() {
		s.releaseRun(r, end.GetTask())
	}
	if !result.Applied {
		return
	}
	s.countEnd(result.Step, reason)
	switch {
	case reason == jobs.EndDone:
		s.fleet.RecordOutcome(r.fleetRunner, name.Job, placement.Success, s.now)
	case reason == jobs.EndFailed && first:
		s.fleet.RecordOutcome(r.fleetRunner, name.Job, placement.Failure, s.now)
	}
}

// recordRefusals records runs that a runner has refused and never starts.
func (s *Scheduler) recordRefusals(sess *session, refused []*protocol.RunRef) {
	r := s.runners[sess.runner]
	if r == nil || r.session != sess {
		return
	}
	for _, ref := range refused {
		name, ok := jobs.ParseTask(ref.GetTask())
		run, live := r.live[ref.GetTask()]
		if !ok || !live || run.number != ref.GetRun() {
			s.batch.addDrop(r.id, ref.GetTask(), ref.GetRun()) // recorded already: the agent may forget it
			continue
		}
		if run.pending {
			continue
		}
		s.jobs.RecordEnd(jobs.End{Task: name, Run: run.number, Runner: r.id, Reason: jobs.EndRefused}, s.maxAttempts(name.Job), s.wallMs)
		s.countEnd(run.step, jobs.EndRefused)
		s.releaseRun(r, ref.GetTask())
	}
}

// firstFailure reports whether a failure of a task now would be its first. Further failures say little of the runner,
// as the task may be at fault; nor do those of long-running work, which may fail at any time.
func (s *Scheduler) firstFailure(name jobs.TaskName) bool {
	step := s.jobs.FindStep(name)
	return step != nil && step.Tasks[name.Index].Failures == 0 && !step.Stage.GetLongRunning()
}

// defaultMaxAttempts holds for jobs whose queue is no longer configured.
const defaultMaxAttempts = 2

// maxAttempts returns how many failed runs a task of a job may have until the job fails.
func (s *Scheduler) maxAttempts(id string) int {
	j := s.jobs.Get(id)
	if j == nil {
		return 1
	}
	if route := s.config.Route(j.Queue); route != nil {
		return route.MaxAttempts
	}
	return defaultMaxAttempts
}
