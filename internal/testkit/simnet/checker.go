package simnet

import (
	"strings"
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
)

const (
	contact    = 3 * time.Second // in which nothing has happened to a machine in touch
	cancelTime = 3 * time.Second
	earlyTime  = 250 * time.Millisecond
	drainTime  = 2 * time.Second
	visible    = 3 * time.Second
)

// fact is a run as the checker knows it, whatever became of its runner.
type fact struct {
	runner  *runner
	run     *run
	started time.Duration
	ended   time.Duration
	how     string // empty while it runs
	number  uint64 // of its end
	lapsed  bool   // its runner's hold ran out after its end and before that was noted
	noted   bool
}

// checker checks the rules.
type checker struct {
	world *world
	jobs  map[string]*job
	facts map[string][]*fact // by task
	// clocksLost tells that a member was started while most clocks were wrong. Where no other has kept the time, it
	// can't know better, and timed jobs may start too early.
	clocksLost bool
}

func (w *world) newChecker() *checker {
	return &checker{world: w, jobs: make(map[string]*job), facts: make(map[string][]*fact)}
}

// noteClocks notes that a member starts.
func (c *checker) noteClocks() {
	wrong := 0
	for _, one := range c.world.cores {
		if one.clock > 0 {
			wrong++
		}
	}
	if 2*wrong >= len(c.world.cores) {
		c.clocksLost = true
	}
}

// started checks a start.
func (c *checker) started(r *runner, one *run, o *protocol.RunOrder) {
	w := c.world
	w.report.Starts++
	name, ok := jobs.ParseTask(o.GetTask())
	j := c.jobs[name.Job]
	if !ok || j == nil || name.Step >= len(j.stages) || name.Occasion >= j.occasions || name.Index >= int(j.stages[name.Step].Count) {
		w.broken("UNASKED", "%s starts %s, which nobody has sent", r.id, o.GetTask())
		return
	}
	one.job, one.name = j, taskName{occasion: name.Occasion, step: name.Step, index: name.Index}
	c.checkOrder(r, one, o)
	c.checkOthers(r, one)
	c.checkRoom(r, one)
	c.facts[one.task] = append(c.facts[one.task], &fact{runner: r, run: one, started: w.now})
	c.checkNoted(one.task)
}

// checkOrder checks what a start says for itself.
func (c *checker) checkOrder(r *runner, one *run, o *protocol.RunOrder) {
	w, j := c.world, one.job
	st := j.stage(one.name)
	switch {
	case o.GetSpec() != j.spec:
		w.broken("UNASKED", "%s starts %s with another text", r.id, one.task)
	case o.GetSaved() != "" && !strings.HasPrefix(o.GetSaved(), "saved of "+j.id+"."):
		w.broken("UNASKED", "%s starts %s with a checkpoint of another task", r.id, one.task)
	case j.acked == 0 && j.open == 0 && j.unclear == 0 && j.rejected > 0:
		w.broken("REFUSED", "%s starts %s, of a job that was refused", r.id, one.task)
	case j.cancelAck > 0 && w.now > j.cancelAck+cancelTime && w.calmFor(contact):
		w.broken("UNASKED", "%s starts %s after its job was canceled", r.id, one.task)
	case r.service != j.service:
		w.broken("ROUTE", "%s of %s starts %s of %s", r.id, r.service, one.task, j.service)
	case st.Requirements != "" && r.labels[0] != st.Requirements:
		w.broken("ROUTE", "%s starts %s, which asks for label %s", r.id, one.task, st.Requirements)
	case r.drainAcked > 0 && w.now > r.drainAcked+drainTime && w.calmFor(contact):
		w.broken("DRAIN", "%s starts %s though it drains", r.id, one.task)
	}
	due := time.Duration(j.startAtMs-dayBeginsMs+int64(one.name.occasion)*j.intervalMs) * time.Millisecond
	if j.startAtMs > 0 && w.now < due-earlyTime && !c.clocksLost {
		w.broken("ORDER", "%s starts %s %v before its time", r.id, one.task, due-w.now)
	}
	for _, d := range st.DependsOn {
		if !c.stepDone(j, one.name.occasion, int(d)) {
			w.broken("ORDER", "%s starts %s before step %d is done", r.id, one.task, d)
		}
	}
}

// stepDone tells whether all tasks of a step have ended well.
func (c *checker) stepDone(j *job, occasion, step int) bool {
	st := j.stages[step]
	any := false
	for index := range int(st.Count) {
		done := false
		for _, f := range c.facts[taskID(j, occasion, step, index)] {
			done = done || f.how == string(jobs.EndDone)
		}
		any = any || done
		if !done && !st.Gang {
			return false
		}
	}
	return any
}

func taskID(j *job, occasion, step, index int) string {
	s := &jobs.Step{Job: &jobs.Job{ID: j.id}, Occasion: &jobs.Occasion{Number: occasion}, Number: step}
	return s.TaskID(index)
}

// checkOthers checks a start against the other runs of the task and of its step.
func (c *checker) checkOthers(r *runner, one *run) {
	w := c.world
	for _, f := range c.facts[one.task] {
		if f.how == "" && f.runner.up {
			w.broken("TWICE", "%s starts run %d of %s while run %d goes on at %s", r.id, one.number, one.task, f.run.number, f.runner.id)
		}
	}
	st := one.job.stage(one.name)
	if st.AntiAffinity == 0 {
		return
	}
	same := 0
	for _, other := range r.running {
		if other.job == one.job && other.name.step == one.name.step && other.name.occasion == one.name.occasion {
			same++
		}
	}
	if same >= int(st.AntiAffinity) {
		w.broken("ROUTE", "%s starts %s beside %d of its step", r.id, one.task, same)
	}
}

// checkRoom checks a runner's capacity.
func (c *checker) checkRoom(r *runner, one *run) {
	used := one.job.stage(one.name).Cpu
	for _, other := range r.running {
		used += other.job.stage(other.name).Cpu
	}
	if used > r.cpu {
		c.world.broken("LIMIT", "%s is at %d of %d with %s", r.id, used, r.cpu, one.task)
	}
}

// checkNoted checks that no run was started after ends, taken note of, that rule it out.
func (c *checker) checkNoted(task string) {
	w := c.world
	for _, end := range c.facts[task] {
		if !end.noted || end.lapsed {
			continue
		}
		failed := 0
		for _, other := range c.facts[task] {
			if other.noted && !other.lapsed && other.how == string(jobs.EndFailed) && other.ended <= end.ended {
				failed++
			}
		}
		for _, f := range c.facts[task] {
			if f.started <= end.ended {
				continue
			}
			if end.how == string(jobs.EndDone) && !end.run.job.lasting() {
				w.broken("TWICE", "run %d of %s starts though run %d is done", f.run.number, task, end.run.number)
			}
			if end.how == string(jobs.EndFailed) && failed >= maxAttempts[end.run.job.queue] && !end.run.job.lasting() {
				w.broken("BUDGET", "run %d of %s starts after %d have failed", f.run.number, task, failed)
			}
		}
	}
}

// find returns the fact of a run.
func (c *checker) find(r *runner, one *run) *fact {
	for _, f := range c.facts[one.task] {
		if f.run == one {
			return f
		}
	}
	return nil
}

// ended notes a run's end.
func (c *checker) ended(r *runner, one *run, e *protocol.RunEnd) {
	f := c.find(r, one)
	if f == nil {
		return
	}
	f.ended, f.how, f.number = c.world.now, e.GetHow(), e.GetNumber()
	if e.GetHow() == string(jobs.EndAlone) && c.world.calmFor(contact+gangWait) && one.job.cancelSent == 0 {
		c.world.broken("GANG", "run %d of %s waits alone at %s", one.number, one.task, r.id)
	}
}

// gone notes that a run died with its runner.
func (c *checker) gone(r *runner, one *run) {
	if f := c.find(r, one); f != nil {
		f.ended, f.how = c.world.now, string(jobs.EndLost)
	}
}

// lapse notes that a runner's hold has run out.
func (c *checker) lapse(r *runner) {
	for _, facts := range c.facts {
		for _, f := range facts {
			if f.runner == r && f.how != "" && !f.noted {
				f.lapsed = true
			}
		}
	}
}

// noted notes that an end was taken note of.
func (c *checker) noted(r *runner, e *protocol.RunEnd) {
	for _, f := range c.facts[e.GetTask()] {
		if f.runner == r && f.number == e.GetNumber() {
			f.noted = true
		}
	}
	c.checkNoted(e.GetTask())
}

// shown checks a state that a client was told.
func (c *checker) shown(j *job) {
	w := c.world
	switch j.shown {
	case jobs.Completed.String():
		for occasion := range j.occasions {
			for step := range j.stages {
				if !c.stepDone(j, occasion, step) {
					w.broken("MIXED", "job %s is shown as completed, time %d step %d is not", j.id, occasion, step)
				}
			}
		}
	case jobs.Failed.String():
		if !c.mayFail(j) {
			w.broken("LOST", "job %s is shown as failed without cause", j.id)
		}
	case jobs.Canceled.String():
		if j.cancelSent == 0 {
			w.broken("LOST", "job %s is shown as canceled, nobody has canceled it", j.id)
		}
	}
}

// mayFail tells whether a task or a gang of a job has failed as often as it may.
func (c *checker) mayFail(j *job) bool {
	for occasion := range j.occasions {
		for step, st := range j.stages {
			gang := make(map[uint32]bool)
			for index := range int(st.Count) {
				failed := 0
				for _, f := range c.facts[taskID(j, occasion, step, index)] {
					if f.how == string(jobs.EndFailed) {
						failed++
						gang[f.run.number] = true
					}
				}
				if failed >= maxAttempts[j.queue] {
					return true
				}
			}
			if st.Gang && len(gang) >= maxAttempts[j.queue] {
				return true
			}
		}
	}
	return false
}

// shownGone checks that a job was told to be unknown.
func (c *checker) shownGone(j *job) {
	w := c.world
	if j.acked > 0 && w.now > j.acked+visible && w.calmFor(contact) && j.cancelSent == 0 {
		w.broken("LOST", "job %s was accepted and is not known", j.id)
	}
}
