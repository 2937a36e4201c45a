// Package simnet runs the whole cluster scheduler on a simulated network: the control plane's members with their disks,
// gateways, agents with runners, clients and an operator, all of it the programs' own state machines in virtual time.
// Faults strike meanwhile: crashes, losses of power with torn writes, lost, slow and failing disks, pauses, throttling,
// clock steps, partitions, packet loss, delayed and duplicated messages, resets of connections and bounds of bandwidth.
//
// After each step the rules are checked as invariants, by what really happened and not by what the system says of itself;
// the first violation ends a simulation. Everything is drawn from one seed, so that a run of the same options is the same
// run: nothing may draw from another source, read a clock or depend on the order of a map.
//
// The program frosttide-simulate and the tests of this package call it. Run is safe for concurrent use; a simulation runs
// in one goroutine.
package simnet

import (
	"fmt"
	"time"
)

// Options say what is simulated.
type Options struct {
	Seed           uint64        // decides everything that is drawn
	Cores          int           // machines of the control plane
	Runners        int           // each with an agent of its own
	Gateways       int           // that take clients' jobs
	FaultTolerance int           // machines with their disks that may be lost at once
	Length         time.Duration // virtual time in which clients send jobs and faults strike

	CoreOnly              bool // only machines of the control plane meet faults
	FrequentConfigChanges bool // the operator changes the configuration many times a second
	LargeSpecs            bool // jobs have long specs, so that state transfers take many chunks
	BufferedResets        bool // what a receiver had buffered of a link that is reset may be handled for a while

	SkipFaults   map[int]bool      // faults that are left out, by their number in Report.Faults
	MissingCheck MissingCheck      // a safety check that the simulation goes without
	Trace        func(line string) // takes each line of the trace; nil for none
}

// MissingCheck names a safety check that a simulation goes without, for tests of the rules. The programs have no
// switch for it: the simulation undoes what the check protects.
type MissingCheck int

// The safety checks that can be missing.
const (
	AllChecks     MissingCheck = iota // none is missing
	NoLeaseWait                       // agents get longer leases than the head counts with
	NoSync                            // disks report a sync that they have not done
	NoFencing                         // orders of a former head carry the newest epoch
	NoNewIdentity                     // a member that has lost its disk comes back under its old identity
	NoLinkOrder                       // what was buffered of a link that is reset is handled after messages of the next one
)

// Violation is a rule that was violated.
type Violation struct {
	Rule string // its name in the rules, such as LOST or TWICE
	At   time.Duration
	Text string
}

// String returns the violation as a line.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f %s: %s", v.At.Seconds(), v.Rule, v.Text)
}

// Report is the outcome of a simulation.
type Report struct {
	Violations []Violation // at most the first, as the simulation ends with it, and those of the same step
	Faults     []string    // all that were drawn, in the order of their numbers, with their times
	Accepted   int         // jobs that clients were told are accepted
	Done       int         // of those, jobs that were completed at the end
	Starts     int         // runs that runners started
	Calls      []Call      // of operators, and of clients for their jobs' states
}

const (
	// maxQuiesceTime is how long a simulation goes on at most without faults and new jobs until all has to be in order,
	// minQuiesceTime at least.
	maxQuiesceTime = 45 * time.Second
	minQuiesceTime = 8 * time.Second
	// commitTime is how long the head's newest entries may take to be committed: until then readers see the state before.
	commitTime = time.Second
	// maxMinimizeRuns bounds the simulations of MinimizeFaults.
	maxMinimizeRuns = 60
)

// DefaultOptions returns the usual options of a seed: three to seven machines of the control plane, with each fault
// tolerance that their number allows.
func DefaultOptions(seed uint64) Options {
	cores := 3 + int(seed%5)
	return Options{
		Seed:                  seed,
		Cores:                 cores,
		Runners:               8,
		Gateways:              2,
		FaultTolerance:        1 + int(seed/5)%((cores-1)/2),
		Length:                30 * time.Second,
		FrequentConfigChanges: seed%9 == 4,
		LargeSpecs:            seed%4 == 1,
		BufferedResets:        seed%2 == 1,
	}
}

// Run simulates once and returns the outcome. Runs of the same options are the same. It is safe for concurrent use.
func Run(o Options) *Report {
	sim := newSimulation(o)
	sim.bootAll()
	sim.scheduleFaults()
	sim.after(compareInterval, sim.compareStates)
	sim.after(2*time.Second, sim.readEverywhere)
	sim.startClients()
	sim.advance(o.Length + minQuiesceTime)
	for sim.now < o.Length+maxQuiesceTime && !sim.idle() && len(sim.report.Violations) == 0 {
		sim.advance(sim.now + time.Second)
	}
	sim.advance(sim.now + commitTime)
	if len(sim.report.Violations) == 0 {
		sim.checkFinalState()
	}
	return &sim.report
}

// MinimizeFaults looks for a smaller set of faults that still has a rule violated, and returns which faults are left
// out, for Options.SkipFaults. It tries to leave out one fault after the other, in at most maxMinimizeRuns
// simulations.
func MinimizeFaults(o Options) map[int]bool {
	best := o.SkipFaults
	if best == nil {
		best = make(map[int]bool)
	}
	first := Run(o)
	runs := 0
	for i := range first.Faults {
		if best[i] || runs >= maxMinimizeRuns {
			continue
		}
		skipped := make(map[int]bool, len(best)+1)
		for k := range best {
			skipped[k] = true
		}
		skipped[i] = true
		o.SkipFaults = skipped
		runs++
		if len(Run(o).Violations) > 0 {
			best = skipped
		}
	}
	return best
}
