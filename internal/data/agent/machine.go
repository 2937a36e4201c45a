// Package agent answers the heartbeats of one runner. It holds the set of runs that the head wants
// there, has the runner start what is missing and stop what is not wanted, passes the ends on to the
// head, and lets the runner's holds grow only within the lease that the head has granted. Machine is pure;
// Server runs it on HTTP and the internal transport.
package agent

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
)

// Config holds what the settings say.
type Config struct {
	Incarnation uint64
	HoldMax     time.Duration // longest hold that runners take
	Contacts    []string      // core machines to ask for the view at first
	Seed        uint64
}

// Beat is a heartbeat of the runner.
type Beat struct {
	Account  *protocol.RunnerAccount
	Sequence uint64
	Running  []*protocol.RunProgress
	Finished []*protocol.RunEnd
}

// Answer is what the runner is told.
type Answer struct {
	Hold     time.Duration // 0 gives none
	LastSeen uint64
	Fence    uint64
	Start    []*protocol.RunOrder
	Stop     []*protocol.RunRef
	Retry    time.Duration
}

// Send is a message to the process at an internal address.
type Send struct {
	To      string
	Message *protocol.Envelope
}

// Machine is the companion. It is not safe for concurrent use.
type Machine struct {
	cfg   Config
	now   time.Duration
	began time.Duration
	sends []Send

	incarnation uint64 // rises where a runner was given up, so that orders from before are void
	session     uint64 // of the head's orders
	runner      *runner
	gone        map[string]time.Duration // runners that run nothing any more, until the head surely knows
	head        string                   // internal address of the head, empty where none is known
	epoch       uint64                   // of the head
	sequence    uint64                   // newest orders applied of this epoch
	whole       bool                     // the whole set of this epoch has come
	lease       time.Duration            // end of the lease
	round       uint64                   // of the newest request for a lease
	asked       map[uint64]time.Duration // when rounds were asked
	nextReport  time.Duration
	retry       time.Duration
	pause       time.Duration // between reports
	heardHead   time.Duration
	contact     int
}

// runner is the runner as its beats show it.
type runner struct {
	account   *protocol.RunnerAccount
	known     bool // the head knows the account as it is
	sequence  uint64
	heard     time.Duration
	wanted    map[string]*protocol.RunOrder
	told      map[string]*attempt // starts that the runner has been told of and does not list
	refused   map[string]uint32   // runs that it surely never starts, until the head has dropped them
	fenced    map[string]*fence   // runs that are wanted no longer and not listed, until they surely never begin
	running   map[string]uint32
	lastSeen  uint64
	ends      map[uint64]*protocol.RunEnd // listed and not noted by the head, by number
	sentEnds  uint64                      // highest end sent to this head
	holdUntil time.Duration               // when the newest hold surely has run out
	left      bool                        // it has taken its leave and ends, now or many seconds later
	probes    int                         // looks in this silence
	refusals  int                         // of these, that found nobody listening
}

// silent tells whether a runner has missed its beats.
func (m *Machine) silent(r *runner) bool {
	return m.now-r.heard > min(silentMost, silentAfter+time.Duration(len(r.running))*silentRun)
}

const (
	// reportEvery is how often the lease is renewed until the head says how often.
	reportEvery = 200 * time.Millisecond
	// findEvery is how often the head is looked for while there is none.
	findEvery = 100 * time.Millisecond
	// headSilent is how long the head may be silent until it is looked for.
	headSilent = 900 * time.Millisecond
	// silentAfter is how long a runner that runs nothing may be silent until it gets no more tasks, silentRun
	// what each of its runs adds to that and silentMost the bound: a runner puts its beat off until 50 ms after
	// its newest end, so that one with many short runs is silent for longer.
	silentAfter = 300 * time.Millisecond
	silentRun   = 10 * time.Millisecond
	silentMost  = 900 * time.Millisecond
	// probesRefused is how many looks at a silent runner have to find that nobody listens there until it
	// counts as ended.
	probesRefused = 2
	// mostProbes bounds the looks in one silence, mostProbesLeft those at a runner that has taken its leave and is
	// about to end.
	mostProbes     = 4
	mostProbesLeft = 12
	// clockSlack is how much slower than ours a runner's clock may be; the rules say 2%.
	clockSlack = 0.03
	// holdMargin is added to a hold's end.
	holdMargin = 200 * time.Millisecond
	// defaultRetry is the pause between beats until the head says another.
	defaultRetry = 50 * time.Millisecond
	// goneKept is how long the head is told of a runner that is gone.
	goneKept = 30 * time.Second
	// draining and departing runners get short holds.
	leastHold = 100 * time.Millisecond
)

// New returns a companion that knows nothing yet.
func New(cfg Config, now time.Duration) *Machine {
	return &Machine{cfg: cfg, incarnation: cfg.Incarnation, now: now, began: now, gone: make(map[string]time.Duration), asked: make(map[uint64]time.Duration), retry: defaultRetry, pause: reportEvery}
}

// TakeSends returns the messages to be sent since the last call.
func (m *Machine) TakeSends() []Send {
	out := m.sends
	m.sends = nil
	return out
}

// Beat handles a heartbeat and returns the answer.
func (m *Machine) Beat(now time.Duration, b *Beat) Answer {
	m.now = now
	r := m.runner
	if r == nil || r.account.GetId() != b.Account.GetId() {
		if r != nil && m.isOlder(b) {
			return Answer{Retry: m.retry}
		}
		r = m.meet(b)
	}
	if b.Sequence < r.sequence {
		return Answer{LastSeen: r.lastSeen, Retry: m.retry} // it comes late; what it lists is old
	}
	r.sequence, r.heard, r.probes, r.refusals = b.Sequence, now, 0, 0
	m.noteAccount(r, b.Account)
	m.noteLists(r, b)
	return m.answer(r)
}

// isOlder tells whether a beat is of a runner that was replaced here.
func (m *Machine) isOlder(b *Beat) bool {
	_, gone := m.gone[b.Account.GetId()]
	return gone
}

// meet begins with a runner: one that was here under another id runs nothing any more.
func (m *Machine) meet(b *Beat) *runner {
	if m.runner != nil {
		m.gone[m.runner.account.GetId()] = m.now
	}
	// A companion that has started anew knows no holds of the time before; they may last for the longest time.
	m.runner = &runner{wanted: make(map[string]*protocol.RunOrder), told: make(map[string]*attempt), refused: make(map[string]uint32), fenced: make(map[string]*fence), running: make(map[string]uint32), ends: make(map[uint64]*protocol.RunEnd),
		holdUntil: m.now + m.surely(m.cfg.HoldMax)}
	m.whole = false
	delete(m.gone, b.Account.GetId())
	m.runner.account = b.Account
	m.nextReport = 0
	return m.runner
}

// surely returns when a hold has run out on the slowest clock.
func (m *Machine) surely(hold time.Duration) time.Duration {
	return hold + time.Duration(clockSlack*float64(hold)) + holdMargin
}

// noteAccount has the head told where the account has changed.
func (m *Machine) noteAccount(r *runner, a *protocol.RunnerAccount) {
	before, now := r.account.GetCapacity(), a.GetCapacity()
	if r.account.GetDraining() != a.GetDraining() || r.account.GetService() != a.GetService() ||
		before.GetCpu() != now.GetCpu() || before.GetMemMb() != now.GetMemMb() || before.GetGpus() != now.GetGpus() {
		r.known = false
		m.nextReport = 0
	}
	r.account = a
}

// noteLists takes in what the runner runs and what has ended.
func (m *Machine) noteLists(r *runner, b *Beat) {
	clear(r.running)
	for _, p := range b.Running {
		r.running[p.GetTask()] = p.GetRun()
	}
	fresh := false
	for _, e := range b.Finished {
		if e.GetNumber() <= r.lastSeen || r.ends[e.GetNumber()] != nil {
			continue
		}
		r.ends[e.GetNumber()] = e
		fresh = true
		if f := r.fenced[e.GetTask()]; f != nil && f.run <= e.GetRun() {
			delete(r.fenced, e.GetTask())
		}
		if w := r.wanted[e.GetTask()]; w != nil && w.GetRun() <= e.GetRun() {
			delete(r.wanted, e.GetTask())
		}
	}
	if fresh {
		m.nextReport = 0
	}
}

// answer tells the runner what is wanted of it.
func (m *Machine) answer(r *runner) Answer {
	a := Answer{LastSeen: r.lastSeen, Fence: m.epoch, Retry: m.retry}
	left := m.lease - m.now
	if left < leastHold || !m.whole {
		return a
	}
	a.Hold = min(m.cfg.HoldMax, left)
	r.holdUntil = max(r.holdUntil, m.now+m.surely(a.Hold))
	if !r.account.GetDraining() && !r.left {
		for _, task := range slices.Sorted(maps.Keys(r.wanted)) {
			m.startOrBar(r, r.wanted[task], &a)
		}
	}
	for _, task := range slices.Sorted(maps.Keys(r.running)) {
		run := r.running[task]
		if w := r.wanted[task]; w == nil || w.GetRun() != run {
			a.Stop = append(a.Stop, &protocol.RunRef{Task: task, Run: run})
		}
	}
	m.barFenced(r, &a)
	return a
}

// Leave handles that the runner takes its leave. It may run on for many seconds and beat late meanwhile, so that the
// leave alone says nothing of what it runs: it gets nothing more to start, and counts as ended as any other does.
func (m *Machine) Leave(now time.Duration, id string) {
	m.now = now
	if m.runner == nil || m.runner.account.GetId() != id {
		return
	}
	m.runner.left = true
	m.nextReport = 0
}

// Doubtful returns the id of a runner that has fallen silent and is to be looked at now.
func (m *Machine) Doubtful(now time.Duration) (id string, ok bool) {
	m.now = now
	r := m.runner
	if r == nil || !m.silent(r) || r.probes >= mostProbes && !r.left || r.probes >= mostProbesLeft {
		return "", false
	}
	m.runner.probes++
	return m.runner.account.GetId(), true
}

// Probed notes what a look at a silent runner has found. A machine on which nobody listens at the runner's
// address, again and again, while it is silent, has no runner any more.
func (m *Machine) Probed(now time.Duration, id string, refused bool) {
	m.now = now
	r := m.runner
	if r == nil || r.account.GetId() != id || !m.silent(r) {
		return
	}
	if !refused {
		r.refusals = 0
		return
	}
	if r.refusals++; r.refusals >= probesRefused {
		m.giveUp(r)
	}
}

// Draining tells whether the runner's wish to leave is known here; it is from then on sent nothing.
func (m *Machine) Draining() bool { return m.runner != nil && m.runner.account.GetDraining() }
