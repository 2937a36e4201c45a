// Package simnet runs the whole cluster scheduler on a simulated network in virtual time: the
// members of the control plane with their disks, gateways, agents with runners, clients and an
// operator. It drives the same state machines that the programs run.
//
// While clients submit jobs it injects faults: crashes, power loss with torn writes, lost, slow and
// failing disks, pauses, CPU throttling, clock steps, partitions, packet loss, delayed and
// duplicated messages, connection resets and limited bandwidth.
//
// The rules are checked as invariants after each step, against what the simulation observed and not
// against what the system reports; the first violation ends the simulation. Everything random is
// drawn from one seed, so that the same options always give the same run: code in this package must
// not use another source of randomness, read a clock or depend on the iteration order of a map.
//
// A machine of the control plane is called a core here and in traces. The head is the member that
// evaluates requests and appends their effects to the log, as in chain replication. The program
// frosttide-simulate and the tests of this package call Run, which is safe for concurrent use; each
// simulation runs in one goroutine.
package simnet

import (
	"fmt"
	"time"
)

// Options configure a simulation. DefaultOptions returns the usual ones of a seed.
type Options struct {
	Seed           uint64        // of the random numbers
	Cores          int           // machines of the control plane
	Runners        int           // each with its own agent
	Gateways       int           // which accept clients' jobs
	FaultTolerance int           // machines, with their disks, that may be lost at the same time
	Length         time.Duration // virtual time with new jobs and faults

	CoreOnly              bool // faults affect only machines of the control plane
	FrequentConfigChanges bool // the operator changes the configuration many times a second
	LargeSpecs            bool // jobs have large specs, so that state transfers take many chunks
	BufferedResets        bool // receivers may handle messages buffered before a reset
	ManyTasks             bool // one more runner has hundreds of small tasks at a time
	LastingTasks          bool // with ManyTasks, a long-running job has more tasks than that runner has tokens
	ImpatientClients      bool // clients cancel some jobs before they have an answer

	SkipFaults   map[int]bool      // faults that are not injected, by their index in Report.Faults
	MissingCheck MissingCheck      // the safety check that the simulation runs without
	Trace        func(line string) // receives each line of the trace; nil for no trace
}

// MissingCheck names a safety check that a simulation runs without, to test that the rules detect
// its absence. The programs have no switch for it: the simulation undoes the effect of the check.
type MissingCheck int

// The safety checks that can be missing.
const (
	AllChecks     MissingCheck = iota // no check is missing
	NoLeaseWait                       // agents get longer leases than the head assumes
	NoSync                            // disks report a sync as done without doing it
	NoFencing                         // run orders of a former head carry the newest epoch
	NoNewIdentity                     // a member that lost its disk returns under its old identity
	NoLinkOrder                       // messages from before a reset are handled after newer ones
)

// Violation is a rule that was violated, with the virtual time and a description.
type Violation struct {
	Rule string // its name, such as LOST or TWICE
	At   time.Duration
	Text string
}

// String returns the violation on one line: seconds of virtual time, rule and description.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f %s: %s", v.At.Seconds(), v.Rule, v.Text)
}

// Report is the outcome of a simulation.
type Report struct {
	Violations []Violation // of the first step that violates a rule; the simulation ends there
	Faults     []string    // all that were drawn, each with its time in seconds
	Accepted   int         // jobs whose acceptance was acknowledged to a client
	Done       int         // accepted jobs that were completed at the end
	Starts     int         // runs that runners have started
	// UnlistedEnds says that a runner had more ends to report than a heartbeat lists.
	UnlistedEnds bool
	Calls        []Call // of the operator, and reads of job states by clients
}

const (
	// A simulation goes on without faults and new jobs for at least minQuiesceTime. It ends once no
	// job is left to run, at the latest after maxQuiesceTime: by then the final state has to be
	// right.
	maxQuiesceTime = 45 * time.Second
	minQuiesceTime = 8 * time.Second
	// commitTime is how long the newest entries of the head may take to be committed; reads show
	// the state before them until then.
	commitTime = time.Second
	// maxMinimizeRuns bounds the simulations that MinimizeFaults runs.
	maxMinimizeRuns = 60
)

// DefaultOptions returns the usual options of a seed. Seeds cover three to seven machines of the
// control plane, each with every fault tolerance that their number allows.
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
		ManyTasks:             seed%6 == 2,
		LastingTasks:          seed%12 == 8,
		ImpatientClients:      seed%3 == 0,
	}
}

// Run runs one simulation and returns its outcome. The same options always give the same outcome.
// It is safe for concurrent use.
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

// MinimizeFaults looks for a smaller set of faults with which a rule is still violated. It tries to
// leave out one fault after the other, in at most maxMinimizeRuns simulations, and returns the
// numbers of the faults to leave out, for Options.SkipFaults.
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
