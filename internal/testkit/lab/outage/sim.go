// Package outage simulates the minutes after a power cut in virtual time: many dispatchers with the
// real decision module and the real roster policy (package rosterpolicy), a fleet of runners that
// starts cold, a roster (the discovery service) that is unavailable at first, and clients that
// submit jobs from the start. Equal settings and seeds give equal results.
package outage

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/rosterpolicy"
)

// Mode says how dispatchers use their stored list of runners when they start.
type Mode string

// The modes. Trusted uses the roster policy, which probes runners before it relies on the list.
const (
	Nothing Mode = "no stored list"
	Blind   Mode = "stored list taken blindly"
	Trusted Mode = "stored list weighed"
)

// Settings holds the parameters of a simulation.
type Settings struct {
	Mode        Mode
	Dispatchers int
	Runners     int
	Retired     float64       // fraction of the stored runners that no longer exist
	Draining    float64       // fraction that drains; the stored list says so
	BootSpread  time.Duration // runners start within this time after the power returns
	Rate        float64       // jobs per second over all dispatchers
	Run         time.Duration // mean run time of a job on one core
	Roster      time.Duration // time from the power's return until the roster answers
	Length      time.Duration // virtual time to simulate
	Seed        uint64
}

// Result holds the measurements of a simulation.
type Result struct {
	FirstServed []time.Duration // by dispatcher, from its start; 1<<62 if it served no job
	Served      []float64       // fraction of the jobs submitted in each 5 s that was served
	Fallen      int             // runners that crashed from overload
	Worst       float64         // peak work sent to a cold runner, as a fraction of its limit
	ToDraining  int             // jobs delivered to draining runners
	Probes      float64         // mean number of probes per runner
	Calls       []int           // calls of the roster in each 5 s
	Listed      time.Duration   // last time after power-on that a dispatcher got the list
	Jobs        int             // submitted to running dispatchers
}

// binWidth is the width of the time bins in Result.
const binWidth = 5 * time.Second

// Fixed delays. The roster handles one call after another, and drops calls that would wait for
// longer than rosterTimeout.
const (
	rosterCall    = 20 * time.Millisecond
	rosterTimeout = 3 * time.Second
	networkDelay  = time.Millisecond
	probeWork     = 0.003           // seconds of one core
	startSpread   = 2 * time.Second // dispatchers start within this time after the power returns
)

type sim struct {
	set             Settings
	rng             *rand.Rand
	now             time.Duration
	queue           events
	order           uint64 // of the last event, which orders events of equal time
	runners         []*runner
	dispatchers     []*dispatcher
	rosterBusyUntil time.Duration // when the roster has handled the calls in its queue
	result          Result
	served          []int // jobs served, by the bin of their arrival
	submitted       []int // jobs submitted, by bin
}

// event is a function to call at a virtual time.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// events is a heap of events by time and order.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// at schedules do at t, or now if t has passed.
func (s *sim) at(t time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, event{max(t, s.now), s.order, do})
}

// powerOn is the virtual time at which the power returns. It isn't 0, because the module takes a
// start time of 0 as long ago.
const powerOn = 100 * 24 * time.Hour

// Run runs a simulation of the length that the settings give.
func Run(set Settings) *Result {
	bins := int((set.Length + binWidth - 1) / binWidth)
	s := &sim{set: set, rng: rand.New(rand.NewPCG(set.Seed, 7)), now: powerOn, served: make([]int, bins), submitted: make([]int, bins)}
	s.result.Calls, s.result.Served = make([]int, bins), make([]float64, bins)
	for i := range set.Runners {
		r := &runner{uid: fmt.Sprintf("s-%d", i), zone: i % 3, startsAt: powerOn + time.Duration(s.rng.Float64()*float64(set.BootSpread))}
		switch p := s.rng.Float64(); {
		case p < set.Retired:
			r.startsAt = never
		case p < set.Retired+set.Draining:
			r.draining = true
		}
		s.runners = append(s.runners, r)
	}
	for i := range set.Dispatchers {
		h := newDispatcher(s, i)
		s.dispatchers = append(s.dispatchers, h)
		s.result.FirstServed = append(s.result.FirstServed, never)
		s.at(powerOn+time.Duration(s.rng.Float64()*float64(startSpread)), h.start)
	}
	s.arrive()
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at > powerOn+set.Length {
			break
		}
		s.now = e.at
		e.do()
	}
	for i := range s.served {
		s.result.Served[i] = float64(s.served[i]) / float64(max(s.submitted[i], 1))
	}
	probes := 0
	for _, r := range s.runners {
		probes += r.probes
		s.result.Worst = max(s.result.Worst, r.worst)
		if r.draining {
			s.result.ToDraining += r.jobsReceived
		}
	}
	s.result.Probes = float64(probes) / float64(max(len(s.runners), 1))
	return &s.result
}

// bin returns the index of the time bin that holds at.
func (s *sim) bin(at time.Duration) int { return min(int((at-powerOn)/binWidth), len(s.served)-1) }

// arrive schedules the arrival of the next job at a random dispatcher.
func (s *sim) arrive() {
	s.at(s.now+time.Duration(s.rng.ExpFloat64()/s.set.Rate*float64(time.Second)), func() {
		s.arrive()
		h := s.dispatchers[s.rng.IntN(len(s.dispatchers))]
		if !h.running {
			return // the dispatcher has not started yet
		}
		s.result.Jobs++
		s.submitted[s.bin(s.now)]++
		h.submit(s.rng.ExpFloat64()*s.set.Run.Seconds(), s.now)
	})
}

// scheduleEnd reports the start of jobs that have got a slot, and schedules the end of the runner's
// next job.
func (s *sim) scheduleEnd(r *runner) {
	for _, j := range r.running() {
		if !j.started {
			j.started = true
			s.at(s.now+networkDelay, func() { j.by.started(j) })
		}
	}
	r.version++
	version := r.version
	at := r.nextEnd(s.now)
	if at == never {
		return
	}
	s.at(at, func() {
		if r.version != version {
			return
		}
		r.advance(s.now)
		for i := 0; i < len(r.jobs); {
			j := r.jobs[i]
			if j.remaining > 1e-6 || !j.started {
				i++
				continue
			}
			r.jobs = append(r.jobs[:i], r.jobs[i+1:]...)
			s.at(s.now+networkDelay, func() { j.by.ended(j, decision.Served) })
		}
		s.scheduleEnd(r)
	})
}

// deliver handles the arrival of an attempt at a runner. Work over the limit of rule 4 crashes the
// runner.
func (s *sim) deliver(r *runner, j *attempt) {
	if !r.up(s.now) {
		s.at(s.now+networkDelay, func() { j.by.ended(j, decision.ConnectFailed) })
		return
	}
	r.advance(s.now)
	r.jobsReceived++
	if !r.withinLimit(s.now, j.remaining) {
		s.crash(r)
		s.at(s.now+networkDelay, func() { j.by.ended(j, decision.ConnReset) })
		return
	}
	r.jobs = append(r.jobs, j)
	s.scheduleEnd(r)
}

// crash crashes a runner permanently and fails all its jobs.
func (s *sim) crash(r *runner) {
	r.crashed = true
	r.version++
	s.result.Fallen++
	for _, j := range r.jobs {
		s.at(s.now+networkDelay, func() { j.by.ended(j, decision.ConnReset) })
	}
	r.jobs = nil
}

// probe probes a runner and calls found with the outcome.
func (s *sim) probe(r *runner, found func(rosterpolicy.Evidence)) {
	r.probes++
	e := rosterpolicy.Refused
	if r.up(s.now + networkDelay) {
		e = rosterpolicy.Answered
		if !r.withinLimit(s.now+networkDelay, probeWork) {
			s.crash(r)
		}
	}
	s.at(s.now+2*networkDelay, func() { found(e) })
}

// callRoster calls the roster; answer gets whether the call succeeded.
func (s *sim) callRoster(answer func(ok bool)) {
	s.result.Calls[s.bin(s.now)]++
	if s.now < powerOn+s.set.Roster {
		s.at(s.now+networkDelay, func() { answer(false) }) // connection refused
		return
	}
	s.rosterBusyUntil = max(s.rosterBusyUntil, s.now) + rosterCall
	if s.rosterBusyUntil-s.now > rosterTimeout {
		s.rosterBusyUntil -= rosterCall // the call times out in the queue
		s.at(s.now+rosterTimeout, func() { answer(false) })
		return
	}
	s.at(s.rosterBusyUntil, func() { answer(true) })
}
