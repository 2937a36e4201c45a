package simnet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"frosttide/internal/protocol"
)

// runner executes run orders. It implements no safety measures beyond those that the protocol
// requires of a runner.
type runner struct {
	host      *runnerHost
	id        string
	service   string
	labels    []string
	cpu       int64   // thousandths of a core
	clockRate float64 // virtual seconds per second of its clock, 1 to 1+maxClockDrift
	up        bool

	draining            bool
	drainAcknowledgedAt time.Duration // when the agent was first told; 0 for not yet

	running            map[string]*taskRun // by task
	blockedRuns        map[string]uint32   // by task, the highest run number that must not start
	unacknowledgedEnds []*protocol.RunEnd
	lastEndNumber      uint64
	// newestTransmittedEnd is the highest number of an end that a heartbeat has listed.
	newestTransmittedEnd uint64
	runLeaseExpiry       time.Duration // virtual time at which all runs lapse
	runLeaseTimerSet     bool

	fencingToken         uint64 // highest token received
	heartbeatSequence    uint64
	heartbeatPending     bool // a heartbeat was sent and not answered yet
	heartbeatInterval    time.Duration
	delayHeartbeatsUntil time.Duration // fault: heartbeats are delayed by up to maxHeartbeatDelay
}

// taskRun is a run of a task on a runner.
type taskRun struct {
	task         string
	number       uint32
	job          *job // nil for a task that no client has submitted
	name         taskName
	startedAt    time.Duration
	checkpoint   string
	stopping     bool
	ended        bool
	gang         bool
	gangComplete bool // all members of its gang run
}

// account returns the properties that the runner reports in heartbeats.
func (r *runner) account() *protocol.RunnerAccount {
	return &protocol.RunnerAccount{Id: r.id, Service: r.service, Labels: r.labels, Draining: r.draining, Slots: 8, Capacity: &protocol.Capacity{Cpu: r.cpu, MemMb: 32768}}
}

// sortedRuns returns the runs in progress ordered by task, so that simulations are deterministic.
func (r *runner) sortedRuns() []*taskRun {
	return slices.SortedFunc(maps.Values(r.running), func(a, b *taskRun) int { return strings.Compare(a.task, b.task) })
}

// start starts a run, unless the same or a newer run of the task is in progress or the run is
// blocked.
func (r *runner) start(o *protocol.RunOrder) {
	sim := r.host.sim
	if current := r.running[o.GetTask()]; current != nil && current.number >= o.GetRun() || o.GetRun() <= r.blockedRuns[o.GetTask()] {
		return
	}
	run := &taskRun{task: o.GetTask(), number: o.GetRun(), startedAt: sim.now, checkpoint: o.GetSaved()}
	sim.checker.recordStart(r, run, o)
	r.running[run.task] = run
	if run.job == nil {
		return
	}
	stage := run.job.stage(run.name)
	if run.gang = stage.Gang; run.gang {
		sim.startCompleteGang(run)
		sim.after(gangTimeout, func() {
			if !run.gangComplete && !run.ended {
				r.end(run, "alone")
			}
		})
		return
	}
	r.scheduleEnd(run)
}

// scheduleEnd schedules the end of a run that nothing stops before. A long-running one ends by
// itself only if it fails.
func (r *runner) scheduleEnd(run *taskRun) {
	stage := run.job.stage(run.name)
	outcome := stage.outcome(run)
	if stage.LongRunning && outcome != "failed" {
		return
	}
	r.host.sim.after(stage.duration, func() {
		if !run.ended && !run.stopping {
			r.end(run, outcome)
		}
	})
}

// stop stops the run of a task, up to a run number, after a short delay. If no such run is in
// progress, runs up to that number are blocked.
func (r *runner) stop(task string, number uint32) {
	sim := r.host.sim
	run := r.running[task]
	if run == nil || run.number > number {
		r.blockedRuns[task] = max(r.blockedRuns[task], number)
		return
	}
	if run.stopping {
		return
	}
	run.stopping = true
	sim.after(sim.randomDuration(0, stopTime), func() {
		if !run.ended {
			r.end(run, "stopped")
		}
	})
}

// end ends a run. Heartbeats report the end until it is acknowledged.
func (r *runner) end(run *taskRun, outcome string) {
	sim := r.host.sim
	if !r.up || run.ended {
		return
	}
	run.ended = true
	delete(r.running, run.task)
	r.blockedRuns[run.task] = max(r.blockedRuns[run.task], run.number)
	if run.job != nil && run.job.stage(run.name).Checkpoints && sim.now-run.startedAt > checkpointInterval {
		run.checkpoint = "saved of " + run.task + unusualText(run.job.id)
	}
	r.lastEndNumber++
	e := &protocol.RunEnd{Number: r.lastEndNumber, Task: run.task, Run: run.number, How: outcome, Saved: run.checkpoint}
	r.unacknowledgedEnds = append(r.unacknowledgedEnds, e)
	sim.checker.recordEnd(r, run, e)
	if run.gang {
		sim.breakGang(run, outcome)
	}
	sim.after(50*time.Millisecond, r.sendHeartbeat)
}

// crash ends the runner and all its runs.
func (r *runner) crash() {
	r.up = false
	for _, run := range r.running {
		r.host.sim.checker.recordRunnerLoss(run)
	}
	r.running = make(map[string]*taskRun)
	r.host.sim.trace("runner %s crashes", r.id)
}
