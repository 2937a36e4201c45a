package simnet

import (
	"time"

	"frosttide/internal/control/jobs"
)

// Limits of the reads at the end of a simulation.
const (
	finalReadTimeout  = 30 * time.Second
	finalReadAttempts = 10 // per job
)

// checkFinalState checks the state at the end of a simulation: each accepted job is known, those
// that are not long-running have ended, and the configuration can be read.
func (sim *simulation) checkFinalState() {
	unanswered := 0
	for _, c := range sim.clients {
		for _, j := range c.jobs {
			if j.acceptedAt == 0 {
				continue
			}
			unanswered++
			sim.readFinalState(c, j, finalReadAttempts, func(known bool) {
				unanswered--
				sim.checkFinalJob(j, known)
			})
		}
	}
	configRead := false
	sim.operator.refreshBase(func() { configRead = true })
	for until := sim.now + finalReadTimeout; sim.now < until && (unanswered > 0 || !configRead) && len(sim.report.Violations) == 0; {
		sim.advance(sim.now + 100*time.Millisecond)
	}
	if len(sim.report.Violations) == 0 && (unanswered > 0 || !configRead) {
		sim.violation("RECOVER", "%d jobs have no answer at the end, configuration read: %v", unanswered, configRead)
	}
}

// checkFinalJob checks the state of an accepted job at the end and counts completed ones.
func (sim *simulation) checkFinalJob(j *job, known bool) {
	switch {
	case !known:
		sim.violation("LOST", "job %s is not known or not answered for at the end", j.id)
	case !finalStates[j.lastState] && !j.longRunning():
		sim.traceHead()
		sim.violation("LOST", "job %s is %s at the end", j.id, j.lastState)
	case j.lastState == jobs.Completed.String():
		sim.report.Done++
	}
}

// readFinalState reads a job's state until it is answered, with a limited number of attempts.
func (sim *simulation) readFinalState(c *client, j *job, attempts int, done func(known bool)) {
	answered := false
	finish := func(known bool) {
		if answered {
			return
		}
		answered = true
		if known || attempts <= 1 {
			done(known)
			return
		}
		sim.after(500*time.Millisecond, func() { sim.readFinalState(c, j, attempts-1, done) })
	}
	c.readState(j, finish)
	sim.after(clientTimeout+500*time.Millisecond, func() { finish(false) })
}

// traceHead traces the runners, waiting steps and unfinished jobs as the head knows them, and the
// runs that are really in progress.
func (sim *simulation) traceHead() {
	head := sim.head()
	if sim.options.Trace == nil || !head.up || head.member.Scheduler() == nil {
		return
	}
	s := head.member.Scheduler().Status()
	for _, r := range s.Runners {
		sim.trace("%s: runner %+v", head.address, r)
	}
	for _, step := range s.Waiting {
		sim.trace("%s: waiting %+v", head.address, step)
	}
	head.member.Scheduler().Jobs().Each(func(j *jobs.Job) {
		if !j.State.Final() {
			sim.trace("%s: %s", head.address, j)
		}
	})
	for _, h := range sim.runnerHosts {
		for _, run := range h.runner.sortedRuns() {
			sim.trace("%s: %s runs %s run %d", h.address, h.runner.id, run.task, run.number)
		}
	}
}
