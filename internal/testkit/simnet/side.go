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
	lease      = 12 * time.Second
	holdMax    = 6 * time.Second
	stopTime   = 400 * time.Millisecond
	gangWait   = 3 * time.Second
	answerTime = time.Second
	saveEvery  = 2 * time.Second
	farFactor  = 1.5
	// lateMost is how late a beat may come.
	lateMost = 3500 * time.Millisecond
	// probePause is the pause between looks at a silent runner.
	probePause = 100 * time.Millisecond
	// leastRetry is the shortest pause between beats: shorter ones would only make plays longer.
	leastRetry = 80 * time.Millisecond
	// slowClock is how much slower a runner's clock may be.
	slowClock = 0.02
	// statusKept is longer than a play lasts, so that no job may be forgotten in it.
	statusKept = 2 * time.Minute
	// dayBeginsMs is the true time of day at the play's beginning.
	dayBeginsMs = 1_800_000_000_000
)

// side is a machine with a runner and its companion.
type side struct {
	*process
	world  *world
	index  int
	node   *agent.Node
	runner *runner
	lives  int // of the runner
	probed time.Duration
}

// runner runs tasks as it is told; it guards nothing.
type runner struct {
	side       *side
	id         string
	service    string
	labels     []string
	cpu        int64
	slow       float64 // its clock's rate, up to slowClock slow
	up         bool
	draining   bool
	lateUntil  time.Duration // until then its beats come up to lateMost late
	drainAcked time.Duration
	sequence   uint64
	fence      uint64
	lastSeen   uint64
	ends       []*protocol.RunEnd
	next       uint64
	running    map[string]*run
	barred     map[string]uint32 // no run up to it is started
	hold       time.Duration     // true time at which all is killed
	held       bool
	out        bool // a heartbeat is unanswered
	retry      time.Duration
	beatNumber int
}

// run is a run on a runner.
type run struct {
	task     string
	number   uint32
	job      *job
	name     taskName
	began    time.Duration
	worked   time.Duration // since it began or, of a gang, since all were there
	stopping bool
	saved    string
	gang     bool
	together bool
	serial   uint64
	ended    bool
}

func sideAddress(i int) string { return fmt.Sprintf("side%d", i) }

func (w *world) newSide(i int) *side {
	s := &side{world: w, index: i, process: &process{address: sideAddress(i)}}
	w.processes[s.address] = s.process
	s.receive = func(from string, e *protocol.Envelope) { s.node.Receive(w.clock(s.process), from, e) }
	s.turn = func() {
		for _, m := range s.node.Turn(w.clock(s.process)) {
			w.send(s.process, m.To, m.Message)
		}
	}
	return s
}

// begin starts the companion.
func (s *side) begin() {
	w := s.world
	w.start(s.process)
	s.node = agent.NewNode(agent.Config{Incarnation: w.rng.Uint64() >> 1, HoldMax: holdMax, Contacts: []string{coreAddress(0), coreAddress(1), coreAddress(2)},
		Seed: w.rng.Uint64()}, s.address, w.clock(s.process))
	s.turn()
	w.repeat(s.process, 2*tickEvery, func() {
		s.node.Tick(w.clock(s.process))
		s.probe()
	})
}

// probe looks whether a runner that has fallen silent is still there, as the companion's host does.
func (s *side) probe() {
	w := s.world
	if w.now-s.probed < probePause {
		return
	}
	id, doubtful := s.node.Machine.Doubtful(w.clock(s.process))
	if !doubtful {
		return
	}
	s.probed = w.now
	life := s.life
	w.after(w.between(0, time.Millisecond), func() {
		refused := !s.runner.up
		if s.up && s.life == life {
			w.run(s.process, func() { s.node.Machine.Probed(w.clock(s.process), id, refused) })
		}
	})
}

// newRunner has a runner come up under a new id.
func (s *side) newRunner() {
	w := s.world
	s.lives++
	services := []string{"cut", "render"}
	s.runner = &runner{side: s, id: fmt.Sprintf("i%d-%d", s.index, s.lives), service: services[s.index%2], labels: []string{"ab"[s.index/2%2 : s.index/2%2+1], fmt.Sprintf("r%d-1", s.index/4)},
		cpu: 8000, slow: 1 + w.rng.Float64()*slowClock, up: true, running: make(map[string]*run), barred: make(map[string]uint32), retry: 50 * time.Millisecond}
	w.trace("runner %s comes up", s.runner.id)
	s.runner.beat()
}

// crash ends the runner; all it runs is gone.
func (r *runner) crash() {
	r.up = false
	for _, one := range r.running {
		r.side.world.check.gone(r, one)
	}
	r.running = make(map[string]*run)
	r.side.world.trace("runner %s is gone", r.id)
}

// beat sends a heartbeat to the companion and waits for its answer.
func (r *runner) beat() {
	if !r.up || r.out {
		return
	}
	w, s := r.side.world, r.side
	r.out = true
	r.beatNumber++
	number := r.beatNumber
	r.sequence++
	b := &agent.Beat{Sequence: r.sequence, Account: r.account()}
	for _, one := range r.sorted() {
		b.Running = append(b.Running, &protocol.RunProgress{Task: one.task, Run: one.number, Saved: one.saved})
	}
	b.Finished = append(b.Finished, r.ends...)
	sent, life := w.now, s.life
	delay := w.between(50*time.Microsecond, 400*time.Microsecond)
	if w.now < r.lateUntil {
		delay = w.between(0, lateMost)
	}
	if s.up {
		w.after(delay, func() {
			if !s.up || s.life != life {
				return
			}
			w.run(s.process, func() {
				a := s.node.Machine.Beat(w.clock(s.process), b)
				if b.Account.GetDraining() && r.drainAcked == 0 {
					r.drainAcked = w.now
				}
				w.after(w.between(50*time.Microsecond, 400*time.Microsecond), func() { r.answered(number, sent, a) })
			})
		})
	}
	w.after(answerTime, func() {
		if r.out && r.beatNumber == number {
			r.out = false
			w.after(r.retry, r.beat)
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

// answered takes a companion's answer.
func (r *runner) answered(number int, sent time.Duration, a agent.Answer) {
	w := r.side.world
	if !r.up || !r.out || number != r.beatNumber || w.now-sent > answerTime {
		return
	}
	r.out = false
	r.retry = max(a.Retry, leastRetry)
	w.after(r.retry, r.beat)
	if a.Fence < r.fence {
		return
	}
	r.fence = a.Fence
	r.see(a.LastSeen)
	if a.Hold <= 0 {
		return
	}
	r.extend(sent, a.Hold)
	for _, ref := range a.Stop {
		r.stop(ref.GetTask(), ref.GetRun())
	}
	for _, order := range a.Start {
		r.start(order)
	}
}

// see forgets the ends that were noted.
func (r *runner) see(lastSeen uint64) {
	for len(r.ends) > 0 && r.ends[0].GetNumber() <= lastSeen {
		r.side.world.check.noted(r, r.ends[0])
		r.ends = r.ends[1:]
	}
	r.lastSeen = max(r.lastSeen, lastSeen)
}

// extend lets the runner work on until a hold's end by its own clock.
func (r *runner) extend(sent time.Duration, hold time.Duration) {
	until := sent + time.Duration(float64(min(hold, holdMax))*r.slow)
	if until <= r.hold {
		return
	}
	r.hold = until
	w := r.side.world
	if r.held {
		return
	}
	r.held = true
	var look func()
	look = func() {
		if !r.up {
			return
		}
		if w.now < r.hold {
			w.after(r.hold-w.now, look)
			return
		}
		r.held = false
		w.check.lapse(r)
		for _, one := range r.sorted() {
			r.end(one, "lapsed")
		}
	}
	w.after(r.hold-w.now, look)
}

// start begins a run, unless it is old.
func (r *runner) start(o *protocol.RunOrder) {
	w := r.side.world
	if one := r.running[o.GetTask()]; one != nil && one.number >= o.GetRun() || o.GetRun() <= r.barred[o.GetTask()] {
		return
	}
	one := &run{task: o.GetTask(), number: o.GetRun(), began: w.now, saved: o.GetSaved(), serial: w.order}
	w.check.started(r, one, o)
	r.running[one.task] = one
	if one.job == nil {
		return
	}
	stage := one.job.stage(one.name)
	if one.gang = stage.Gang; one.gang {
		w.gangMet(one)
		w.after(gangWait, func() {
			if !one.together && !one.ended {
				r.end(one, "alone")
			}
		})
		return
	}
	r.work(one)
}

// work has a run end by itself after its time.
func (r *runner) work(one *run) {
	w := r.side.world
	stage := one.job.stage(one.name)
	one.worked = w.now
	how := "done"
	if stage.fails(one.name, one.number) {
		how = "failed"
	}
	if stage.LongRunning {
		if how != "failed" {
			return
		}
	}
	w.after(stage.time, func() {
		if !one.ended && !one.stopping {
			r.end(one, how)
		}
	})
}

// stop ends a run after a moment, and bars it where it is not there.
func (r *runner) stop(task string, number uint32) {
	w := r.side.world
	one := r.running[task]
	if one == nil || one.number > number {
		r.barred[task] = max(r.barred[task], number)
		return
	}
	if one.stopping {
		return
	}
	one.stopping = true
	w.after(w.between(0, stopTime), func() {
		if !one.ended {
			r.end(one, "stopped")
		}
	})
}

// end ends a run and lists it.
func (r *runner) end(one *run, how string) {
	w := r.side.world
	if !r.up || one.ended {
		return
	}
	one.ended = true
	delete(r.running, one.task)
	r.barred[one.task] = max(r.barred[one.task], one.number)
	if one.job != nil && one.job.stage(one.name).Checkpoints && w.now-one.began > saveEvery {
		one.saved = "saved of " + one.task
	}
	r.next++
	e := &protocol.RunEnd{Number: r.next, Task: one.task, Run: one.number, How: how, Saved: one.saved}
	r.ends = append(r.ends, e)
	w.check.ended(r, one, e)
	if one.gang {
		w.gangEnded(one, how)
	}
	w.after(50*time.Millisecond, r.beat)
}

// gangMet has a gang begin its work once all its members run.
func (w *world) gangMet(one *run) {
	members := w.gangOf(one)
	if len(members) < int(one.job.stage(one.name).Count) {
		return
	}
	for _, m := range members {
		if m.together {
			return
		}
	}
	for _, m := range members {
		m.together = true
	}
	stage := one.job.stage(one.name)
	how := "done"
	if stage.fails(one.name, one.number) {
		how = "failed"
	}
	w.after(stage.time, func() {
		for _, s := range w.sides {
			for _, m := range s.runner.sorted() {
				if m.gang && m.job == one.job && m.name.step == one.name.step && m.name.occasion == one.name.occasion && m.number == one.number && !m.stopping {
					s.runner.end(m, how)
				}
			}
		}
	})
}

// gangOf returns the members of a gang's run that are running.
func (w *world) gangOf(one *run) (members []*run) {
	for _, s := range w.sides {
		if s.runner == nil || !s.runner.up {
			continue
		}
		for _, m := range s.runner.sorted() {
			if m.gang && m.job == one.job && m.name.step == one.name.step && m.name.occasion == one.name.occasion && m.number == one.number {
				members = append(members, m)
			}
		}
	}
	return members
}

// gangEnded breaks the other members where one has ended otherwise than well.
func (w *world) gangEnded(one *run, how string) {
	if how == "done" || how == "broken" || how == "alone" {
		return
	}
	for _, s := range w.sides {
		if s.runner == nil {
			continue
		}
		for _, m := range s.runner.sorted() {
			if m != one && m.gang && m.together && m.job == one.job && m.name.step == one.name.step && m.name.occasion == one.name.occasion && m.number == one.number {
				s.runner.end(m, "broken")
			}
		}
	}
}
