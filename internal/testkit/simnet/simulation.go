package simnet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"frosttide/internal/control/jobs"
)

// simulation is one run. A single event queue in virtual time drives all of it, in one goroutine.
type simulation struct {
	options Options
	rng     *rand.Rand
	report  Report

	// Virtual time and the queue of events.
	now      time.Duration
	events   eventHeap
	sequence uint64 // of the event that was scheduled last

	// The machines and their callers.
	processes      map[string]*process // by address
	cores          []*core
	lastCoreNumber int // number of the last machine added to the control plane
	runnerHosts    []*runnerHost
	gateways       []*gatewayHost
	clients        []*client
	operator       *operator

	network network
	checker *checker

	// Times of the latest faults. They decide which guarantees have to hold now and which
	// further losses the fault tolerance allows.
	lastFault       time.Duration // when a fault was last in force
	lastDiskLoss    time.Duration // when a disk was last lost; 0 for never
	lastReplacement time.Duration // when a machine was last removed for good or added; 0 for never
}

// newSimulation returns a simulation without machines or events.
func newSimulation(o Options) *simulation {
	sim := &simulation{options: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), processes: make(map[string]*process), network: newNetwork()}
	sim.checker, sim.operator = sim.newChecker(), sim.newOperator()
	return sim
}

// maxBootDelay is the time within which all machines boot.
const maxBootDelay = 300 * time.Millisecond

// bootAll creates all machines and boots each after a random delay of at most maxBootDelay. The
// operator starts after them.
func (sim *simulation) bootAll() {
	for i := range sim.options.Cores {
		c := sim.newCore(i)
		sim.cores = append(sim.cores, c)
		sim.lastCoreNumber = i
		sim.after(sim.randomDuration(0, maxBootDelay), c.boot)
	}
	for i := range sim.options.Gateways {
		g := sim.newGateway(i)
		sim.gateways = append(sim.gateways, g)
		sim.after(sim.randomDuration(0, maxBootDelay), g.boot)
	}
	for i := range sim.options.Runners {
		h := sim.newRunnerHost(i)
		sim.runnerHosts = append(sim.runnerHosts, h)
		sim.after(sim.randomDuration(0, maxBootDelay), func() { h.boot(); h.startRunner() })
	}
	if sim.options.ManyTasks {
		h := sim.newBulkRunnerHost()
		sim.runnerHosts = append(sim.runnerHosts, h)
		sim.after(sim.randomDuration(0, maxBootDelay), func() { h.boot(); h.startRunner() })
	}
	sim.after(500*time.Millisecond, sim.operator.start)
}

// scheduleFaults draws all faults and schedules those that Options.SkipFaults does not exclude.
func (sim *simulation) scheduleFaults() {
	for i, f := range sim.drawFaults() {
		sim.report.Faults = append(sim.report.Faults, fmt.Sprintf("%.3f %s", f.at.Seconds(), f.description))
		if sim.options.SkipFaults[i] {
			continue
		}
		sim.after(f.at, func() {
			sim.trace("FAULT %s", f.description)
			f.begin()
		})
	}
}

// head returns the machine that considers itself the serving head; where several do, the one with
// the newest epoch, and where none does, the first machine.
func (sim *simulation) head() *core {
	best := sim.cores[0]
	for _, c := range sim.cores {
		if c.up && c.member.Replica().Serving() && (!best.up || !best.member.Replica().Serving() || c.member.Replica().Epoch() > best.member.Replica().Epoch()) {
			best = c
		}
	}
	return best
}

// idle reports whether no fault is in force and, by the state of the head, no job is left to run.
// Long-running jobs don't count.
func (sim *simulation) idle() bool {
	head := sim.head()
	if !sim.noFaultFor(contactTime) || !head.up || head.member.Scheduler() == nil {
		return false
	}
	idle := true
	head.member.Scheduler().Jobs().Each(func(j *jobs.Job) {
		idle = idle && (j.State.Final() || j.LongRunning())
	})
	return idle
}

// recordFault notes that a fault begins, is in force or ends now.
func (sim *simulation) recordFault() { sim.lastFault = sim.now }

// noFaultFor reports whether no fault began, was in force or ended within the last d.
func (sim *simulation) noFaultFor(d time.Duration) bool { return sim.now-sim.lastFault >= d }

// violation records the violation of a rule, which ends the simulation.
func (sim *simulation) violation(rule, format string, args ...any) {
	v := Violation{Rule: rule, At: sim.now, Text: fmt.Sprintf(format, args...)}
	sim.trace("VIOLATION %s: %s", rule, v.Text)
	sim.report.Violations = append(sim.report.Violations, v)
}

// trace writes a line of the trace, with the virtual time in seconds.
func (sim *simulation) trace(format string, args ...any) {
	if sim.options.Trace != nil {
		sim.options.Trace(fmt.Sprintf("%9.4f ", sim.now.Seconds()) + fmt.Sprintf(format, args...))
	}
}
