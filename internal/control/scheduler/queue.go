package scheduler

import (
	"cmp"
	"slices"
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
)

// queue holds the steps of a service that have tasks to start, in the order in which they are served.
type queue struct {
	service       string
	entries       []entry
	steps         map[*jobs.Step]*waitingStep
	headroom      *placement.Headroom
	waitingDemand map[int]placement.Resources // what waiting tasks ask for, by priority
	runningDemand map[int]placement.Resources // what runs hold, by priority
	waitingTasks  int                         // that wait, as far as they have been counted
	hasNewSteps   bool                        // steps were added since the last pass
}

// entry is a step with what its tasks ask for. A pass goes over many steps that no runner has room for; what it
// needs to know of those lies side by side.
type entry struct {
	demand placement.Resources
	*waitingStep
}

type waitingStep struct {
	step         *jobs.Step
	request      *placement.Request // what its tasks ask of a runner
	priority     int
	since        time.Duration // when it became ready
	objective    objective
	class        deadlineClass
	scanFrom     int // tasks before this one do not wait
	countedTasks int // its tasks in the queue's sums
}

// compare orders steps by priority; of equal ones those go first that can still be in time, the most
// pressing before others.
func (w *waitingStep) compare(other *waitingStep) int {
	return cmp.Or(cmp.Compare(w.priority, other.priority), cmp.Compare(w.class, other.class), cmp.Compare(w.objective.softDeadlineMs, other.objective.softDeadlineMs),
		cmp.Compare(w.step.Job.Sequence, other.step.Job.Sequence), cmp.Compare(w.step.Occurrence.Number, other.step.Occurrence.Number), cmp.Compare(w.step.Number, other.step.Number))
}

func compareEntries(w, other entry) int { return w.compare(other.waitingStep) }

// startable tells whether a step has tasks that may be started. What it depends on stays done, so that only the end of
// its job takes that back.
func (w *waitingStep) startable() bool { return w.step.Waiting > 0 && !w.step.Job.State.Final() }

func newQueue(service string) *queue {
	return &queue{service: service, steps: make(map[*jobs.Step]*waitingStep), headroom: placement.NewHeadroom(), waitingDemand: make(map[int]placement.Resources),
		runningDemand: make(map[int]placement.Resources)}
}

// add puts a step in its place; one that waits already has more tasks waiting. It returns how many were added.
func (q *queue) add(w *waitingStep) int {
	q.hasNewSteps = true
	if existing := q.steps[w.step]; existing != nil {
		existing.scanFrom = 0
		return q.recount(existing)
	}
	q.steps[w.step] = w
	e := entry{demand: w.request.Demand, waitingStep: w}
	at, _ := slices.BinarySearchFunc(q.entries, e, compareEntries)
	q.entries = slices.Insert(q.entries, at, e)
	return q.recount(w)
}

// recount brings the sums up to date with a step, and returns by how much the step's tasks have grown.
func (q *queue) recount(w *waitingStep) (grown int) {
	now := 0
	if w.startable() {
		now = w.step.Waiting
	}
	delta := now - w.countedTasks
	if delta == 0 {
		return 0
	}
	w.countedTasks = now
	q.waitingTasks += delta
	q.waitingDemand[w.priority] = q.waitingDemand[w.priority].Plus(w.request.Demand.Times(delta))
	return max(0, delta)
}

// updateOrRemove counts a step, and tells whether it waits no longer; the queue has forgotten it then.
func (q *queue) updateOrRemove(w *waitingStep) (removed bool) {
	q.recount(w)
	if w.startable() {
		return false
	}
	delete(q.steps, w.step)
	return true
}

// reclassify drops the steps that wait no longer and moves those that have become late. Unlike a pass it looks at
// every step.
func (q *queue) reclassify(wallMs int64) {
	changed := false
	q.entries = slices.DeleteFunc(q.entries, func(e entry) bool {
		if now := e.objective.class(wallMs); now != e.class {
			e.class, changed = now, true
		}
		return q.updateOrRemove(e.waitingStep)
	})
	if changed {
		slices.SortFunc(q.entries, compareEntries)
	}
}

// updateHeadroom tells the reserve what each priority holds and waits for.
func (q *queue) updateHeadroom(now time.Duration) {
	for priority, resources := range q.waitingDemand {
		q.headroom.Observe(priority, q.runningDemand[priority], resources, now)
	}
	for priority, running := range q.runningDemand {
		if _, existing := q.waitingDemand[priority]; !existing {
			q.headroom.Observe(priority, running, placement.Resources{}, now)
		}
	}
}
