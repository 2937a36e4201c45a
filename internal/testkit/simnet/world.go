// Package simnet plays the whole cluster scheduler on a simulated network: members of the control plane
// with disks, carriers, companions with runners, clients and operators, all in virtual time from one seed.
// Faults are drawn from the seed too; after each step the rules are checked as invariants. A play of the same
// seed and faults is the same play.
package simnet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"frosttide/internal/protocol"
)

// Options say what is played.
type Options struct {
	Seed                  uint64
	Cores                 int           // members of the control plane
	Runners               int           // each with a companion
	Gateways              int           // that take clients' jobs
	FaultTolerance        int           // machines with a disk that may be lost at once
	Length                time.Duration // in which clients send and faults strike
	SkipFaults            map[int]bool  // faults left out, by their number, for shorter traces
	CoreOnly              bool          // only machines of the control plane meet faults
	FrequentConfigChanges bool          // the operator changes the configuration many times a second
	LargeSpecs            bool          // jobs have long texts, so that states go over in many pieces
	MissingCheck          MissingCheck  // a safety check that is taken out, for tests of the checks
	Trace                 func(line string)
}

// MissingCheck names a safety check that a play goes without. The programs have no switch for it: the world
// undoes what the check protects.
type MissingCheck int

// The weaknesses.
const (
	AllChecks     MissingCheck = iota
	NoLeaseWait                // companions are told longer leases than the head counts with
	NoSync                     // disks say that they have synced what they have not
	NoFencing                  // orders of a head that is none any more look like the newest
	NoNewIdentity              // a member that has lost its disk comes back as its old self
)

// Violation is a rule that was broken.
type Violation struct {
	Rule string
	At   time.Duration
	Text string
}

// String returns the violation as a line.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f %s: %s", v.At.Seconds(), v.Rule, v.Text)
}

// Report is what a play came to.
type Report struct {
	Violations []Violation
	Faults     []string // as they were played, by their number
	Accepted   int      // jobs
	Done       int      // jobs shown as completed
	Starts     int
	Calls      []Call // of operators, and of clients for their jobs' states
}

// event is something that happens at a time.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

// eventHeap orders events by time, then by when they were made.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	if h[a].at != h[b].at {
		return h[a].at < h[b].at
	}
	return h[a].sequence < h[b].sequence
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push is part of heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop is part of heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = event{}
	*h = (*h)[:len(*h)-1]
	return last
}

// simulation is a play.
type simulation struct {
	options         Options
	rng             *rand.Rand
	now             time.Duration
	events          eventHeap
	sequence        uint64
	lastFault       time.Duration // when the newest fault began or ended
	lastDiskLoss    time.Duration // when a disk was last lost
	lastReplacement time.Duration // when a machine was last taken away for good, or came new
	report          Report

	processes      map[string]*process // by internal address
	cores          []*core
	lastCoreNumber int // the newest machine of the core has this number
	runnerHosts    []*runnerHost
	gateways       []*gatewayHost
	partitions     map[link]time.Duration // cut links, until when
	lastArrival    map[link]time.Duration // when the newest message arrives: links keep the order
	network        network                // what ails it
	clients        []*client
	operator       *operator
	checker        *checker
}

// link is one way between two processes.
type link struct{ from, to string }

// process is what the network knows of a process.
type process struct {
	address     string
	up          bool
	paused      bool
	incarnation int // rises with each start
	startedAt   time.Duration
	inbox       []func()
	receive     func(from string, e *protocol.Envelope)
	turn        func() // carries out what messages have led to
}

// tickEvery is how often processes are told of the time.
const tickEvery = 20 * time.Millisecond

// after has something happen later.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: sim.now + d, sequence: sim.sequence, do: do})
}

// trace notes a line.
func (sim *simulation) trace(format string, args ...any) {
	if sim.options.Trace != nil {
		sim.options.Trace(fmt.Sprintf("%9.4f ", sim.now.Seconds()) + fmt.Sprintf(format, args...))
	}
}

// randomDuration returns a random time.
func (sim *simulation) randomDuration(lower, upper time.Duration) time.Duration {
	return lower + time.Duration(sim.rng.Int64N(int64(upper-lower)+1))
}

// clock returns the steady clock of a process.
func (sim *simulation) clock(p *process) time.Duration { return sim.now - p.startedAt }

// execute has a process do something now, or once it is no longer frozen.
func (sim *simulation) execute(p *process, do func()) {
	if p.paused {
		p.inbox = append(p.inbox, do)
		return
	}
	do()
	p.turn()
}

// repeat has a process do something every so often while it lives.
func (sim *simulation) repeat(p *process, every time.Duration, do func()) {
	incarnation := p.incarnation
	var again func()
	again = func() {
		if !p.up || p.incarnation != incarnation {
			return
		}
		if !p.paused {
			do()
			p.turn()
		}
		sim.after(every, again)
	}
	sim.after(sim.randomDuration(0, every), again)
}

// start begins a process's life.
func (sim *simulation) start(p *process) {
	p.incarnation++
	p.up, p.paused, p.inbox = true, false, nil
	p.startedAt = sim.now - time.Duration(sim.rng.Int64N(int64(time.Hour)))
}

// stop ends a process's life.
func (sim *simulation) stop(p *process) {
	p.up, p.paused, p.inbox = false, false, nil
	p.incarnation++
}

// pause has a process stand still for a time.
func (sim *simulation) pause(p *process, d time.Duration) {
	if !p.up || p.paused {
		return
	}
	p.paused = true
	incarnation := p.incarnation
	sim.after(d, func() {
		if p.incarnation != incarnation {
			return
		}
		sim.recordFault()
		p.paused = false
		inbox := p.inbox
		p.inbox = nil
		for _, do := range inbox {
			if p.incarnation == incarnation {
				sim.execute(p, do)
			}
		}
	})
}

// recordFault notes that a fault has begun or ended.
func (sim *simulation) recordFault() { sim.lastFault = sim.now }

// noFaultFor tells whether no fault has begun, ended or been in force for a time.
func (sim *simulation) noFaultFor(d time.Duration) bool { return sim.now-sim.lastFault >= d }

// violation notes a rule that is broken.
func (sim *simulation) violation(rule, format string, args ...any) {
	v := Violation{Rule: rule, At: sim.now, Text: fmt.Sprintf(format, args...)}
	sim.trace("BROKEN %s: %s", rule, v.Text)
	sim.report.Violations = append(sim.report.Violations, v)
}

// advance lets time pass until the end or until a rule is broken.
func (sim *simulation) advance(until time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= until && len(sim.report.Violations) == 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = max(sim.now, until)
}
