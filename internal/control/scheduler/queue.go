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
	service     string
	entries     []entry                     // in the order of waitingStep.compare
	steps       map[*jobs.Step]*waitingStep // the same steps
	hasNewSteps bool                        // since the last pass

	// Totals, kept up to date by recount and Scheduler.countRunning.
	waitingTasks  int
	waitingDemand map[int]placement.Resources // of waiting tasks, by priority
	runningDemand map[int]placement.Resources // of runs, by priority
	headroom      *placement.Headroom         // capacity kept for more urgent priorities
}

// entry is a step with the demand of its tasks. A pass goes over many steps that fit no runner; what it needs to know
// of those lies side by side in memory.
type entry struct {
	demand placement.Resources
	*waitingStep
}

// waitingStep is a step that has tasks to start.
type waitingStep struct {
	step    *jobs.Step
	request *placement.Request // of its tasks; a pass sets the fields that differ between them

	// What it is ordered by.
	priority  int
	class     deadlineClass
	objective objective

	since        time.Duration // when it became ready
	scanFrom     int           // no task with a lower index waits
	countedTasks int           // in the queue's totals
}

// compare orders steps by priority, then by deadline class, then by deadline. Steps of equal urgency go by the
// acceptance of their jobs.
func (w *waitingStep) compare(other *waitingStep) int {
	return cmp.Or(
		cmp.Compare(w.priority, other.priority),
		cmp.Compare(w.class, other.class),
		cmp.Compare(w.objective.softDeadlineMs, other.objective.softDeadlineMs),
		cmp.Compare(w.step.Job.Sequence, other.step.Job.Sequence),
		cmp.Compare(w.step.Occurrence.Number, other.step.Occurrence.Number),
		cmp.Compare(w.step.Number, other.step.Number),
	)
}

// compareEntries orders entries as their steps.
func compareEntries(a, b entry) int { return a.compare(b.waitingStep) }

// startable reports whether a step has tasks that may be started. The steps that it depends on stay done, so that only
// the end of its job changes that.
func (w *waitingStep) startable() bool { return w.step.Waiting > 0 && !w.step.Job.State.Final() }

// firstWaiting returns the index of the first of the step's tasks that may wait.
func (w *waitingStep) firstWaiting() int {
	for w.scanFrom < len(w.step.Tasks) && w.step.Tasks[w.scanFrom].Phase != jobs.Waiting {
		w.scanFrom++
	}
	return w.scanFrom
}

// newQueue returns the empty queue of a service.
func newQueue(service string) *queue {
	return &queue{
		service:       service,
		steps:         make(map[*jobs.Step]*waitingStep),
		waitingDemand: make(map[int]placement.Resources),
		runningDemand: make(map[int]placement.Resources),
		headroom:      placement.NewHeadroom(),
	}
}

// add inserts a step by its order, and returns how many tasks that adds. A step that is in the queue already has got
// further tasks to start; it keeps its order.
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

// recount brings the totals up to date with a step, and returns by how many its waiting tasks have grown.
func (q *queue) recount(w *waitingStep) (grown int) {
	tasks := 0
	if w.startable() {
		tasks = w.step.Waiting
	}
	delta := tasks - w.countedTasks
	if delta == 0 {
		return 0
	}
	w.countedTasks = tasks
	q.waitingTasks += delta
	q.waitingDemand[w.priority] = q.waitingDemand[w.priority].Plus(w.request.Demand.Times(delta))
	return max(0, delta)
}

// updateOrRemove brings the totals up to date with a step, and reports whether it has nothing to start any more. Then
// it is no longer among the queue's steps, and the caller removes its entry.
func (q *queue) updateOrRemove(w *waitingStep) (removed bool) {
	q.recount(w)
	if w.startable() {
		return false
	}
	delete(q.steps, w.step)
	return true
}

// reclassify removes the steps that have nothing to start, and reorders those whose deadline class has changed. Unlike
// a pass it looks at every step.
func (q *queue) reclassify(wallMs int64) {
	changed := false
	q.entries = slices.DeleteFunc(q.entries, func(e entry) bool {
		if class := e.objective.class(wallMs); class != e.class {
			e.class, changed = class, true
		}
		return q.updateOrRemove(e.waitingStep)
	})
	if changed {
		slices.SortFunc(q.entries, compareEntries)
	}
}

// updateHeadroom reports to the headroom what each priority uses and waits for.
func (q *queue) updateHeadroom(now time.Duration) {
	for priority, waiting := range q.waitingDemand {
		q.headroom.Observe(priority, q.runningDemand[priority], waiting, now)
	}
	for priority, running := range q.runningDemand {
		if _, observed := q.waitingDemand[priority]; !observed {
			q.headroom.Observe(priority, running, placement.Resources{}, now)
		}
	}
}

// oldest returns the step that has waited longest, nil where none waits.
func (q *queue) oldest() *waitingStep {
	var oldest *waitingStep
	for _, w := range q.steps {
		if w.startable() && (oldest == nil || w.since < oldest.since || w.since == oldest.since && w.compare(oldest) < 0) {
			oldest = w
		}
	}
	return oldest
}
