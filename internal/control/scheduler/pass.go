package scheduler

import (
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
)

// verdict is what was found of a task.
type verdict int

const (
	placed  verdict = iota // it was started
	passed                 // it can't be placed, others like it perhaps
	blocked                // no runner has room for one like it
)

// pass goes once through the steps of a queue.
type pass struct {
	d       *Scheduler
	queue   *queue
	doubts  bool                // some runner is distrusted
	room    placement.Resources // no runner has more of any resource free
	blocked []blockage
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

// alike tells whether two ask for the same of a runner.
func (b *blockage) alike(o *blockage) bool {
	return b.demand == o.demand && b.requirement == o.requirement && (b.gang > 0) == (o.gang > 0)
}

// covered tells whether something was blocked before. Where runners are distrusted that says nothing of a
// greater demand: fewer runners could take it, and of fewer less are left out.
func (p *pass) covered(o blockage) bool {
	for i := range p.blocked {
		if b := &p.blocked[i]; b.covers(&o) && (!p.doubts || b.alike(&o)) {
			return true
		}
	}
	return false
}

// note notes what was blocked, and how much is left of the room that others may find.
func (p *pass) note(b blockage) {
	p.blocked = append(p.blocked, b)
	p.room = p.d.fleet.MostFree(p.queue.service)
}

// newPass returns a pass through a queue.
func (d *Scheduler) newPass(q *queue) *pass {
	return &pass{d: d, queue: q, doubts: d.fleet.Doubts(q.service)}
}

// run offers the service's runners to the steps in order. Steps that ask for more than any runner has free are not
// looked into.
func (p *pass) run() {
	p.room = p.d.fleet.MostFree(p.queue.service)
	entries, kept := p.queue.entries, 0
	for i := range entries {
		if e := &entries[i]; e.demand.Fits(p.room) {
			p.placeStep(e.waitingStep)
			if p.queue.settle(e.waitingStep) {
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

// placeStep starts as many of a step's waiting tasks as there is room for.
func (p *pass) placeStep(w *waitingStep) {
	w.want.Rack, w.want.LastAttempt = "", false
	if !w.due() || p.covered(blockageOf(w)) || !p.d.leavesRoom(p.queue, w) {
		return
	}
	if w.want.Gang {
		p.placeGang(w)
		return
	}
	if p.d.waitsForRack(w) {
		w.want.Rack = w.want.Affinity
	}
	p.placeTasks(w)
}

// blockageOf returns what it means that a step can't be placed.
func blockageOf(w *waitingStep) blockage {
	b := blockage{demand: w.want.Demand, requirement: w.want.Requirement, rack: w.want.Rack, lastAttempt: w.want.LastAttempt}
	if w.want.Gang {
		b.gang = len(w.step.Tasks)
	}
	return b
}

// mostRefused is how many tasks of a step a pass looks at that wait for runners that are trusted; the step's
// others wait behind them.
const mostRefused = 8

// placeTasks starts a step's tasks one by one.
func (p *pass) placeTasks(w *waitingStep) {
	refused := 0
	for i := w.firstWaiting(); i < len(w.step.Tasks); i++ {
		if w.step.Tasks[i].Phase != jobs.Waiting {
			continue
		}
		switch p.placeTask(w, i) {
		case blocked:
			p.block(w)
			return
		case passed:
			refused++
		}
		if refused >= mostRefused || !p.d.leavesRoom(p.queue, w) {
			return
		}
	}
}

// firstWaiting returns the first of the step's tasks that may wait.
func (a *waitingStep) firstWaiting() int {
	for a.from < len(a.step.Tasks) && a.step.Tasks[a.from].Phase != jobs.Waiting {
		a.from++
	}
	return a.from
}

// placeTask starts a task. It is blocked where no runner has room for one like it, and passed over where
// it alone waits, for a runner that is trusted.
func (p *pass) placeTask(w *waitingStep, index int) verdict {
	s, want := w.step, w.want
	want.Avoid, want.LastAttempt = s.Tasks[index].LastFailed, s.Failures(index)+1 >= p.d.maxAttempts(s.Job.ID)
	b := blockageOf(w)
	if p.covered(b) {
		return passed
	}
	r := p.d.fleet.Pick(want, p.d.now)
	switch {
	case r != nil:
		p.d.start(s, index, s.NextRun(index), r, s.Tasks[index].Saved)
		return placed
	case !p.doubts:
		want.LastAttempt = false
		return blocked
	case want.LastAttempt && want.Avoid == "" && want.AntiAffinity == 0:
		p.blocked = append(p.blocked, b)
		return passed
	case want.LastAttempt || want.Avoid != "":
		return passed
	default:
		return blocked
	}
}

// block notes that no runner has room for a step's next task.
func (p *pass) block(w *waitingStep) {
	if w.want.AntiAffinity > 0 {
		alike := *w.want
		alike.AntiAffinity = 0
		if p.d.fleet.Pick(&alike, p.d.now) != nil {
			return // only for this step, whose tasks lie there already
		}
	}
	p.note(blockageOf(w))
}

// leavesRoom tells whether a task may be placed without taking what is kept for more urgent work.
func (d *Scheduler) leavesRoom(q *queue, w *waitingStep) bool {
	if w.step.Job.Live() == 0 && d.now-w.since > reservePatience {
		return true
	}
	room := q.reserve.Room(w.priority)
	return room == (placement.Resources{}) || w.want.Demand.Plus(room).Fits(d.fleet.FreeOf(q.service))
}

// reservePatience is how long a job that runs nothing waits for more urgent work that has not come; the
// rules say that a job with room for it runs something after 3 s.
const reservePatience = 1500 * time.Millisecond

// waitsForRack tells whether a step's tasks had better wait a little for the rack where their data lies:
// for a part of the time that the work would take longer elsewhere.
func (d *Scheduler) waitsForRack(w *waitingStep) bool {
	if w.want.Affinity == "" {
		return false
	}
	longer := time.Duration((d.cfg.FarFactor - 1) * float64(w.step.Stage.GetEstimateMs()) * float64(time.Millisecond))
	return d.now-w.since < longer/2 && d.fleet.HasRack(w.want, w.want.Affinity)
}
