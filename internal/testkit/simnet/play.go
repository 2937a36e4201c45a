package simnet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"frosttide/internal/control/jobs"
)

const (
	// settleTime is how long a play goes on at most without faults and new jobs until all has to be in
	// order, settleLeast at least.
	settleTime  = 45 * time.Second
	settleLeast = 8 * time.Second
	// commitTime is what the head's newest entries may take to be committed: until then readers see the state before.
	commitTime = time.Second
	// askTime is how long the questions at the end may take.
	askTime = 30 * time.Second
	// mostShrinks bounds Shrink's search for a shorter list of faults, in plays.
	mostShrinks = 60
)

// Usual returns the usual play of a seed: three to seven members of the control plane, with each tolerance that
// they allow.
func Usual(seed uint64) Options {
	cores := 3 + int(seed%5)
	return Options{Seed: seed, Cores: cores, Runners: 8, Carriers: 2, Faults: 1 + int(seed/5)%((cores-1)/2), Length: 30 * time.Second,
		Changes: seed%9 == 4, Bulk: seed%4 == 1}
}

// Play plays once and returns what it came to.
func Play(o Options) *Report {
	w := &world{options: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), processes: make(map[string]*process), cuts: make(map[link]time.Duration), arrives: make(map[link]time.Duration), network: newNetwork()}
	w.check, w.operator = w.newChecker(), w.newOperator()
	w.found()
	for i, f := range w.drawFaults() {
		w.report.Faults = append(w.report.Faults, fmt.Sprintf("%.3f %s", f.at.Seconds(), f.name))
		if o.Skip[i] {
			continue
		}
		w.after(f.at, func() {
			w.trace("FAULT %s", f.name)
			f.do()
		})
	}
	w.after(statesEvery, w.compareStates)
	w.after(2*time.Second, w.watch)
	w.traffic()
	w.play(o.Length + settleLeast)
	for w.now < o.Length+settleTime && !w.idle() && len(w.report.Broken) == 0 {
		w.play(w.now + time.Second)
	}
	w.play(w.now + commitTime)
	if len(w.report.Broken) == 0 {
		w.judge()
	}
	return &w.report
}

// found starts all machines.
func (w *world) found() {
	for i := range w.options.Cores {
		c := w.newCore(i)
		w.cores = append(w.cores, c)
		w.addresses = i
		w.after(w.between(0, 300*time.Millisecond), c.begin)
	}
	for i := range w.options.Carriers {
		c := w.newCarrier(i)
		w.carriers = append(w.carriers, c)
		w.after(w.between(0, 300*time.Millisecond), c.begin)
		c.node, c.answers = nil, nil
	}
	for i := range w.options.Runners {
		s := w.newSide(i)
		w.sides = append(w.sides, s)
		w.after(w.between(0, 300*time.Millisecond), func() { s.begin(); s.newRunner() })
	}
	w.after(500*time.Millisecond, w.operator.begin)
}

// traffic has clients send jobs.
func (w *world) traffic() {
	c := &client{world: w}
	w.clients = append(w.clients, c)
	var next func()
	next = func() {
		if w.now > w.options.Length {
			return
		}
		c.hand(w.newJob())
		w.after(w.between(20*time.Millisecond, 700*time.Millisecond), next)
	}
	w.after(2*time.Second, next)
}

// idle tells whether nothing is left to be run.
func (w *world) idle() bool {
	head := w.head()
	if !w.calmFor(contact) || !head.up || head.member.Scheduler() == nil {
		return false
	}
	idle := true
	head.member.Scheduler().Jobs().Each(func(j *jobs.Job) {
		idle = idle && (j.State.Final() || j.Lasting())
	})
	return idle
}

// judge checks what has to hold at the end: each accepted job is known, and those that can end have ended.
func (w *world) judge() {
	open := 0
	for _, c := range w.clients {
		for _, j := range c.jobs {
			if j.acked == 0 {
				continue
			}
			open++
			w.ask(c, j, 10, func(known bool) {
				open--
				switch {
				case !known:
					w.broken("LOST", "job %s is not known or not answered for at the end", j.id)
				case !finalStates[j.shown] && !j.lasting():
					w.traceHead()
					w.broken("LOST", "job %s is %s at the end", j.id, j.shown)
				case j.shown == "completed":
					w.report.Done++
				}
			})
		}
	}
	read := false
	var look func()
	look = func() {
		w.operator.read(func(_ uint64, ok bool) {
			if !ok {
				w.after(300*time.Millisecond, look)
				return
			}
			read = true
		})
	}
	look()
	for until := w.now + askTime; w.now < until && (open > 0 || !read) && len(w.report.Broken) == 0; {
		w.play(w.now + 100*time.Millisecond)
	}
	if len(w.report.Broken) == 0 && (open > 0 || !read) {
		w.broken("RECOVER", "%d jobs have no answer at the end, configuration read: %v", open, read)
	}
}

// traceHead traces what the head knows of what runs and waits.
func (w *world) traceHead() {
	head := w.head()
	if w.options.Trace == nil || !head.up || head.member.Scheduler() == nil {
		return
	}
	s := head.member.Scheduler().Status()
	for _, r := range s.Runners {
		w.trace("%s: runner %+v", head.address, r)
	}
	for _, one := range s.Waiting {
		w.trace("%s: waiting %+v", head.address, one)
	}
	head.member.Scheduler().Jobs().Each(func(j *jobs.Job) {
		if !j.State.Final() {
			w.trace("%s: %s", head.address, j)
		}
	})
	for _, side := range w.sides {
		for _, one := range side.runner.sorted() {
			w.trace("%s: %s runs %s run %d", side.address, side.runner.id, one.task, one.number)
		}
	}
}

// ask asks for a job's state, some times.
func (w *world) ask(c *client, j *job, tries int, then func(known bool)) {
	answered := false
	finish := func(known bool) {
		if answered {
			return
		}
		answered = true
		if known || tries <= 1 {
			then(known)
			return
		}
		w.after(500*time.Millisecond, func() { w.ask(c, j, tries-1, then) })
	}
	c.look(j, finish)
	w.after(clientWait+500*time.Millisecond, func() { finish(false) })
}

// Shrink looks for a shorter list of faults that breaks a rule too, and returns which are left out.
func Shrink(o Options) map[int]bool {
	best := o.Skip
	if best == nil {
		best = make(map[int]bool)
	}
	first := Play(o)
	plays := 0
	for i := range first.Faults {
		if best[i] || plays >= mostShrinks {
			continue
		}
		try := make(map[int]bool, len(best)+1)
		for k := range best {
			try[k] = true
		}
		try[i] = true
		o.Skip = try
		plays++
		if len(Play(o).Broken) > 0 {
			best = try
		}
	}
	return best
}
