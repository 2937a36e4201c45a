package simnet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"frosttide/internal/control/jobs"
)

// simulation is one run. All of it is driven by one queue of events in virtual time, in one goroutine.
type simulation struct {
	options Options
	rng     *rand.Rand
	report  Report

	// The virtual time and what happens next.
	now      time.Duration
	events   eventHeap
	sequence uint64 // of the newest event

	// The machines and who calls them.
	processes      map[string]*process // by internal address
	cores          []*core
	lastCoreNumber int // number of the newest machine of the control plane
	runnerHosts    []*runnerHost
	gateways       []*gatewayHost
	clients        []*client
	operator       *operator

	network network
	checker *checker

	// When faults were last in force, by which it is decided what the system has to bear.
	lastFault       time.Duration // when the newest fault began or ended
	lastDiskLoss    time.Duration // when a disk was last lost; 0 for never
	lastReplacement time.Duration // when a machine was last removed for good or came new; 0 for never
}

// newSimulation returns a simulation in which nothing has started.
func newSimulation(o Options) *simulation {
	sim := &simulation{options: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), processes: make(map[string]*process), network: newNetwork()}
	sim.checker, sim.operator = sim.newChecker(), sim.newOperator()
	return sim
}

// maxBootDelay is within how long all machines boot.
const maxBootDelay = 300 * time.Millisecond

// bootAll starts all machines within a short time, and the operator after them.
func (sim *simulation) bootAll() {
	for i := range sim.options.Cores {
		c := sim.newCore(i)
		sim.cores = append(sim.cores, c)
		sim.lastCoreNumber = i
		sim.after(sim.randomDuration(0, maxBootDelay), c.boot)
	}
	for i := range sim.options.Gateways {
		c := sim.newGateway(i)
		sim.gateways = append(sim.gateways, c)
		sim.after(sim.randomDuration(0, maxBootDelay), c.boot)
	}
	for i := range sim.options.Runners {
		h := sim.newRunnerHost(i)
		sim.runnerHosts = append(sim.runnerHosts, h)
		sim.after(sim.randomDuration(0, maxBootDelay), func() { h.boot(); h.startRunner() })
	}
	sim.after(500*time.Millisecond, sim.operator.start)
}

// scheduleFaults draws the faults and has them begin at their times, except those that are skipped.
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

// head returns the machine that serves as the head, by its own word and with the newest epoch; any machine where none
// does.
func (sim *simulation) head() *core {
	best := sim.cores[0]
	for _, c := range sim.cores {
		if c.up && c.member.Replica().Serving() && (!best.up || !best.member.Replica().Serving() || c.member.Replica().Epoch() > best.member.Replica().Epoch()) {
			best = c
		}
	}
	return best
}

// idle tells whether no job is left to run, by what the head knows, and no fault is in force.
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

// recordFault notes that a fault has begun, goes on or has ended.
func (sim *simulation) recordFault() { sim.lastFault = sim.now }

// noFaultFor tells whether no fault has begun, ended or been in force for a time.
func (sim *simulation) noFaultFor(d time.Duration) bool { return sim.now-sim.lastFault >= d }

// violation reports a rule that is violated, which ends the simulation.
func (sim *simulation) violation(rule, format string, args ...any) {
	v := Violation{Rule: rule, At: sim.now, Text: fmt.Sprintf(format, args...)}
	sim.trace("VIOLATION %s: %s", rule, v.Text)
	sim.report.Violations = append(sim.report.Violations, v)
}

// trace writes a line of the trace.
func (sim *simulation) trace(format string, args ...any) {
	if sim.options.Trace != nil {
		sim.options.Trace(fmt.Sprintf("%9.4f ", sim.now.Seconds()) + fmt.Sprintf(format, args...))
	}
}
