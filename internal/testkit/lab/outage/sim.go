// Package outage simulates the minutes after a power cut in virtual time: many dispatchers
// with the real decision module and the real book of trust, a fleet that comes up cold, a
// roster that is away, and clients that call at once. Equal settings and seeds give equal
// results.
package outage

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/rosterpolicy"
)

// Mode is what a dispatcher starts from.
type Mode string

// The modes.
const (
	Nothing Mode = "no stored list"
	Blind   Mode = "stored list taken blindly"
	Trusted Mode = "stored list weighed"
)

// Settings say what is simulated.
type Settings struct {
	Mode        Mode
	Dispatchers int
	Runners     int
	Retired     float64       // share of the stored list that is gone
	Draining    float64       // share that drains, as the stored list knows
	BootSpread  time.Duration // runners come up within this of the power
	Rate        float64       // jobs a second, over all dispatchers
	Run         time.Duration // mean time that a job takes on one core
	Roster      time.Duration // when the roster answers
	Length      time.Duration
	Seed        uint64
}

// Result is what came of it.
type Result struct {
	FirstServed []time.Duration // by dispatcher, from its start; never for none
	Served      []float64       // share served in each 5 s
	Fallen      int             // runners pushed over
	Worst       float64         // the most that a cold runner was sent, against what it bears
	ToDraining  int             // jobs sent to draining runners
	Probes      float64         // a runner was asked so often in the mean
	Calls       []int           // at the roster, in each 5 s
	Listed      time.Duration   // when the last dispatcher had the roster's list
	Jobs        int
}

// bin is the width of what is told over time.
const bin = 5 * time.Second

// The roster does one call after another, and gives up those that waited too long.
const (
	rosterCall = 20 * time.Millisecond
	rosterWait = 3 * time.Second
	network    = time.Millisecond
	probeWork  = 0.003
	startWait  = 2 * time.Second // dispatchers come up within this of the power
)

type sim struct {
	set     Settings
	rng     *rand.Rand
	now     time.Duration
	queue   events
	order   uint64
	runners []*runner
	hosts   []*host
	busy    time.Duration // until then the roster has calls to do
	result  Result
	served  []int
	asked   []int
}

// event is something to do at a time.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

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

func (s *sim) at(t time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, event{max(t, s.now), s.order, do})
}

// base is the time of the power's return; the module counts a start at 0 as long ago.
const base = 100 * 24 * time.Hour

// Run simulates. It ends at the settings' length.
func Run(set Settings) *Result {
	bins := int((set.Length + bin - 1) / bin)
	s := &sim{set: set, rng: rand.New(rand.NewPCG(set.Seed, 7)), now: base, served: make([]int, bins), asked: make([]int, bins)}
	s.result.Calls, s.result.Served = make([]int, bins), make([]float64, bins)
	for i := range set.Runners {
		r := &runner{uid: fmt.Sprintf("s-%d", i), zone: i % 3, boots: base + time.Duration(s.rng.Float64()*float64(set.BootSpread))}
		switch p := s.rng.Float64(); {
		case p < set.Retired:
			r.boots = never
		case p < set.Retired+set.Draining:
			r.drains = true
		}
		s.runners = append(s.runners, r)
	}
	for i := range set.Dispatchers {
		h := newHost(s, i)
		s.hosts = append(s.hosts, h)
		s.result.FirstServed = append(s.result.FirstServed, never)
		s.at(base+time.Duration(s.rng.Float64()*float64(startWait)), h.start)
	}
	s.arrive()
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at > base+set.Length {
			break
		}
		s.now = e.at
		e.do()
	}
	for i := range s.served {
		s.result.Served[i] = float64(s.served[i]) / float64(max(s.asked[i], 1))
	}
	probes := 0
	for _, r := range s.runners {
		probes += r.probes
		s.result.Worst = max(s.result.Worst, r.worst)
		if r.drains {
			s.result.ToDraining += r.jobsIn
		}
	}
	s.result.Probes = float64(probes) / float64(max(len(s.runners), 1))
	return &s.result
}

func (s *sim) bin(at time.Duration) int { return min(int((at-base)/bin), len(s.served)-1) }

// arrive has the next client call.
func (s *sim) arrive() {
	s.at(s.now+time.Duration(s.rng.ExpFloat64()/s.set.Rate*float64(time.Second)), func() {
		s.arrive()
		h := s.hosts[s.rng.IntN(len(s.hosts))]
		if !h.running {
			return // nobody listens there yet
		}
		s.result.Jobs++
		s.asked[s.bin(s.now)]++
		h.submit(s.rng.ExpFloat64()*s.set.Run.Seconds(), s.now)
	})
}

// plan has the runner's next job end.
func (s *sim) plan(r *runner) {
	for _, j := range r.running() {
		if !j.begun {
			j.begun = true
			s.at(s.now+network, func() { j.by.started(j) })
		}
	}
	r.version++
	version := r.version
	at := r.next(s.now)
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
			if j.left > 1e-6 || !j.begun {
				i++
				continue
			}
			r.jobs = append(r.jobs[:i], r.jobs[i+1:]...)
			s.at(s.now+network, func() { j.by.ended(j, decision.Served) })
		}
		s.plan(r)
	})
}

// deliver has a job come to a runner.
func (s *sim) deliver(r *runner, j *work) {
	if !r.up(s.now) {
		s.at(s.now+network, func() { j.by.ended(j, decision.ConnectFailed) })
		return
	}
	r.advance(s.now)
	r.jobsIn++
	if !r.bears(s.now, j.left) {
		s.fall(r)
		s.at(s.now+network, func() { j.by.ended(j, decision.ConnReset) })
		return
	}
	r.jobs = append(r.jobs, j)
	s.plan(r)
}

// fall takes a runner down for good, with all that it has.
func (s *sim) fall(r *runner) {
	r.fallen = true
	r.version++
	s.result.Fallen++
	for _, j := range r.jobs {
		s.at(s.now+network, func() { j.by.ended(j, decision.ConnReset) })
	}
	r.jobs = nil
}

// ask has a runner probed.
func (s *sim) ask(r *runner, found func(rosterpolicy.Evidence)) {
	r.probes++
	e := rosterpolicy.Refused
	if r.up(s.now + network) {
		e = rosterpolicy.Answered
		if !r.bears(s.now+network, probeWork) {
			s.fall(r)
		}
	}
	s.at(s.now+2*network, func() { found(e) })
}

// call has the roster called; it is told the list or a failure.
func (s *sim) call(answer func(ok bool)) {
	s.result.Calls[s.bin(s.now)]++
	if s.now < base+s.set.Roster {
		s.at(s.now+network, func() { answer(false) }) // nothing listens there
		return
	}
	s.busy = max(s.busy, s.now) + rosterCall
	if s.busy-s.now > rosterWait {
		s.busy -= rosterCall // it is given up in the line
		s.at(s.now+rosterWait, func() { answer(false) })
		return
	}
	s.at(s.busy, func() { answer(true) })
}
