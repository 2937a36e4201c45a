package scheduler

import "cmp"

// scheduleGang starts all tasks of a gang or none.
func (p *pass) scheduleGang(w *waitingStep) {
	step, request := w.step, w.request
	if !step.GangIdle() {
		return
	}
	request.Avoid = ""
	names := make([]string, len(step.Tasks))
	for i := range step.Tasks {
		names[i] = step.TaskID(i)
		request.Avoid = cmp.Or(request.Avoid, step.Tasks[i].LastFailed)
	}
	request.LastAttempt = step.Failures(0)+1 >= p.scheduler.maxAttempts(step.Job.ID)
	if p.covered(blockageFor(w)) {
		return
	}
	picked := p.scheduler.fleet.PickGang(request, names, step.Stage.GetSameRack(), p.scheduler.now)
	if picked == nil && step.Stage.GetSameRack() {
		picked = p.scheduler.fleet.PickGang(request, names, false, p.scheduler.now)
	}
	if picked == nil {
		p.blockGang(w)
		return
	}
	gangRun, checkpoint := step.NextRun(0), step.GangCheckpoint()
	for i, r := range picked {
		p.scheduler.start(step, i, gangRun, r, checkpoint)
	}
}

// blockGang notes that there is no room for a gang. One that waits for other runners, as it has failed where it was,
// or that AntiAffinity may have kept apart, says nothing of others.
func (p *pass) blockGang(w *waitingStep) {
	if p.anyDegraded && w.request.Avoid != "" || w.request.AntiAffinity > 0 {
		return
	}
	w.request.LastAttempt = w.request.LastAttempt && p.anyDegraded
	p.recordBlockage(blockageFor(w))
}
