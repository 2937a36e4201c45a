package simnet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"frosttide/internal/protocol"
)

// runner runs tasks as it is told. It guards nothing by itself beside what the protocol asks of a runner.
type runner struct {
	host      *runnerHost
	id        string
	service   string
	labels    []string
	cpu       int64   // thousandths of a core
	clockRate float64 // true time that passes in a second of its clock, 1 to 1+maxClockDrift
	up        bool

	draining            bool
	drainAcknowledgedAt time.Duration // when the agent first heard of it; 0 before

	running            map[string]*run   // by task
	blockedRuns        map[string]uint32 // by task, the highest run that must not start any more
	unacknowledgedEnds []*protocol.RunEnd
	lastEndNumber      uint64
	runLeaseExpiry     time.Duration // true time at which all runs lapse
	runLeaseTimerSet   bool

	fencingToken         uint64 // the highest so far
	heartbeatSequence    uint64
	heartbeatPending     bool // a heartbeat has no response yet
	heartbeatInterval    time.Duration
	delayHeartbeatsUntil time.Duration // the fault that heartbeats are delayed by up to maxHeartbeatDelay
}

// run is a run on a runner.
type run struct {
	task         string
	number       uint32
	job          *job // nil for a task that no client has sent
	name         taskName
	startedAt    time.Duration
	checkpoint   string
	stopping     bool
	ended        bool
	gang         bool
	gangComplete bool // all members of its gang have started
}

// account returns what the runner declares of itself.
func (r *runner) account() *protocol.RunnerAccount {
	return &protocol.RunnerAccount{Id: r.id, Service: r.service, Labels: r.labels, Draining: r.draining, Slots: 8, Capacity: &protocol.Capacity{Cpu: r.cpu, MemMb: 32768}}
}

// sortedRuns returns the runs by task, so that simulations repeat.
func (r *runner) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(r.running), func(a, b *run) int { return strings.Compare(a.task, b.task) })
}

// start begins a run, unless a run as new is in progress or it is blocked.
func (r *runner) start(o *protocol.RunOrder) {
	sim := r.host.sim
	if one := r.running[o.GetTask()]; one != nil && one.number >= o.GetRun() || o.GetRun() <= r.blockedRuns[o.GetTask()] {
		return
	}
	one := &run{task: o.GetTask(), number: o.GetRun(), startedAt: sim.now, checkpoint: o.GetSaved()}
	sim.checker.started(r, one, o)
	r.running[one.task] = one
	if one.job == nil {
		return
	}
	stage := one.job.stage(one.name)
	if one.gang = stage.Gang; one.gang {
		sim.startCompleteGang(one)
		sim.after(gangTimeout, func() {
			if !one.gangComplete && !one.ended {
				r.end(one, "alone")
			}
		})
		return
	}
	r.work(one)
}

// work has a run end by itself after its time. One that is long-running ends by itself only if it fails.
func (r *runner) work(one *run) {
	stage := one.job.stage(one.name)
	outcome := stage.outcome(one)
	if stage.LongRunning && outcome != "failed" {
		return
	}
	r.host.sim.after(stage.duration, func() {
		if !one.ended && !one.stopping {
			r.end(one, outcome)
		}
	})
}

// stop ends the run of a task up to a number after a moment. Where there is none, runs up to that number are blocked.
func (r *runner) stop(task string, number uint32) {
	sim := r.host.sim
	one := r.running[task]
	if one == nil || one.number > number {
		r.blockedRuns[task] = max(r.blockedRuns[task], number)
		return
	}
	if one.stopping {
		return
	}
	one.stopping = true
	sim.after(sim.randomDuration(0, stopTime), func() {
		if !one.ended {
			r.end(one, "stopped")
		}
	})
}

// end ends a run and reports it until it is acknowledged.
func (r *runner) end(one *run, outcome string) {
	sim := r.host.sim
	if !r.up || one.ended {
		return
	}
	one.ended = true
	delete(r.running, one.task)
	r.blockedRuns[one.task] = max(r.blockedRuns[one.task], one.number)
	if one.job != nil && one.job.stage(one.name).Checkpoints && sim.now-one.startedAt > checkpointInterval {
		one.checkpoint = "saved of " + one.task
	}
	r.lastEndNumber++
	e := &protocol.RunEnd{Number: r.lastEndNumber, Task: one.task, Run: one.number, How: outcome, Saved: one.checkpoint}
	r.unacknowledgedEnds = append(r.unacknowledgedEnds, e)
	sim.checker.ended(r, one, e)
	if one.gang {
		sim.breakGang(one, outcome)
	}
	sim.after(50*time.Millisecond, r.sendHeartbeat)
}

// crash ends the runner with all its runs.
func (r *runner) crash() {
	r.up = false
	for _, one := range r.running {
		r.host.sim.checker.runnerLost(one)
	}
	r.running = make(map[string]*run)
	r.host.sim.trace("runner %s crashes", r.id)
}
