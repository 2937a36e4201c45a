package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
)

// queue holds the steps of a service that have tasks to start, in the order in which they are served.
type queue struct {
	service string
	waiting []waitingStep
	known   map[*jobs.Step]bool
	reserve *placement.Reserve
	running map[int]placement.Resources // what runs hold, by priority
	fresh   bool                        // steps were added since the last pass
}

type waitingStep struct {
	step      *jobs.Step
	want      *placement.Want // what its tasks ask of a runner
	priority  int
	since     time.Duration // when it became ready
	objective objective
	lateness  lateness
}

// compare orders steps by priority; of equal ones those go first that can still be in time, the most
// pressing before others.
func (a waitingStep) compare(b waitingStep) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.objective.byMs, b.objective.byMs),
		cmp.Compare(a.step.Job.Sequence, b.step.Job.Sequence), cmp.Compare(a.step.Occasion.Number, b.step.Occasion.Number), cmp.Compare(a.step.Number, b.step.Number))
}

// add puts a step in its place.
func (q *queue) add(w waitingStep) {
	q.fresh = true
	if q.known[w.step] {
		return
	}
	q.known[w.step] = true
	at, _ := slices.BinarySearchFunc(q.waiting, w, waitingStep.compare)
	q.waiting = slices.Insert(q.waiting, at, w)
}

// reorder moves the steps that have become late since the last pass.
func (q *queue) reorder(wallMs int64) {
	changed := false
	for i := range q.waiting {
		w := &q.waiting[i]
		if now := w.objective.lateness(wallMs); now != w.lateness {
			w.lateness, changed = now, true
		}
	}
	if changed {
		slices.SortFunc(q.waiting, waitingStep.compare)
	}
}

// place places what can be placed of all services. A queue is gone through when a step has come to it, or
// when something has changed by which a blocked task may be placed; what turns on time alone waits for the
// next tick.
func (d *Scheduler) place() {
	for _, s := range d.jobs.TakeReady() {
		w := waitingStep{step: s, want: wantOf(s), priority: d.priority(s.Job), since: d.now, objective: d.objective(s)}
		w.lateness = w.objective.lateness(d.wallMs)
		d.queue(s.Job.Service).add(w)
	}
	all := d.timePassed || d.fleet.Changes() != d.placedAt
	for _, service := range slices.Sorted(maps.Keys(d.queues)) {
		if q := d.queues[service]; all || q.fresh {
			d.placeQueue(q)
		}
	}
	if all {
		d.timePassed, d.placedAt = false, d.fleet.Changes()
	}
}

// queue returns the queue of a service.
func (d *Scheduler) queue(service string) *queue {
	q := d.queues[service]
	if q == nil {
		q = &queue{service: service, known: make(map[*jobs.Step]bool), reserve: placement.NewReserve(), running: make(map[int]placement.Resources)}
		d.queues[service] = q
	}
	return q
}

// observe tells the reserve what each priority holds and waits for.
func (q *queue) observe(now time.Duration) {
	waiting := make(map[int]placement.Resources)
	for i := 0; i < len(q.waiting); { // steps of a priority stand together
		priority, sum := q.waiting[i].priority, placement.Resources{}
		for ; i < len(q.waiting) && q.waiting[i].priority == priority; i++ {
			if w := &q.waiting[i]; w.due() {
				sum = sum.Plus(w.want.Demand.Times(w.step.Waiting))
			}
		}
		waiting[priority] = sum
	}
	for priority := range q.running {
		waiting[priority] = waiting[priority].Plus(placement.Resources{})
	}
	for priority, resources := range waiting {
		q.reserve.Observe(priority, q.running[priority], resources, now)
	}
}

// priority returns the priority of a job's queue; a queue that is gone comes last.
func (d *Scheduler) priority(j *jobs.Job) int {
	if r := d.config.Route(j.Queue); r != nil {
		return r.Priority
	}
	return lastPriority
}

const lastPriority = 1 << 20

// placeQueue offers the service's runners to its steps in order. Steps that ask for at least as much as
// one that was blocked are passed over.
func (d *Scheduler) placeQueue(q *queue) {
	q.fresh = false
	if len(q.waiting) == 0 {
		return
	}
	q.observe(d.now)
	if d.timePassed {
		q.reorder(d.wallMs)
	}
	var blocked blockedDemands
	kept := 0
	for i := range q.waiting {
		w := &q.waiting[i]
		if w.due() {
			d.placeStep(q, w, &blocked)
		}
		if !w.due() {
			delete(q.known, w.step)
			continue
		}
		if kept < i {
			q.waiting[kept] = *w
		}
		kept++
	}
	clear(q.waiting[kept:])
	q.waiting = q.waiting[:kept]
}

// due tells whether a step has tasks that may be started. What it depends on stays done, so that only the end of
// its job takes that back.
func (a *waitingStep) due() bool { return a.step.Waiting > 0 && !a.step.Job.State.Final() }

// blockedDemands are the demands that no runner had room for in this pass.
type blockedDemands []placement.Want

// covers tells whether a want asks for at least as much as one that was blocked.
func (b blockedDemands) covers(w *placement.Want) bool {
	for i := range b {
		if b[i].Demand.Fits(w.Demand) && (b[i].Requirement == "" || b[i].Requirement == w.Requirement) {
			return true
		}
	}
	return false
}

// placeStep starts as many of a step's waiting tasks as there is room for.
func (d *Scheduler) placeStep(q *queue, w *waitingStep, blocked *blockedDemands) {
	s := w.step
	want := w.want
	if blocked.covers(want) || !d.leavesRoom(q, w, want) {
		return
	}
	if s.Stage.GetGang() {
		d.placeGang(s, want)
		return
	}
	want.Rack = ""
	if d.waitsForRack(w, want) {
		want.Rack = want.Affinity
	}
	for i := range s.Tasks {
		if s.Tasks[i].Phase != jobs.Waiting {
			continue
		}
		want.Avoid, want.LastAttempt = s.Tasks[i].LastFailed, s.Failures(i)+1 >= d.maxAttempts(s.Job.ID)
		r := d.fleet.Pick(want, d.now)
		if r == nil {
			if want.AntiAffinity == 0 && want.Rack == "" {
				*blocked = append(*blocked, *want)
			}
			return
		}
		d.start(s, i, s.NextRun(i), r, s.Tasks[i].Saved)
		if !d.leavesRoom(q, w, want) {
			return
		}
	}
}

// leavesRoom tells whether a task may be placed without taking what is kept for more urgent work.
func (d *Scheduler) leavesRoom(q *queue, w *waitingStep, want *placement.Want) bool {
	if w.step.Job.Live() == 0 && d.now-w.since > reservePatience {
		return true
	}
	room := q.reserve.Room(w.priority)
	return room == (placement.Resources{}) || want.Demand.Plus(room).Fits(d.fleet.FreeOf(q.service))
}

// reservePatience is how long a job that runs nothing waits for more urgent work that has not come; the
// rules say that a job with room for it runs something after 3 s.
const reservePatience = 1500 * time.Millisecond

// waitsForRack tells whether a step's tasks had better wait a little for the rack where their data lies:
// for a part of the time that the work would take longer elsewhere.
func (d *Scheduler) waitsForRack(w *waitingStep, want *placement.Want) bool {
	if want.Affinity == "" {
		return false
	}
	longer := time.Duration((d.cfg.FarFactor - 1) * float64(w.step.Stage.GetEstimateMs()) * float64(time.Millisecond))
	return d.now-w.since < longer/2 && d.fleet.HasRack(want, want.Affinity)
}

// placeGang starts all tasks of a gang or none.
func (d *Scheduler) placeGang(s *jobs.Step, want *placement.Want) {
	if !s.GangIdle() {
		return
	}
	want.Avoid = ""
	names := make([]string, len(s.Tasks))
	for i := range s.Tasks {
		names[i] = s.TaskID(i)
		want.Avoid = cmp.Or(want.Avoid, s.Tasks[i].LastFailed)
	}
	want.LastAttempt = s.Failures(0)+1 >= d.maxAttempts(s.Job.ID)
	picked := d.fleet.PickGang(want, names, s.Stage.GetSameRack(), d.now)
	if picked == nil && s.Stage.GetSameRack() {
		picked = d.fleet.PickGang(want, names, false, d.now)
	}
	if picked == nil {
		return
	}
	run, saved := s.NextRun(0), s.GangSaved()
	for i, r := range picked {
		d.start(s, i, run, r, saved)
	}
}

// wantOf returns what a step's tasks ask of a runner.
func wantOf(s *jobs.Step) *placement.Want {
	return &placement.Want{Service: s.Job.Service, Demand: demandOf(s.Stage), Requirement: s.Stage.GetRequirements(), Affinity: s.Stage.GetAffinity(),
		AntiAffinity: int(s.Stage.GetAntiAffinity()), Group: groupOf(s), Gang: s.Stage.GetGang()}
}

// start notes a run; its order goes out once that is committed.
func (d *Scheduler) start(s *jobs.Step, index int, run uint32, on *placement.Runner, saved string) {
	task := s.TaskID(index)
	d.fleet.Hold(on, task, demandOf(s.Stage), groupOf(s))
	d.countRunning(s, 1)
	d.jobs.Start(s, index, run, on.ID, d.wallMs)
	r := d.runner(on.ID)
	r.live[task] = liveRun{number: run, step: s, index: index, saved: saved, began: d.now, pending: true}
	d.batch.add(on.ID, task)
}

// countRunning counts what a step's task holds, or holds no longer.
func (d *Scheduler) countRunning(s *jobs.Step, by int) {
	q, priority := d.queue(s.Job.Service), d.priority(s.Job)
	q.running[priority] = q.running[priority].Plus(demandOf(s.Stage).Times(by))
}

// stopRuns has the runs stopped whose jobs have ended.
func (d *Scheduler) stopRuns() {
	for _, run := range d.jobs.TakeStopped() {
		d.batch.drop(run.Runner, run.Task, run.Number)
	}
}
