package scheduler

import (
	"cmp"
	"slices"
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
)

// queue holds the steps of a service that have tasks to start, in the order in which passes visit them.
type queue struct {
	service     string
	entries     []entry                     // in the order of waitingStep.compare
	steps       map[*jobs.Step]*waitingStep // the same steps, for lookup
	hasNewSteps bool                        // steps were added since the last pass

	stepsWithoutCPU int // number of steps whose tasks need no CPU

	// Totals, kept up to date by recount and Scheduler.countRunning.
	waitingTasks  int
	waitingDemand map[int]placement.Resources // of waiting tasks, by priority
	runningDemand map[int]placement.Resources // of runs, by priority
	headroom      *placement.Headroom         // capacity to keep free for more urgent priorities
}

// entry is a step with a copy of the demand of each of its tasks. A pass visits many steps that fit no runner, and reads
// only this copy for them: adjacent entries are contiguous in memory.
type entry struct {
	demand placement.Resources
	*waitingStep
}

// waitingStep is a step that has tasks to start.
type waitingStep struct {
	step    *jobs.Step
	request *placement.Request // for its tasks; a pass sets the fields that differ between tasks

	// Sort keys.
	priority  int
	class     deadlineClass
	objective objective

	since        time.Duration // when it became ready
	scanFrom     int           // no task with a lower index is waiting
	countedTasks int           // number of its tasks that are included in the queue's totals
}

// compare orders steps by priority, then by deadline class, then by soft deadline. Ties are broken by the order in which
// the jobs were accepted.
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

// compareEntries orders entries in the order of their steps.
func compareEntries(a, b entry) int { return a.compare(b.waitingStep) }

// startable reports whether a step has tasks that may be started. The steps that it depends on stay done, so only the end
// of its job can prevent the start of its waiting tasks.
func (w *waitingStep) startable() bool { return w.step.Waiting > 0 && !w.step.Job.State.Final() }

// firstWaiting returns the index of the step's first waiting task, or the number of its tasks if none is waiting.
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

// add inserts a step in order and returns the number of waiting tasks that it adds. A step that is already in the queue
// has further tasks to start; it keeps its position.
func (q *queue) add(w *waitingStep) int {
	q.hasNewSteps = true
	if existing := q.steps[w.step]; existing != nil {
		existing.scanFrom = 0
		return q.recount(existing)
	}
	q.steps[w.step] = w
	if w.request.Demand.CPU == 0 {
		q.stepsWithoutCPU++
	}
	e := entry{demand: w.request.Demand, waitingStep: w}
	at, _ := slices.BinarySearchFunc(q.entries, e, compareEntries)
	q.entries = slices.Insert(q.entries, at, e)
	return q.recount(w)
}

// recount updates the queue's totals for a step, and returns by how much its number of waiting tasks has grown.
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

// updateOrRemove updates the queue's totals for a step. If the step has no task left to start, updateOrRemove deletes it
// from steps and returns true; the caller then removes its entry.
func (q *queue) updateOrRemove(w *waitingStep) (removed bool) {
	q.recount(w)
	if w.startable() {
		return false
	}
	delete(q.steps, w.step)
	if w.request.Demand.CPU == 0 {
		q.stepsWithoutCPU--
	}
	return true
}

// reclassify updates the deadline classes of all steps, restores their order, and removes the steps that have no task
// left to start. Unlike a pass it visits every step.
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

// updateHeadroom passes the running and waiting demand of each priority to the headroom estimator.
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

// oldest returns the step that has waited longest, or nil if no step is waiting.
func (q *queue) oldest() *waitingStep {
	var oldest *waitingStep
	for _, w := range q.steps {
		if w.startable() && (oldest == nil || w.since < oldest.since || w.since == oldest.since && w.compare(oldest) < 0) {
			oldest = w
		}
	}
	return oldest
}
