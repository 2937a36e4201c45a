package scheduler

import (
	"cmp"
	"slices"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
)

// queue holds the steps of a service that have tasks to start, in the order in which they are served.
type queue struct {
	waiting []waitingStep
	known   map[*jobs.Step]bool
}

type waitingStep struct {
	step     *jobs.Step
	priority int
}

func (a waitingStep) compare(b waitingStep) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.step.Job.Sequence, b.step.Job.Sequence),
		cmp.Compare(a.step.Occasion.Number, b.step.Occasion.Number), cmp.Compare(a.step.Number, b.step.Number))
}

// add puts a step in its place.
func (q *queue) add(w waitingStep) {
	if q.known[w.step] {
		return
	}
	q.known[w.step] = true
	at, _ := slices.BinarySearchFunc(q.waiting, w, waitingStep.compare)
	q.waiting = slices.Insert(q.waiting, at, w)
}

// place places what can be placed of all services.
func (d *Scheduler) place() {
	for _, s := range d.jobs.TakeReady() {
		q := d.queues[s.Job.Service]
		if q == nil {
			q = &queue{known: make(map[*jobs.Step]bool)}
			d.queues[s.Job.Service] = q
		}
		q.add(waitingStep{step: s, priority: d.priority(s.Job)})
	}
	for service, q := range d.queues {
		d.placeQueue(q)
		if len(q.waiting) == 0 {
			delete(d.queues, service)
		}
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
	var blocked blockedDemands
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if w.step.Waiting > 0 && w.step.Ready() {
			d.placeStep(w.step, &blocked)
		}
		if w.step.Waiting > 0 && w.step.Ready() {
			kept = append(kept, w)
		} else {
			delete(q.known, w.step)
		}
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

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
func (d *Scheduler) placeStep(s *jobs.Step, blocked *blockedDemands) {
	want := d.want(s)
	if blocked.covers(want) {
		return
	}
	if s.Stage.GetGang() {
		d.placeGang(s, want)
		return
	}
	for i := range s.Tasks {
		if s.Tasks[i].Phase != jobs.Waiting {
			continue
		}
		want.Avoid = s.Tasks[i].LastFailed
		r := d.fleet.Pick(want, d.now)
		if r == nil {
			if want.AntiAffinity == 0 {
				*blocked = append(*blocked, *want)
			}
			return
		}
		d.start(s, i, s.NextRun(i), r, s.Tasks[i].Saved)
	}
}

// placeGang starts all tasks of a gang or none.
func (d *Scheduler) placeGang(s *jobs.Step, want *placement.Want) {
	if !s.GangIdle() {
		return
	}
	names := make([]string, len(s.Tasks))
	for i := range s.Tasks {
		names[i] = s.TaskID(i)
		want.Avoid = cmp.Or(want.Avoid, s.Tasks[i].LastFailed)
	}
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

// want returns what a step's tasks ask of a runner.
func (d *Scheduler) want(s *jobs.Step) *placement.Want {
	return &placement.Want{Service: s.Job.Service, Demand: demandOf(s.Stage), Requirement: s.Stage.GetRequirements(), Affinity: s.Stage.GetAffinity(),
		AntiAffinity: int(s.Stage.GetAntiAffinity()), Group: groupOf(s)}
}

// start notes a run; its order goes out once that is committed.
func (d *Scheduler) start(s *jobs.Step, index int, run uint32, on *placement.Runner, saved string) {
	task := s.TaskID(index)
	d.fleet.Hold(on, task, demandOf(s.Stage), groupOf(s))
	d.jobs.Start(s, index, run, on.ID, d.wallMs)
	r := d.runner(on.ID)
	r.live[task] = liveRun{number: run, step: s, index: index, saved: saved, pending: true}
	d.batch.add(on.ID, task)
}

// stopRuns has the runs stopped whose jobs have ended.
func (d *Scheduler) stopRuns() {
	for _, run := range d.jobs.TakeStopped() {
		d.batch.drop(run.Runner, run.Task, run.Number)
	}
}
