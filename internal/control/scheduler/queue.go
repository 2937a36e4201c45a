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
	service string
	entries []entry
	steps   map[*jobs.Step]*waitingStep
	reserve *placement.Reserve
	waiting map[int]placement.Resources // what waiting tasks ask for, by priority
	running map[int]placement.Resources // what runs hold, by priority
	tasks   int                         // that wait, as far as they have been counted
	fresh   bool                        // steps were added since the last pass
}

// entry is a step with what its tasks ask for. A pass goes over many steps that no runner has room for; what it
// needs to know of those lies side by side.
type entry struct {
	demand placement.Resources
	*waitingStep
}

type waitingStep struct {
	step      *jobs.Step
	want      *placement.Want // what its tasks ask of a runner
	priority  int
	since     time.Duration // when it became ready
	objective objective
	lateness  lateness
	from      int // tasks before this one do not wait
	counted   int // its tasks in the queue's sums
}

// compare orders steps by priority; of equal ones those go first that can still be in time, the most
// pressing before others.
func (a *waitingStep) compare(b *waitingStep) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.objective.byMs, b.objective.byMs),
		cmp.Compare(a.step.Job.Sequence, b.step.Job.Sequence), cmp.Compare(a.step.Occasion.Number, b.step.Occasion.Number), cmp.Compare(a.step.Number, b.step.Number))
}

func compareEntries(a, b entry) int { return a.compare(b.waitingStep) }

// due tells whether a step has tasks that may be started. What it depends on stays done, so that only the end of
// its job takes that back.
func (a *waitingStep) due() bool { return a.step.Waiting > 0 && !a.step.Job.State.Final() }

func newQueue(service string) *queue {
	return &queue{service: service, steps: make(map[*jobs.Step]*waitingStep), reserve: placement.NewReserve(), waiting: make(map[int]placement.Resources),
		running: make(map[int]placement.Resources)}
}

// add puts a step in its place; one that waits already has more tasks waiting. It returns how many were added.
func (q *queue) add(w *waitingStep) int {
	q.fresh = true
	if known := q.steps[w.step]; known != nil {
		known.from = 0
		return q.count(known)
	}
	q.steps[w.step] = w
	e := entry{demand: w.want.Demand, waitingStep: w}
	at, _ := slices.BinarySearchFunc(q.entries, e, compareEntries)
	q.entries = slices.Insert(q.entries, at, e)
	return q.count(w)
}

// count brings the sums up to date with a step, and returns by how much the step's tasks have grown.
func (q *queue) count(w *waitingStep) (grown int) {
	now := 0
	if w.due() {
		now = w.step.Waiting
	}
	by := now - w.counted
	if by == 0 {
		return 0
	}
	w.counted = now
	q.tasks += by
	q.waiting[w.priority] = q.waiting[w.priority].Plus(w.want.Demand.Times(by))
	return max(0, by)
}

// settle counts a step, and tells whether it waits no longer; the queue has forgotten it then.
func (q *queue) settle(w *waitingStep) (gone bool) {
	q.count(w)
	if w.due() {
		return false
	}
	delete(q.steps, w.step)
	return true
}

// sweep drops the steps that wait no longer and moves those that have become late. Unlike a pass it looks at
// every step.
func (q *queue) sweep(wallMs int64) {
	changed := false
	q.entries = slices.DeleteFunc(q.entries, func(e entry) bool {
		if now := e.objective.lateness(wallMs); now != e.lateness {
			e.lateness, changed = now, true
		}
		return q.settle(e.waitingStep)
	})
	if changed {
		slices.SortFunc(q.entries, compareEntries)
	}
}

// observe tells the reserve what each priority holds and waits for.
func (q *queue) observe(now time.Duration) {
	for priority, resources := range q.waiting {
		q.reserve.Observe(priority, q.running[priority], resources, now)
	}
	for priority, running := range q.running {
		if _, known := q.waiting[priority]; !known {
			q.reserve.Observe(priority, running, placement.Resources{}, now)
		}
	}
}
