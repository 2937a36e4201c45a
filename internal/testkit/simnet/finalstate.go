package simnet

import (
	"time"

	"frosttide/internal/control/jobs"
)

// The bounds of the reads at the end.
const (
	finalReadTimeout  = 30 * time.Second
	finalReadAttempts = 10 // for each job
)

// checkFinalState checks what has to hold at the end: each accepted job is known, those that can end have ended, and
// the configuration can be read.
func (sim *simulation) checkFinalState() {
	open := 0
	for _, c := range sim.clients {
		for _, j := range c.jobs {
			if j.acceptedAt == 0 {
				continue
			}
			open++
			sim.readFinalState(c, j, finalReadAttempts, func(known bool) {
				open--
				sim.checkFinalJob(j, known)
			})
		}
	}
	configRead := false
	sim.operator.learnVersion(func() { configRead = true })
	for until := sim.now + finalReadTimeout; sim.now < until && (open > 0 || !configRead) && len(sim.report.Violations) == 0; {
		sim.advance(sim.now + 100*time.Millisecond)
	}
	if len(sim.report.Violations) == 0 && (open > 0 || !configRead) {
		sim.violation("RECOVER", "%d jobs have no answer at the end, configuration read: %v", open, configRead)
	}
}

// checkFinalJob checks the state of an accepted job at the end.
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

// readFinalState reads a job's state until it is answered, in a number of attempts.
func (sim *simulation) readFinalState(c *client, j *job, attempts int, then func(known bool)) {
	answered := false
	finish := func(known bool) {
		if answered {
			return
		}
		answered = true
		if known || attempts <= 1 {
			then(known)
			return
		}
		sim.after(500*time.Millisecond, func() { sim.readFinalState(c, j, attempts-1, then) })
	}
	c.readState(j, finish)
	sim.after(clientTimeout+500*time.Millisecond, func() { finish(false) })
}

// traceHead traces what the head knows of what runs and waits, and what really runs.
func (sim *simulation) traceHead() {
	head := sim.head()
	if sim.options.Trace == nil || !head.up || head.member.Scheduler() == nil {
		return
	}
	s := head.member.Scheduler().Status()
	for _, r := range s.Runners {
		sim.trace("%s: runner %+v", head.address, r)
	}
	for _, one := range s.Waiting {
		sim.trace("%s: waiting %+v", head.address, one)
	}
	head.member.Scheduler().Jobs().Each(func(j *jobs.Job) {
		if !j.State.Final() {
			sim.trace("%s: %s", head.address, j)
		}
	})
	for _, h := range sim.runnerHosts {
		for _, one := range h.runner.sortedRuns() {
			sim.trace("%s: %s runs %s run %d", h.address, h.runner.id, one.task, one.number)
		}
	}
}
