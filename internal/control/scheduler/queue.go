package scheduler

import (
	"cmp"
	"slices"
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
)

// queue holds the steps of a service that have tasks to start. Steps that ask for the same of a runner stand
// in one line: where the first of them is blocked so are the others, and none of them needs to be looked at.
type queue struct {
	service string
	lines   map[shape]*line
	all     []lineEntry                 // the lines, in no order
	waiting map[int]placement.Resources // what the lines' tasks ask for, by priority
	steps   map[*jobs.Step]*waitingStep
	reserve *placement.Reserve
	running map[int]placement.Resources // what runs hold, by priority
	fresh   bool                        // steps were added since the last pass
}

// shape is what the tasks of a line's steps have in common.
type shape struct {
	priority     int
	demand       placement.Resources
	requirement  string
	affinity     string
	antiAffinity int
	gang         int // members, 0 for tasks that are placed one by one
}

// lineEntry is a line with what its tasks ask for. Where hardly two jobs ask for the same there are as many lines as
// steps; what is known of a line without looking into it lies side by side.
type lineEntry struct {
	demand placement.Resources
	line   *line
}

// line is the steps of one shape, in the order in which they are served.
type line struct {
	queue *queue
	shape shape
	steps []*waitingStep
	tasks int // that wait, as far as they have been counted
}

type waitingStep struct {
	step      *jobs.Step
	line      *line
	want      *placement.Want // what its tasks ask of a runner
	priority  int
	since     time.Duration // when it became ready
	objective objective
	lateness  lateness
	from      int // tasks before this one do not wait
	counted   int // its tasks in the line's sum
}

// compare orders steps by priority; of equal ones those go first that can still be in time, the most
// pressing before others.
func (a *waitingStep) compare(b *waitingStep) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.objective.byMs, b.objective.byMs),
		cmp.Compare(a.step.Job.Sequence, b.step.Job.Sequence), cmp.Compare(a.step.Occasion.Number, b.step.Occasion.Number), cmp.Compare(a.step.Number, b.step.Number))
}

// due tells whether a step has tasks that may be started. What it depends on stays done, so that only the end of
// its job takes that back.
func (a *waitingStep) due() bool { return a.step.Waiting > 0 && !a.step.Job.State.Final() }

// shape returns what a step's line is known by.
func (a *waitingStep) shape() shape {
	s := shape{priority: a.priority, demand: a.want.Demand, requirement: a.want.Requirement, affinity: a.want.Affinity, antiAffinity: a.want.AntiAffinity}
	if a.want.Gang {
		s.gang = len(a.step.Tasks)
	}
	return s
}

func newQueue(service string) *queue {
	return &queue{service: service, lines: make(map[shape]*line), waiting: make(map[int]placement.Resources), steps: make(map[*jobs.Step]*waitingStep), reserve: placement.NewReserve(),
		running: make(map[int]placement.Resources)}
}

// add puts a step in its place; one that waits already has more tasks waiting. It returns how many were added.
func (q *queue) add(w *waitingStep) int {
	q.fresh = true
	if known := q.steps[w.step]; known != nil {
		known.from = 0
		return known.line.count(known)
	}
	q.steps[w.step] = w
	l := q.lines[w.shape()]
	if l == nil {
		l = &line{queue: q, shape: w.shape()}
		q.lines[l.shape] = l
		q.all = append(q.all, lineEntry{demand: l.shape.demand, line: l})
	}
	w.line = l
	at, _ := slices.BinarySearchFunc(l.steps, w, (*waitingStep).compare)
	l.steps = slices.Insert(l.steps, at, w)
	return l.count(w)
}

// count brings the line's sum up to date with a step, and returns by how much the step's tasks have grown.
func (l *line) count(w *waitingStep) (grown int) {
	now := 0
	if w.due() {
		now = w.step.Waiting
	}
	by := now - w.counted
	if by == 0 {
		return 0
	}
	l.tasks += by
	w.counted = now
	l.queue.waiting[l.shape.priority] = l.queue.waiting[l.shape.priority].Plus(l.shape.demand.Times(by))
	return max(0, by)
}

// sweep drops the steps that wait no longer and moves those that have become late. Unlike a pass it looks at
// every step.
func (q *queue) sweep(wallMs int64) {
	q.all = slices.DeleteFunc(q.all, func(e lineEntry) bool {
		e.line.drop()
		e.line.reorder(wallMs)
		if len(e.line.steps) > 0 {
			return false
		}
		delete(q.lines, e.line.shape)
		return true
	})
}

// drop takes out of the line what waits no longer.
func (l *line) drop() {
	l.steps = slices.DeleteFunc(l.steps, func(w *waitingStep) bool {
		l.count(w)
		if w.due() {
			return false
		}
		delete(l.queue.steps, w.step)
		return true
	})
}

// reorder moves the steps that have become late.
func (l *line) reorder(wallMs int64) {
	changed := false
	for _, w := range l.steps {
		if now := w.objective.lateness(wallMs); now != w.lateness {
			w.lateness, changed = now, true
		}
	}
	if changed {
		slices.SortFunc(l.steps, (*waitingStep).compare)
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

// inOrder returns the steps that wait, in the order in which they are served.
func (q *queue) inOrder() []*waitingStep {
	var out []*waitingStep
	for _, e := range q.all {
		out = append(out, e.line.steps...)
	}
	slices.SortFunc(out, (*waitingStep).compare)
	return out
}
