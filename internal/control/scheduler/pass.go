package scheduler

import (
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
)

// taskResult is what was found of a task.
type taskResult int

const (
	taskStarted taskResult = iota // it was started
	taskSkipped                   // it can't be placed, others like it perhaps
	taskBlocked                   // no runner has room for one like it
)

// pass goes once through the steps of a queue.
type pass struct {
	scheduler   *Scheduler
	queue       *queue
	anyDegraded bool                // some runner is distrusted
	maxFree     placement.Resources // no runner has more of any resource free
	blockages   []blockage
}

// blockage is a demand that no runner, or no set of runners, had room for in this pass.
type blockage struct {
	demand      placement.Resources
	requirement string
	rack        string // only the runners of this rack were looked at, where set
	gang        int    // members that had no room together, 0 for one task
	lastAttempt bool   // only runners that are trusted were looked at
}

// covers tells whether what asks for something can't be placed as something smaller was blocked.
func (b *blockage) covers(o *blockage) bool {
	return b.demand.Fits(o.demand) && (b.requirement == "" || b.requirement == o.requirement) && (b.rack == "" || b.rack == o.rack) &&
		b.gang <= o.gang && (!b.lastAttempt || o.lastAttempt)
}

// sameDemand tells whether two ask for the same of a runner.
func (b *blockage) sameDemand(o *blockage) bool {
	return b.demand == o.demand && b.requirement == o.requirement && (b.gang > 0) == (o.gang > 0)
}

// covered tells whether something was blocked before. Where runners are distrusted that says nothing of a
// greater demand: fewer runners could take it, and of fewer less are left out.
func (p *pass) covered(o blockage) bool {
	for i := range p.blockages {
		if b := &p.blockages[i]; b.covers(&o) && (!p.anyDegraded || b.sameDemand(&o)) {
			return true
		}
	}
	return false
}

// recordBlockage notes what was blocked, and how much is left of the room that others may find.
func (p *pass) recordBlockage(b blockage) {
	p.blockages = append(p.blockages, b)
	p.maxFree = p.scheduler.fleet.MaxFree(p.queue.service)
}

// newPass returns a pass through a queue.
func (s *Scheduler) newPass(q *queue) *pass {
	return &pass{scheduler: s, queue: q, anyDegraded: s.fleet.AnyDegraded(q.service)}
}

// run offers the service's runners to the steps in order. Steps that ask for more than any runner has free are not
// looked into.
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

// scheduleStep starts as many of a step's waiting tasks as there is room for.
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

// blockageFor returns what it means that a step can't be placed.
func blockageFor(w *waitingStep) blockage {
	b := blockage{demand: w.request.Demand, requirement: w.request.Requirement, rack: w.request.Rack, lastAttempt: w.request.LastAttempt}
	if w.request.Gang {
		b.gang = len(w.step.Tasks)
	}
	return b
}

// maxSkippedTasks is how many tasks of a step a pass looks at that wait for runners that are trusted; the step's
// others wait behind them.
const maxSkippedTasks = 8

// scheduleTasks starts a step's tasks one by one.
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

// firstWaiting returns the first of the step's tasks that may wait.
func (w *waitingStep) firstWaiting() int {
	for w.scanFrom < len(w.step.Tasks) && w.step.Tasks[w.scanFrom].Phase != jobs.Waiting {
		w.scanFrom++
	}
	return w.scanFrom
}

// scheduleTask starts a task. It is blocked where no runner has room for one like it, and passed over where
// it alone waits, for a runner that is trusted.
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

// blockStep notes that no runner has room for a step's next task.
func (p *pass) blockStep(w *waitingStep) {
	if w.request.AntiAffinity > 0 {
		relaxed := *w.request
		relaxed.AntiAffinity = 0
		if p.scheduler.fleet.Pick(&relaxed, p.scheduler.now) != nil {
			return // only for this step, whose tasks lie there already
		}
	}
	p.recordBlockage(blockageFor(w))
}

// preservesHeadroom tells whether a task may be placed without taking what is kept for more urgent work.
func (s *Scheduler) preservesHeadroom(q *queue, w *waitingStep) bool {
	if w.step.Job.LiveRuns() == 0 && s.now-w.since > headroomTimeout {
		return true
	}
	headroom := q.headroom.Required(w.priority)
	return headroom == (placement.Resources{}) || w.request.Demand.Plus(headroom).Fits(s.fleet.FreeCapacity(q.service))
}

// headroomTimeout is how long a job that runs nothing waits for more urgent work that has not come; the
// rules say that a job with room for it runs something after 3 s.
const headroomTimeout = 1500 * time.Millisecond

// delaysForLocality tells whether a step's tasks had better wait a little for the rack where their data lies:
// for a part of the time that the work would take longer elsewhere.
func (s *Scheduler) delaysForLocality(w *waitingStep) bool {
	if w.request.Affinity == "" {
		return false
	}
	longer := time.Duration((s.cfg.RemoteSlowdown - 1) * float64(w.step.Stage.GetEstimateMs()) * float64(time.Millisecond))
	return s.now-w.since < longer/2 && s.fleet.HasEligibleRunner(w.request, w.request.Affinity)
}
