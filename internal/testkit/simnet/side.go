package simnet

import (
	"fmt"
	"slices"
	"time"

	"frosttide/internal/data/agent"
	"frosttide/internal/protocol"
)

const (
	// lease, holdMax and the others are the bounds that the play keeps; they are those of the rules' examples.
	lease              = 12 * time.Second
	maxHold            = 6 * time.Second
	stopTime           = 400 * time.Millisecond
	gangTimeout        = 3 * time.Second
	responseTimeout    = time.Second
	checkpointInterval = 2 * time.Second
	farFactor          = 1.5
	// maxHeartbeatDelay is how late a beat may come.
	maxHeartbeatDelay = 3500 * time.Millisecond
	// probeInterval is the pause between looks at a silent runner.
	probeInterval = 100 * time.Millisecond
	// minRetry is the shortest pause between beats: shorter ones would only make plays longer.
	minRetry = 80 * time.Millisecond
	// maxClockDrift is how much slower a runner's clock may be.
	maxClockDrift = 0.02
	// statusRetention is longer than a play lasts, so that no job may be forgotten in it.
	statusRetention = 2 * time.Minute
	// dayBeginsMs is the true time of day at the play's beginning.
	dayBeginsMs = 1_800_000_000_000
)

// runnerHost is a machine with a runner and its companion.
type runnerHost struct {
	*process
	sim               *simulation
	index             int
	node              *agent.Node
	runner            *runner
	runnerIncarnation int // of the runner
	lastProbe         time.Duration
}

// runner runs tasks as it is told; it guards nothing.
type runner struct {
	host                 *runnerHost
	id                   string
	service              string
	labels               []string
	cpu                  int64
	clockRate            float64 // its clock's rate, up to slowClock slow
	up                   bool
	draining             bool
	delayHeartbeatsUntil time.Duration // until then its beats come up to lateMost late
	drainAcknowledgedAt  time.Duration
	sequence             uint64
	fence                uint64
	lastAcknowledged     uint64
	unacknowledgedEnds   []*protocol.RunEnd
	nextEnd              uint64
	running              map[string]*run
	blockedRuns          map[string]uint32 // no run up to it is started
	holdUntil            time.Duration     // true time at which all is killed
	holdTimerSet         bool
	heartbeatPending     bool // a heartbeat is unanswered
	heartbeatInterval    time.Duration
	heartbeatNumber      int
}

// run is a run on a runner.
type run struct {
	task          string
	number        uint32
	job           *job
	name          taskName
	startedAt     time.Duration
	workStartedAt time.Duration // since it began or, of a gang, since all were there
	stopping      bool
	checkpoint    string
	gang          bool
	gangComplete  bool
	serial        uint64
	ended         bool
}

func runnerHostAddress(i int) string { return fmt.Sprintf("side%d", i) }

func (sim *simulation) newRunnerHost(i int) *runnerHost {
	h := &runnerHost{sim: sim, index: i, process: &process{address: runnerHostAddress(i)}}
	sim.processes[h.address] = h.process
	h.receive = func(from string, e *protocol.Envelope) { h.node.Receive(sim.clock(h.process), from, e) }
	h.turn = func() {
		for _, m := range h.node.Turn(sim.clock(h.process)) {
			sim.send(h.process, m.To, m.Message)
		}
	}
	return h
}

// boot starts the companion.
func (h *runnerHost) boot() {
	sim := h.sim
	sim.start(h.process)
	h.node = agent.NewNode(agent.Config{Incarnation: sim.rng.Uint64() >> 1, MaxRunLease: maxHold, Contacts: []string{coreAddress(0), coreAddress(1), coreAddress(2)},
		Seed: sim.rng.Uint64()}, h.address, sim.clock(h.process))
	h.turn()
	sim.repeat(h.process, 2*tickEvery, func() {
		h.node.Tick(sim.clock(h.process))
		h.checkRunner()
	})
}

// checkRunner looks whether a runner that has fallen silent is still there, as the companion's host does.
func (h *runnerHost) checkRunner() {
	sim := h.sim
	if sim.now-h.lastProbe < probeInterval {
		return
	}
	id, doubtful := h.node.Machine.NextHealthCheck(sim.clock(h.process))
	if !doubtful {
		return
	}
	h.lastProbe = sim.now
	incarnation := h.incarnation
	sim.after(sim.randomDuration(0, time.Millisecond), func() {
		refused := !h.runner.up
		if h.up && h.incarnation == incarnation {
			sim.execute(h.process, func() { h.node.Machine.HealthCheckDone(sim.clock(h.process), id, refused) })
		}
	})
}

// startRunner has a runner come up under a new id.
func (h *runnerHost) startRunner() {
	sim := h.sim
	h.runnerIncarnation++
	services := []string{"cut", "render"}
	h.runner = &runner{host: h, id: fmt.Sprintf("i%d-%d", h.index, h.runnerIncarnation), service: services[h.index%2], labels: []string{"ab"[h.index/2%2 : h.index/2%2+1], fmt.Sprintf("r%d-1", h.index/4)},
		cpu: 8000, clockRate: 1 + sim.rng.Float64()*maxClockDrift, up: true, running: make(map[string]*run), blockedRuns: make(map[string]uint32), heartbeatInterval: 50 * time.Millisecond}
	sim.trace("runner %s comes up", h.runner.id)
	h.runner.sendHeartbeat()
}

// crash ends the runner; all it runs is gone.
func (r *runner) crash() {
	r.up = false
	for _, one := range r.running {
		r.host.sim.checker.runnerLost(r, one)
	}
	r.running = make(map[string]*run)
	r.host.sim.trace("runner %s is gone", r.id)
}

// sendHeartbeat sends a heartbeat to the companion and waits for its answer.
func (r *runner) sendHeartbeat() {
	if !r.up || r.heartbeatPending {
		return
	}
	sim, h := r.host.sim, r.host
	r.heartbeatPending = true
	r.heartbeatNumber++
	number := r.heartbeatNumber
	r.sequence++
	b := &agent.Heartbeat{Sequence: r.sequence, Account: r.account()}
	for _, one := range r.sorted() {
		b.Running = append(b.Running, &protocol.RunProgress{Task: one.task, Run: one.number, Saved: one.checkpoint})
	}
	b.Finished = append(b.Finished, r.unacknowledgedEnds...)
	sent, incarnation := sim.now, h.incarnation
	delay := sim.randomDuration(50*time.Microsecond, 400*time.Microsecond)
	if sim.now < r.delayHeartbeatsUntil {
		delay = sim.randomDuration(0, maxHeartbeatDelay)
	}
	if h.up {
		sim.after(delay, func() {
			if !h.up || h.incarnation != incarnation {
				return
			}
			sim.execute(h.process, func() {
				a := h.node.Machine.HandleHeartbeat(sim.clock(h.process), b)
				if b.Account.GetDraining() && r.drainAcknowledgedAt == 0 {
					r.drainAcknowledgedAt = sim.now
				}
				sim.after(sim.randomDuration(50*time.Microsecond, 400*time.Microsecond), func() { r.handleResponse(number, sent, a) })
			})
		})
	}
	sim.after(responseTimeout, func() {
		if r.heartbeatPending && r.heartbeatNumber == number {
			r.heartbeatPending = false
			sim.after(r.heartbeatInterval, r.sendHeartbeat)
		}
	})
}

func (r *runner) account() *protocol.RunnerAccount {
	return &protocol.RunnerAccount{Id: r.id, Service: r.service, Labels: r.labels, Draining: r.draining, Slots: 8, Capacity: &protocol.Capacity{Cpu: r.cpu, MemMb: 32768}}
}

// sorted returns the runs by task, so that plays repeat.
func (r *runner) sorted() (out []*run) {
	for _, one := range r.running {
		out = append(out, one)
	}
	slices.SortFunc(out, func(a, b *run) int {
		if a.task < b.task {
			return -1
		}
		return 1
	})
	return out
}

// handleResponse takes a companion's answer.
func (r *runner) handleResponse(number int, sent time.Duration, a agent.HeartbeatResponse) {
	sim := r.host.sim
	if !r.up || !r.heartbeatPending || number != r.heartbeatNumber || sim.now-sent > responseTimeout {
		return
	}
	r.heartbeatPending = false
	r.heartbeatInterval = max(a.HeartbeatInterval, minRetry)
	sim.after(r.heartbeatInterval, r.sendHeartbeat)
	if a.FencingToken < r.fence {
		return
	}
	r.fence = a.FencingToken
	r.dropAcknowledged(a.Acknowledged)
	if a.RunLease <= 0 {
		return
	}
	r.extend(sent, a.RunLease)
	for _, ref := range a.Stop {
		r.stop(ref.GetTask(), ref.GetRun())
	}
	for _, order := range a.Start {
		r.start(order)
	}
}

// dropAcknowledged forgets the ends that were noted.
func (r *runner) dropAcknowledged(lastSeen uint64) {
	for len(r.unacknowledgedEnds) > 0 && r.unacknowledgedEnds[0].GetNumber() <= lastSeen {
		r.host.sim.checker.endAcknowledged(r, r.unacknowledgedEnds[0])
		r.unacknowledgedEnds = r.unacknowledgedEnds[1:]
	}
	r.lastAcknowledged = max(r.lastAcknowledged, lastSeen)
}

// extend lets the runner work on until a hold's end by its own clock.
func (r *runner) extend(sent time.Duration, hold time.Duration) {
	until := sent + time.Duration(float64(min(hold, maxHold))*r.clockRate)
	if until <= r.holdUntil {
		return
	}
	r.holdUntil = until
	sim := r.host.sim
	if r.holdTimerSet {
		return
	}
	r.holdTimerSet = true
	var look func()
	look = func() {
		if !r.up {
			return
		}
		if sim.now < r.holdUntil {
			sim.after(r.holdUntil-sim.now, look)
			return
		}
		r.holdTimerSet = false
		sim.checker.expireHolds(r)
		for _, one := range r.sorted() {
			r.end(one, "lapsed")
		}
	}
	sim.after(r.holdUntil-sim.now, look)
}

// start begins a run, unless it is old.
func (r *runner) start(o *protocol.RunOrder) {
	sim := r.host.sim
	if one := r.running[o.GetTask()]; one != nil && one.number >= o.GetRun() || o.GetRun() <= r.blockedRuns[o.GetTask()] {
		return
	}
	one := &run{task: o.GetTask(), number: o.GetRun(), startedAt: sim.now, checkpoint: o.GetSaved(), serial: sim.sequence}
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

// work has a run end by itself after its time.
func (r *runner) work(one *run) {
	sim := r.host.sim
	stage := one.job.stage(one.name)
	one.workStartedAt = sim.now
	how := "done"
	if stage.fails(one.name, one.number) {
		how = "failed"
	}
	if stage.LongRunning {
		if how != "failed" {
			return
		}
	}
	sim.after(stage.duration, func() {
		if !one.ended && !one.stopping {
			r.end(one, how)
		}
	})
}

// stop ends a run after a moment, and bars it where it is not there.
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

// end ends a run and lists it.
func (r *runner) end(one *run, how string) {
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
	r.nextEnd++
	e := &protocol.RunEnd{Number: r.nextEnd, Task: one.task, Run: one.number, How: how, Saved: one.checkpoint}
	r.unacknowledgedEnds = append(r.unacknowledgedEnds, e)
	sim.checker.ended(r, one, e)
	if one.gang {
		sim.breakGang(one, how)
	}
	sim.after(50*time.Millisecond, r.sendHeartbeat)
}

// startCompleteGang has a gang begin its work once all its members run.
func (sim *simulation) startCompleteGang(one *run) {
	members := sim.gangMembers(one)
	if len(members) < int(one.job.stage(one.name).Count) {
		return
	}
	for _, m := range members {
		if m.gangComplete {
			return
		}
	}
	for _, m := range members {
		m.gangComplete = true
	}
	stage := one.job.stage(one.name)
	how := "done"
	if stage.fails(one.name, one.number) {
		how = "failed"
	}
	sim.after(stage.duration, func() {
		for _, h := range sim.runnerHosts {
			for _, m := range h.runner.sorted() {
				if m.gang && m.job == one.job && m.name.step == one.name.step && m.name.occasion == one.name.occasion && m.number == one.number && !m.stopping {
					h.runner.end(m, how)
				}
			}
		}
	})
}

// gangMembers returns the members of a gang's run that are running.
func (sim *simulation) gangMembers(one *run) (members []*run) {
	for _, h := range sim.runnerHosts {
		if h.runner == nil || !h.runner.up {
			continue
		}
		for _, m := range h.runner.sorted() {
			if m.gang && m.job == one.job && m.name.step == one.name.step && m.name.occasion == one.name.occasion && m.number == one.number {
				members = append(members, m)
			}
		}
	}
	return members
}

// breakGang breaks the other members where one has ended otherwise than well.
func (sim *simulation) breakGang(one *run, how string) {
	if how == "done" || how == "broken" || how == "alone" {
		return
	}
	for _, h := range sim.runnerHosts {
		if h.runner == nil {
			continue
		}
		for _, m := range h.runner.sorted() {
			if m != one && m.gang && m.gangComplete && m.job == one.job && m.name.step == one.name.step && m.name.occasion == one.name.occasion && m.number == one.number {
				h.runner.end(m, "broken")
			}
		}
	}
}
