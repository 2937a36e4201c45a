package scheduler

import (
	"cmp"

	"frosttide/internal/control/placement"
)

// scheduleGang starts all tasks of a gang or none. A gang is not started again before all members of its last run have
// ended.
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
	picked := p.pickGang(w, names)
	if picked == nil {
		p.blockGang(w)
		return
	}
	gangRun, checkpoint := step.NextRun(0), step.GangCheckpoint()
	for i, r := range picked {
		p.scheduler.start(step, i, gangRun, r, checkpoint)
	}
}

// pickGang returns a runner for each member of a gang, or nil if they do not all fit. A gang that asks for a single rack
// is spread over several if no rack has enough capacity.
func (p *pass) pickGang(w *waitingStep, names []string) []*placement.Runner {
	fleet, now := p.scheduler.fleet, p.scheduler.now
	if w.step.Stage.GetSameRack() {
		if picked := fleet.PickGangInRack(w.request, names, now); picked != nil {
			return picked
		}
	}
	return fleet.PickGang(w.request, names, now)
}

// blockGang records a blockage for a gang that does not fit. It records nothing if the reason may be specific to this
// gang: it avoids the runner on which it last failed, or has an anti-affinity.
func (p *pass) blockGang(w *waitingStep) {
	if p.anyDegraded && w.request.Avoid != "" || w.request.AntiAffinity > 0 {
		return
	}
	w.request.LastAttempt = w.request.LastAttempt && p.anyDegraded
	p.recordBlockage(blockageFor(w))
}
