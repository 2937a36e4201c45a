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
	Seed     uint64
	Cores    int           // members of the control plane
	Runners  int           // each with a companion
	Carriers int           // that take clients' jobs
	Faults   int           // machines with a disk that may be lost at once
	Length   time.Duration // in which clients send and faults strike
	Skip     map[int]bool  // faults left out, by their number, for shorter traces
	CoreOnly bool          // only machines of the control plane meet faults
	Changes  bool          // the operator changes the configuration many times a second
	Bulk     bool          // jobs have long texts, so that states go over in many pieces
	Weaken   Weakness      // a safety check that is taken out, for tests of the checks
	Trace    func(line string)
}

// Weakness names a safety check that a play goes without. The programs have no switch for it: the world
// undoes what the check protects.
type Weakness int

// The weaknesses.
const (
	Sound         Weakness = iota
	NoHoldWait             // companions are told longer leases than the head counts with
	NoSync                 // disks say that they have synced what they have not
	NoFence                // orders of a head that is none any more look like the newest
	KeepsIdentity          // a member that has lost its disk comes back as its old self
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
	Broken   []Violation
	Faults   []string // as they were played, by their number
	Accepted int      // jobs
	Done     int      // jobs shown as completed
	Starts   int
	Calls    []Call // of operators, and of clients for their jobs' states
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// eventHeap orders events by time, then by when they were made.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	if h[a].at != h[b].at {
		return h[a].at < h[b].at
	}
	return h[a].order < h[b].order
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

// world is a play.
type world struct {
	options      Options
	rng          *rand.Rand
	now          time.Duration
	events       eventHeap
	order        uint64
	trouble      time.Duration // when the newest fault began or ended
	lastWipe     time.Duration // when a disk was last lost
	lastReplaced time.Duration // when a machine was last taken away for good, or came new
	report       Report

	processes map[string]*process // by internal address
	cores     []*core
	addresses int // the newest machine of the core has this number
	sides     []*side
	carriers  []*carrierHost
	cuts      map[link]time.Duration // cut links, until when
	arrives   map[link]time.Duration // when the newest message arrives: links keep the order
	network   network                // what ails it
	clients   []*client
	operator  *operator
	check     *checker
}

// link is one way between two processes.
type link struct{ from, to string }

// process is what the network knows of a process.
type process struct {
	address string
	up      bool
	frozen  bool
	life    int // rises with each start
	born    time.Duration
	inbox   []func()
	receive func(from string, e *protocol.Envelope)
	turn    func() // carries out what messages have led to
}

// tickEvery is how often processes are told of the time.
const tickEvery = 20 * time.Millisecond

// after has something happen later.
func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + d, order: w.order, do: do})
}

// trace notes a line.
func (w *world) trace(format string, args ...any) {
	if w.options.Trace != nil {
		w.options.Trace(fmt.Sprintf("%9.4f ", w.now.Seconds()) + fmt.Sprintf(format, args...))
	}
}

// between returns a random time.
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Int64N(int64(most-least)+1))
}

// clock returns the steady clock of a process.
func (w *world) clock(p *process) time.Duration { return w.now - p.born }

// run has a process do something now, or once it is no longer frozen.
func (w *world) run(p *process, do func()) {
	if p.frozen {
		p.inbox = append(p.inbox, do)
		return
	}
	do()
	p.turn()
}

// repeat has a process do something every so often while it lives.
func (w *world) repeat(p *process, every time.Duration, do func()) {
	life := p.life
	var again func()
	again = func() {
		if !p.up || p.life != life {
			return
		}
		if !p.frozen {
			do()
			p.turn()
		}
		w.after(every, again)
	}
	w.after(w.between(0, every), again)
}

// start begins a process's life.
func (w *world) start(p *process) {
	p.life++
	p.up, p.frozen, p.inbox = true, false, nil
	p.born = w.now - time.Duration(w.rng.Int64N(int64(time.Hour)))
}

// stop ends a process's life.
func (w *world) stop(p *process) {
	p.up, p.frozen, p.inbox = false, false, nil
	p.life++
}

// freeze has a process stand still for a time.
func (w *world) freeze(p *process, d time.Duration) {
	if !p.up || p.frozen {
		return
	}
	p.frozen = true
	life := p.life
	w.after(d, func() {
		if p.life != life {
			return
		}
		w.troubled()
		p.frozen = false
		inbox := p.inbox
		p.inbox = nil
		for _, do := range inbox {
			if p.life == life {
				w.run(p, do)
			}
		}
	})
}

// troubled notes that a fault has begun or ended.
func (w *world) troubled() { w.trouble = w.now }

// calmFor tells whether no fault has begun, ended or been in force for a time.
func (w *world) calmFor(d time.Duration) bool { return w.now-w.trouble >= d }

// broken notes a rule that is broken.
func (w *world) broken(rule, format string, args ...any) {
	v := Violation{Rule: rule, At: w.now, Text: fmt.Sprintf(format, args...)}
	w.trace("BROKEN %s: %s", rule, v.Text)
	w.report.Broken = append(w.report.Broken, v)
}

// play lets time pass until the end or until a rule is broken.
func (w *world) play(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until && len(w.report.Broken) == 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = max(w.now, until)
}
