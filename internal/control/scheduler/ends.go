package scheduler

import (
	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
	"frosttide/internal/protocol"
)

// recordEnds records the run ends in a runner's report, each of them once. Ends are numbered in ascending order, and an
// agent repeats an end in its reports until it is acknowledged.
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

// recordEnd records the end of a run, releases its reservation and counts its outcome towards the runner's health.
func (s *Scheduler) recordEnd(r *runner, end *protocol.RunEnd) {
	name, ok := jobs.ParseTask(end.GetTask())
	if !ok {
		return
	}
	reason := jobs.EndReason(end.GetHow())
	first := s.firstFailure(name)
	result := s.jobs.RecordEnd(jobs.End{Task: name, Run: end.GetRun(), Runner: r.id, Reason: reason, Checkpoint: checkpointOf(end)}, s.maxAttempts(name.Job), s.wallMs)
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

// checkpointOf returns the checkpoint that a run has saved at its end, or none if it is too long to be kept. Agents of an
// earlier version report checkpoints of any length.
func checkpointOf(end *protocol.RunEnd) string {
	if len(end.GetSaved()) > protocol.MaxCheckpointBytes {
		return ""
	}
	return end.GetSaved()
}

// recordRefusals ends the runs that a runner has refused to start, and will never start.
func (s *Scheduler) recordRefusals(sess *session, refused []*protocol.RunRef) {
	r := s.runners[sess.runner]
	if r == nil || r.session != sess {
		return
	}
	for _, ref := range refused {
		name, ok := jobs.ParseTask(ref.GetTask())
		run, live := r.live[ref.GetTask()]
		if !ok || !live || run.number != ref.GetRun() {
			s.batch.addDrop(r.id, ref.GetTask(), ref.GetRun()) // its end is already recorded: the agent may forget it
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

// firstFailure reports whether a failure of a task would be its first one, and so count against its runner. Further
// failures say little about the runner, as the task itself may be at fault. Nor do failures of long-running work, which
// may fail at any time.
func (s *Scheduler) firstFailure(name jobs.TaskName) bool {
	step := s.jobs.FindStep(name)
	return step != nil && step.Tasks[name.Index].Failures == 0 && !step.Stage.GetLongRunning()
}

// defaultMaxAttempts is the maximum number of attempts for jobs whose queue is no longer configured.
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
