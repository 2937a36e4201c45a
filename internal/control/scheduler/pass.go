package scheduler

import (
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
)

// taskResult is the result of trying to start a task in a pass.
type taskResult int

// The results of trying to start a task.
const (
	taskStarted taskResult = iota
	taskSkipped            // can't be placed, but other tasks of its step may be
	taskBlocked            // no runner has capacity for it or for other tasks of its step
)

const (
	// maxSkippedTasks is the number of skipped tasks after which a pass leaves a step; the step's other tasks wait
	// behind them. Tasks are skipped if they wait for healthy runners.
	maxSkippedTasks = 8
	// headroomTimeout is how long a job without runs leaves capacity free for more urgent work that has not arrived
	// yet. By the operators' rules a job that fits has a run after 3 s.
	headroomTimeout = 1500 * time.Millisecond
)

// pass is one iteration over the steps of a queue, in order, that starts the tasks that fit.
type pass struct {
	scheduler   *Scheduler
	queue       *queue
	anyDegraded bool                // some runner of the service is degraded by its recent outcomes
	maxFree     placement.Resources // by resource: the most that any single runner has free
	blockages   []blockage
}

// newPass returns a pass over a queue.
func (s *Scheduler) newPass(q *queue) *pass {
	return &pass{scheduler: s, queue: q, anyDegraded: s.fleet.AnyDegraded(q.service)}
}

// run schedules the steps of the queue in order and removes those that have no task left to start. Steps whose demand
// exceeds the free capacity of every runner are skipped by a look at their entries alone.
func (p *pass) run() {
	p.updateMaxFree()
	entries, kept := p.queue.entries, 0
	for i := range entries {
		if e := &entries[i]; e.demand.Fits(p.maxFree) && !p.scheduler.entryFull() {
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

// updateMaxFree updates the free capacity that the demands of entries are compared with. Runners without free CPU count
// only if a task may fit there.
func (p *pass) updateMaxFree() {
	leastDemand := placement.Resources{CPU: 1}
	if p.queue.stepsWithoutCPU > 0 {
		leastDemand.CPU = 0
	}
	p.maxFree = p.scheduler.fleet.MaxFree(p.queue.service, leastDemand)
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

// scheduleTasks starts a step's waiting tasks one by one until a task is blocked, too many tasks are skipped or the step
// would use headroom.
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
		if skipped >= maxSkippedTasks || p.scheduler.entryFull() || !p.scheduler.preservesHeadroom(p.queue, w) {
			return
		}
	}
}

// scheduleTask starts a task if it fits. The task is blocked if no runner has capacity for any task of its step. It is
// skipped if only this task has to wait: for a runner other than the one on which it last failed, or for a healthy one.
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

// blockStep records that no runner has capacity for a step's next task. It records nothing if only the step's
// anti-affinity is in the way: the runners with enough capacity have as many of its tasks as it allows.
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

// preservesHeadroom reports whether a task of a step may be started without using the capacity that is kept free for more
// urgent work. For a job without runs, that capacity is no obstacle after headroomTimeout.
func (s *Scheduler) preservesHeadroom(q *queue, w *waitingStep) bool {
	if w.step.Job.LiveRuns() == 0 && s.now-w.since > headroomTimeout {
		return true
	}
	headroom := q.headroom.Required(w.priority)
	return headroom == (placement.Resources{}) || w.request.Demand.Plus(headroom).Fits(s.fleet.FreeCapacity(q.service))
}

// delaysForLocality reports whether a step's tasks should still wait for the rack that holds their data. They wait for at
// most half the extra time that they would take in another rack. This is delay scheduling (Zaharia et al. 2010, section
// 3).
func (s *Scheduler) delaysForLocality(w *waitingStep) bool {
	if w.request.Affinity == "" {
		return false
	}
	extraTime := time.Duration((s.cfg.RemoteSlowdown - 1) * float64(w.step.Stage.GetEstimateMs()) * float64(time.Millisecond))
	return s.now-w.since < extraTime/2 && s.fleet.HasEligibleRunner(w.request, w.request.Affinity)
}
