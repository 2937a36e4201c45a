package fakerunner

import (
	"strings"
	"time"
)

// extendRunLease sets the expiry of the run lease. If it is not extended again by then, all runs
// end as lapsed. The caller holds the lock.
func (r *Runner) extendRunLease(expiry time.Time) {
	if r.runLeaseTimer != nil {
		r.runLeaseTimer.Stop()
	}
	r.runLeaseTimer = time.AfterFunc(time.Until(expiry), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, run := range r.running {
			r.end(run, "lapsed")
		}
	})
}

// start starts a run, unless the task is running or the run is blocked. The spec may hold a
// duration, as in "sleep 300ms"; with the word "fail" the run ends as failed. The caller holds the
// lock.
func (r *Runner) start(task string, number uint32, spec string) {
	if r.running[task] != nil || number <= r.blockedRuns[task] {
		return
	}
	run := &Run{Task: task, Number: number, StartedAt: time.Now()}
	r.running[task] = run
	outcome, duration := "done", r.cfg.DefaultDuration
	for _, word := range strings.Fields(spec) {
		if d, err := time.ParseDuration(word); err == nil {
			duration = d
		}
		if word == "fail" {
			outcome = "failed"
		}
	}
	run.timer = time.AfterFunc(duration, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.end(run, outcome)
	})
}

// stop ends the run of a task if its number is at most the given one. If the task is not running,
// it blocks its runs up to that number, because an order to start one of them may arrive late. The
// caller holds the lock.
func (r *Runner) stop(task string, number uint32) {
	run := r.running[task]
	if run == nil {
		r.blockedRuns[task] = max(r.blockedRuns[task], number)
		return
	}
	if run.Number <= number {
		r.end(run, "stopped")
	}
}

// end records the end of a run, unless it has ended before, and triggers an early heartbeat. The
// caller holds the lock.
func (r *Runner) end(run *Run, outcome string) {
	if r.running[run.Task] != run {
		return
	}
	run.timer.Stop()
	delete(r.running, run.Task)
	r.blockedRuns[run.Task] = max(r.blockedRuns[run.Task], run.Number)
	e := End{Number: uint64(len(r.history)) + 1, Task: run.Task, Run: run.Number, Outcome: outcome}
	r.unacknowledgedEnds = append(r.unacknowledgedEnds, e)
	r.history = append(r.history, e)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
