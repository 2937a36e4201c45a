package scheduler

import (
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
)

// taskResult is what became of a task in a pass.
type taskResult int

// The results of a task.
const (
	taskStarted taskResult = iota
	taskSkipped            // it can't be placed, but others of its step may
	taskBlocked            // no runner has capacity for it or the others of its step
)

const (
	// maxSkippedTasks is how many tasks of a step a pass considers that wait for runners in good health; the step's
	// other tasks wait behind them.
	maxSkippedTasks = 8
	// headroomTimeout is how long a job that runs nothing leaves capacity free for more urgent work that has not
	// arrived. By the operators' rules a job that fits runs something after 3 s.
	headroomTimeout = 1500 * time.Millisecond
)

// pass goes once through the steps of a queue, in order, and starts what fits.
type pass struct {
	scheduler   *Scheduler
	queue       *queue
	anyDegraded bool                // the newest outcomes of some runner of the service speak against it
	maxFree     placement.Resources // of each resource, no runner has more free
	blockages   []blockage
}

// newPass returns a pass through a queue.
func (s *Scheduler) newPass(q *queue) *pass {
	return &pass{scheduler: s, queue: q, anyDegraded: s.fleet.AnyDegraded(q.service)}
}

// run offers the service's runners to the steps in order. It skips steps that ask for more than any runner has free
// without looking into them, and removes those that have nothing left to start.
func (p *pass) run() {
	p.maxFree = p.scheduler.fleet.MaxFree(p.queue.service)
	entries, kept := p.queue.entries, 0
	for i := range entries {
		if e := &entries[i]; e.demand.Fits(p.maxFree) {
			p.scheduleStep(e.waitingStep)
			if p.queue.updateOrRemove(e.waitingStep) {
				continue
			}
		}
		if kept < i {
			entries[kept] = entries[i]
		}
		kept++
	}
	clear(entries[kept:])
	p.queue.entries = entries[:kept]
}

// scheduleStep starts as many of a step's waiting tasks as fit.
func (p *pass) scheduleStep(w *waitingStep) {
	w.request.Rack, w.request.LastAttempt = "", false
	if !w.startable() || p.covered(blockageFor(w)) || !p.scheduler.preservesHeadroom(p.queue, w) {
		return
	}
	if w.request.Gang {
		p.scheduleGang(w)
		return
	}
	if p.scheduler.delaysForLocality(w) {
		w.request.Rack = w.request.Affinity
	}
	p.scheduleTasks(w)
}

// scheduleTasks starts a step's tasks one by one until one is blocked.
func (p *pass) scheduleTasks(w *waitingStep) {
	skipped := 0
	for i := w.firstWaiting(); i < len(w.step.Tasks); i++ {
		if w.step.Tasks[i].Phase != jobs.Waiting {
			continue
		}
		switch p.scheduleTask(w, i) {
		case taskBlocked:
			p.blockStep(w)
			return
		case taskSkipped:
			skipped++
		}
		if skipped >= maxSkippedTasks || !p.scheduler.preservesHeadroom(p.queue, w) {
			return
		}
	}
}

// scheduleTask starts a task if it fits. It is blocked where no runner has capacity for a task like it, and skipped
// where only this one has to wait: for another runner than the one that failed it, or for one in good health.
func (p *pass) scheduleTask(w *waitingStep, index int) taskResult {
	step, request := w.step, w.request
	request.Avoid, request.LastAttempt = step.Tasks[index].LastFailed, step.Failures(index)+1 >= p.scheduler.maxAttempts(step.Job.ID)
	b := blockageFor(w)
	if p.covered(b) {
		return taskSkipped
	}
	r := p.scheduler.fleet.Pick(request, p.scheduler.now)
	switch {
	case r != nil:
		p.scheduler.start(step, index, step.NextRun(index), r, step.Tasks[index].Checkpoint)
		return taskStarted
	case !p.anyDegraded:
		request.LastAttempt = false
		return taskBlocked
	case request.LastAttempt && request.Avoid == "" && request.AntiAffinity == 0:
		p.blockages = append(p.blockages, b)
		return taskSkipped
	case request.LastAttempt || request.Avoid != "":
		return taskSkipped
	default:
		return taskBlocked
	}
}

// blockStep records that no runner has capacity for a step's next task. Nothing is recorded where only this step is
// blocked, as each runner that fits has as many of its tasks as its anti-affinity allows.
func (p *pass) blockStep(w *waitingStep) {
	if w.request.AntiAffinity > 0 {
		relaxed := *w.request
		relaxed.AntiAffinity = 0
		if p.scheduler.fleet.Pick(&relaxed, p.scheduler.now) != nil {
			return
		}
	}
	p.recordBlockage(blockageFor(w))
}

// preservesHeadroom reports whether a task of a step may take capacity without using what is kept free for more urgent
// work. A job that runs nothing waits for that only so long.
func (s *Scheduler) preservesHeadroom(q *queue, w *waitingStep) bool {
	if w.step.Job.LiveRuns() == 0 && s.now-w.since > headroomTimeout {
		return true
	}
	headroom := q.headroom.Required(w.priority)
	return headroom == (placement.Resources{}) || w.request.Demand.Plus(headroom).Fits(s.fleet.FreeCapacity(q.service))
}

// delaysForLocality reports whether a step's tasks should still wait for the rack where their data lies, for at most
// half the time that they would take longer elsewhere. This is delay scheduling (Zaharia et al. 2010, section 3).
func (s *Scheduler) delaysForLocality(w *waitingStep) bool {
	if w.request.Affinity == "" {
		return false
	}
	longer := time.Duration((s.cfg.RemoteSlowdown - 1) * float64(w.step.Stage.GetEstimateMs()) * float64(time.Millisecond))
	return s.now-w.since < longer/2 && s.fleet.HasEligibleRunner(w.request, w.request.Affinity)
}
