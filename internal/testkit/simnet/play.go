package simnet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"frosttide/internal/control/jobs"
)

const (
	// maxSettleTime is how long a play goes on at most without faults and new jobs until all has to be in
	// order, settleLeast at least.
	maxSettleTime = 45 * time.Second
	minSettleTime = 8 * time.Second
	// commitTime is what the head's newest entries may take to be committed: until then readers see the state before.
	commitTime = time.Second
	// finalReadTimeout is how long the questions at the end may take.
	finalReadTimeout = 30 * time.Second
	// maxShrinkRuns bounds Shrink's search for a shorter list of faults, in plays.
	maxShrinkRuns = 60
)

// DefaultOptions returns the usual play of a seed: three to seven members of the control plane, with each tolerance that
// they allow.
func DefaultOptions(seed uint64) Options {
	cores := 3 + int(seed%5)
	return Options{Seed: seed, Cores: cores, Runners: 8, Gateways: 2, FaultTolerance: 1 + int(seed/5)%((cores-1)/2), Length: 30 * time.Second,
		FrequentConfigChanges: seed%9 == 4, LargeSpecs: seed%4 == 1}
}

// Run plays once and returns what it came to.
func Run(o Options) *Report {
	sim := &simulation{options: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), processes: make(map[string]*process), partitions: make(map[link]time.Duration), lastArrival: make(map[link]time.Duration), network: newNetwork()}
	sim.checker, sim.operator = sim.newChecker(), sim.newOperator()
	sim.bootAll()
	for i, f := range sim.drawFaults() {
		sim.report.Faults = append(sim.report.Faults, fmt.Sprintf("%.3f %s", f.at.Seconds(), f.name))
		if o.SkipFaults[i] {
			continue
		}
		sim.after(f.at, func() {
			sim.trace("FAULT %s", f.name)
			f.begin()
		})
	}
	sim.after(compareInterval, sim.compareStates)
	sim.after(2*time.Second, sim.readEverywhere)
	sim.startClients()
	sim.advance(o.Length + minSettleTime)
	for sim.now < o.Length+maxSettleTime && !sim.idle() && len(sim.report.Violations) == 0 {
		sim.advance(sim.now + time.Second)
	}
	sim.advance(sim.now + commitTime)
	if len(sim.report.Violations) == 0 {
		sim.checkFinalState()
	}
	return &sim.report
}

// bootAll starts all machines.
func (sim *simulation) bootAll() {
	for i := range sim.options.Cores {
		c := sim.newCore(i)
		sim.cores = append(sim.cores, c)
		sim.lastCoreNumber = i
		sim.after(sim.randomDuration(0, 300*time.Millisecond), c.boot)
	}
	for i := range sim.options.Gateways {
		c := sim.newGateway(i)
		sim.gateways = append(sim.gateways, c)
		sim.after(sim.randomDuration(0, 300*time.Millisecond), c.boot)
		c.node, c.pendingReplies = nil, nil
	}
	for i := range sim.options.Runners {
		s := sim.newRunnerHost(i)
		sim.runnerHosts = append(sim.runnerHosts, s)
		sim.after(sim.randomDuration(0, 300*time.Millisecond), func() { s.boot(); s.startRunner() })
	}
	sim.after(500*time.Millisecond, sim.operator.start)
}

// startClients has clients send jobs.
func (sim *simulation) startClients() {
	c := &client{sim: sim}
	sim.clients = append(sim.clients, c)
	var next func()
	next = func() {
		if sim.now > sim.options.Length {
			return
		}
		c.submit(sim.newJob())
		sim.after(sim.randomDuration(20*time.Millisecond, 700*time.Millisecond), next)
	}
	sim.after(2*time.Second, next)
}

// idle tells whether nothing is left to be run.
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

// checkFinalState checks what has to hold at the end: each accepted job is known, and those that can end have ended.
func (sim *simulation) checkFinalState() {
	open := 0
	for _, c := range sim.clients {
		for _, j := range c.jobs {
			if j.acceptedAt == 0 {
				continue
			}
			open++
			sim.readFinalState(c, j, 10, func(known bool) {
				open--
				switch {
				case !known:
					sim.violation("LOST", "job %s is not known or not answered for at the end", j.id)
				case !finalStates[j.lastState] && !j.longRunning():
					sim.traceHead()
					sim.violation("LOST", "job %s is %s at the end", j.id, j.lastState)
				case j.lastState == "completed":
					sim.report.Done++
				}
			})
		}
	}
	read := false
	var look func()
	look = func() {
		sim.operator.read(func(_ uint64, ok bool) {
			if !ok {
				sim.after(300*time.Millisecond, look)
				return
			}
			read = true
		})
	}
	look()
	for until := sim.now + finalReadTimeout; sim.now < until && (open > 0 || !read) && len(sim.report.Violations) == 0; {
		sim.advance(sim.now + 100*time.Millisecond)
	}
	if len(sim.report.Violations) == 0 && (open > 0 || !read) {
		sim.violation("RECOVER", "%d jobs have no answer at the end, configuration read: %v", open, read)
	}
}

// traceHead traces what the head knows of what runs and waits.
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
	for _, side := range sim.runnerHosts {
		for _, one := range side.runner.sorted() {
			sim.trace("%s: %s runs %s run %d", side.address, side.runner.id, one.task, one.number)
		}
	}
}

// readFinalState asks for a job's state, some times.
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

// MinimizeFaults looks for a shorter list of faults that breaks a rule too, and returns which are left out.
func MinimizeFaults(o Options) map[int]bool {
	best := o.SkipFaults
	if best == nil {
		best = make(map[int]bool)
	}
	first := Run(o)
	plays := 0
	for i := range first.Faults {
		if best[i] || plays >= maxShrinkRuns {
			continue
		}
		skipped := make(map[int]bool, len(best)+1)
		for k := range best {
			skipped[k] = true
		}
		skipped[i] = true
		o.SkipFaults = skipped
		plays++
		if len(Run(o).Violations) > 0 {
			best = skipped
		}
	}
	return best
}
