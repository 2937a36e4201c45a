package scheduler

import (
	"container/heap"
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
)

// lookahead is how many steps of a line that can't be placed a pass between two ticks looks at before it
// leaves the others of the line to the next tick. It bounds what a pass costs where each step of a line has to
// be looked at by itself: where a rack is waited for, or room is kept for more urgent work.
const lookahead = 64

// verdict is what a pass does next with a line.
type verdict int

const (
	goOn    verdict = iota // the step was placed, or is in nobody's way
	passed                 // the step can't be placed, others of the line perhaps
	blocked                // no step of the line can be placed
)

// pass goes once through the lines of a queue, in the order of their steps.
type pass struct {
	d       *Scheduler
	queue   *queue
	whole   bool                // every step is looked at: time has passed
	doubts  bool                // some runner is distrusted
	room    placement.Resources // no runner has more of any resource free
	blocked []blockage
	hasRack map[*line]bool // whether the rack that a line waits for is there
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

// cursor is how far a pass has come in a line.
type cursor struct {
	line   *line
	at     int // of the step that is next
	kept   int // steps before it that wait on
	passed int // steps that could not be placed
}

func (c *cursor) next() *waitingStep { return c.line.steps[c.at] }

// advance goes on by one step, which is dropped from the line where it no longer waits.
func (c *cursor) advance(q *queue) {
	w := c.next()
	c.line.count(w)
	c.at++
	if !w.due() {
		delete(q.steps, w.step)
		return
	}
	c.line.steps[c.kept] = w
	c.kept++
}

// close takes the dropped steps out of the line.
func (c *cursor) close() {
	rest := copy(c.line.steps[c.kept:], c.line.steps[c.at:])
	clear(c.line.steps[c.kept+rest:])
	c.line.steps = c.line.steps[:c.kept+rest]
}

// cursors is a heap of lines by the steps that are next.
type cursors []*cursor

func (h cursors) Len() int           { return len(h) }
func (h cursors) Less(a, b int) bool { return h[a].next().compare(h[b].next()) < 0 }
func (h cursors) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push is part of heap.Interface.
func (h *cursors) Push(x any) { *h = append(*h, x.(*cursor)) }

// Pop is part of heap.Interface.
func (h *cursors) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// newPass returns a pass through a queue.
func (d *Scheduler) newPass(q *queue) *pass {
	return &pass{d: d, queue: q, whole: d.timePassed, doubts: d.fleet.Doubts(q.service), hasRack: make(map[*line]bool)}
}

// run offers the service's runners to the steps in order. Lines that ask for more than any runner has free are not
// looked into.
func (p *pass) run() {
	p.room = p.d.fleet.MostFree(p.queue.service)
	var open cursors
	for i := range p.queue.all {
		if e := &p.queue.all[i]; e.demand.Fits(p.room) && len(e.line.steps) > 0 {
			open = append(open, &cursor{line: e.line})
		}
	}
	heap.Init(&open)
	for len(open) > 0 {
		c := open[0]
		if p.visit(c) && c.at < len(c.line.steps) {
			heap.Fix(&open, 0)
			continue
		}
		heap.Pop(&open)
		c.close()
	}
}

// visit places what can be placed of the step that is next in a line, and tells whether the line goes on.
func (p *pass) visit(c *cursor) bool {
	if !c.line.shape.demand.Fits(p.room) {
		return false
	}
	w := c.next()
	found := goOn
	if w.due() {
		found = p.placeStep(w)
	}
	if found == blocked {
		c.line.count(w)
		return false
	}
	c.advance(p.queue)
	if found == passed {
		c.passed++
	}
	return p.whole || c.passed < lookahead
}

// placeStep starts as many of a step's waiting tasks as there is room for.
func (p *pass) placeStep(w *waitingStep) verdict {
	w.want.Rack, w.want.LastAttempt = "", false
	if p.covered(blockageOf(w)) {
		return blocked
	}
	if !p.d.leavesRoom(p.queue, w) {
		return passed
	}
	if w.want.Gang {
		return p.placeGang(w)
	}
	if p.waitsForRack(w) {
		w.want.Rack = w.want.Affinity
	}
	return p.placeTasks(w)
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
func (p *pass) placeTasks(w *waitingStep) verdict {
	refused := 0
	for i := w.firstWaiting(); i < len(w.step.Tasks); i++ {
		if w.step.Tasks[i].Phase != jobs.Waiting {
			continue
		}
		switch p.placeTask(w, i) {
		case blocked:
			return p.block(w)
		case passed:
			refused++
		}
		if refused >= mostRefused || !p.d.leavesRoom(p.queue, w) {
			return passed
		}
	}
	if refused > 0 {
		return passed
	}
	return goOn
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
		return goOn
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
func (p *pass) block(w *waitingStep) verdict {
	if w.want.AntiAffinity > 0 {
		alike := *w.want
		alike.AntiAffinity = 0
		if p.d.fleet.Pick(&alike, p.d.now) != nil {
			return passed // only for this step, whose tasks lie there already
		}
	}
	p.note(blockageOf(w))
	if w.want.Rack != "" {
		return passed
	}
	return blocked
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
func (p *pass) waitsForRack(w *waitingStep) bool {
	if w.want.Affinity == "" {
		return false
	}
	longer := time.Duration((p.d.cfg.FarFactor - 1) * float64(w.step.Stage.GetEstimateMs()) * float64(time.Millisecond))
	return p.d.now-w.since < longer/2 && p.rackThere(w)
}

// rackThere tells whether the rack where a step's data lies has a runner for its tasks.
func (p *pass) rackThere(w *waitingStep) bool {
	there, known := p.hasRack[w.line]
	if !known {
		there = p.d.fleet.HasRack(w.want, w.want.Affinity)
		p.hasRack[w.line] = there
	}
	return there
}
