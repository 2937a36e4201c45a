// Package gangs simulates gang jobs on a fleet of runners in virtual time. Each simulated
// dispatcher detects stragglers with the real code (internal/dispatcher/fleet/gang/board); the
// simulation measures how accurate the detection is, and how second copies of slow parts compare
// with simpler policies.
package gangs

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"frosttide/internal/dispatcher/fleet/gang/board"
	"frosttide/internal/dispatcher/fleet/gang/verdict"
)

// Way is the policy by which second copies of parts are started.
type Way string

// The policies. Timeout and Median copy a part that has run for longer than that.
const (
	None    Way = "no copies"
	Timeout Way = "after three times the mean"
	Median  Way = "over 1.5 times the median"
	Board   Way = "board"
)

// Setup holds the parameters of a simulation.
type Setup struct {
	Seed                 uint64
	Dispatchers, Runners int
	Size, Gangs          int     // parts per gang, and number of gangs
	SlowShare, SlowTimes float64 // fraction of slow runners, and how many times slower; 0: they hang
	HeavyShare           float64 // fraction of parts with 6 to 29 times as much work
	NoHints              bool    // parts carry no estimate of their run time
	NoReports            bool    // workers report only the start and end of a part, no progress
	Way                  Way
}

// The fixed parameters of a simulation.
const (
	slots          = 4    // per runner
	mean           = 20.0 // mean run time of a part in seconds
	reportInterval = 2 * time.Second
	step           = 250 * time.Millisecond // of virtual time
	utilization    = 0.5                    // of the fleet's capacity
	clientTimeout  = 200 * time.Second
	factLatency    = 100 * time.Millisecond // of facts sent between dispatchers
	reportLoss     = 0.01                   // fraction of progress reports that are lost
)

// Result holds the measurements of a simulation.
type Result struct {
	Found, Wrong, Missed int     // stragglers detected, others detected, stragglers missed
	After                float64 // mean time from a part's start to its verdict, in report intervals
	Copies, Parts        int     // copies started, and parts in all
	Wasted               float64 // fraction of all work that went into abandoned attempts
	P50, P99             float64 // seconds that gangs took; the client timeout for unfinished ones
	Late                 int     // gangs that did not finish before the client timeout
}

// Precision returns the fraction of detected parts that are stragglers, NaN if none was detected.
func (r Result) Precision() float64 { return ratio(r.Found, r.Found+r.Wrong) }

// Recall returns the fraction of stragglers that were detected, NaN if there were none.
func (r Result) Recall() float64 { return ratio(r.Found, r.Found+r.Missed) }

func ratio(a, b int) float64 {
	if b == 0 {
		return math.NaN()
	}
	return float64(a) / float64(b)
}

// String returns the result as one readable line.
func (r Result) String() string {
	return fmt.Sprintf("precision %.3f, recall %.3f, verdict after %.1f reports, copies %.2f%%, wasted %.2f%%, p50 %.0f s, p99 %.0f s, late %d",
		r.Precision(), r.Recall(), r.After, 100*ratio(r.Copies, r.Parts), 100*r.Wasted, r.P50, r.P99, r.Late)
}

type attempt struct {
	p         *part
	n         int
	runner    *runner
	startedAt time.Duration // 0 while it waits for a slot
	done      float64       // seconds of work
	reportAt  time.Duration // when the next report is due
	ended     bool
}

type part struct {
	g          *gang
	n          int
	work       float64 // seconds at normal speed
	hint       float64 // estimate of work, 0 for none
	dispatcher int
	attempts   []*attempt
	done       bool
	detected   bool // its first attempt was found to be slow or silent
	// slow: the first attempt ran for at least three report intervals on a runner that is at least
	// three times slower.
	slow  bool
	heavy bool
}

type gang struct {
	id        string
	arrivedAt time.Duration
	parts     []*part
	remaining int       // parts not done
	runTimes  []float64 // of the parts done, in seconds
}

type runner struct {
	id      int
	speed   float64
	running []*attempt
	waiting []*attempt
}

// message is a fact in transit to another dispatcher.
type message struct {
	at   time.Duration
	to   int
	fact board.Fact
}

// messageQueue is a heap of messages by arrival time.
type messageQueue []message

func (p messageQueue) Len() int           { return len(p) }
func (p messageQueue) Less(i, j int) bool { return p[i].at < p[j].at }
func (p messageQueue) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *messageQueue) Push(x any)        { *p = append(*p, x.(message)) }
func (p *messageQueue) Pop() any {
	old := *p
	x := old[len(old)-1]
	*p = old[:len(old)-1]
	return x
}

type sim struct {
	Setup
	rng           *rand.Rand
	now           time.Duration
	runners       []*runner
	boards        []*board.Board
	open          []*gang
	messages      messageQueue
	parts         map[board.ID]*part
	slow          []map[string]time.Duration // by dispatcher: workers marked slow, and until when
	result        Result
	workDone      float64   // seconds, over all attempts
	workWasted    float64   // seconds, of abandoned attempts
	verdictDelays []float64 // in report intervals
	gangTimes     []float64 // seconds
}

// Play runs a simulation until all gangs have ended. Equal setups give equal results.
func Play(s Setup) Result {
	x := &sim{Setup: s, rng: rand.New(rand.NewPCG(s.Seed, 5)), parts: map[board.ID]*part{}}
	for i := range s.Runners {
		r := &runner{id: i, speed: 1}
		if float64(i) < s.SlowShare*float64(s.Runners) {
			r.speed = 0
			if s.SlowTimes > 0 {
				r.speed = 1 / s.SlowTimes
			}
		}
		x.runners = append(x.runners, r)
	}
	interval := reportInterval
	if s.NoReports {
		interval = 0
	}
	for range s.Dispatchers {
		x.slow = append(x.slow, map[string]time.Duration{})
		x.boards = append(x.boards, board.New(board.Config{ReportInterval: interval, CheckInterval: reportInterval / 2, CopiesAllowed: s.Way == Board}))
	}
	rate := utilization * float64(s.Runners*slots) / (mean * float64(s.Size))
	next := time.Second
	for arrived := 0; arrived < s.Gangs || len(x.open) > 0; x.now += step {
		for arrived < s.Gangs && x.now >= next {
			x.arrive(arrived)
			arrived++
			next += time.Duration(x.rng.ExpFloat64() / rate * float64(time.Second))
		}
		x.advanceRunners()
		for len(x.messages) > 0 && x.messages[0].at <= x.now {
			m := heap.Pop(&x.messages).(message)
			x.boards[m.to].AddFact(m.fact)
		}
		x.startCopies()
		x.open = slices.DeleteFunc(x.open, x.closeIfOver)
	}
	slices.Sort(x.gangTimes)
	x.result.P50, x.result.P99 = x.gangTimes[len(x.gangTimes)/2], x.gangTimes[len(x.gangTimes)*99/100]
	x.result.Wasted = x.workWasted / max(x.workDone, 1)
	for _, a := range x.verdictDelays {
		x.result.After += a / float64(len(x.verdictDelays))
	}
	return x.result
}

// arrive creates gang i and sends the first attempt of each part.
func (x *sim) arrive(i int) {
	g := &gang{id: fmt.Sprintf("g%d", i), arrivedAt: x.now, remaining: x.Size}
	for n := 1; n <= x.Size; n++ {
		p := &part{g: g, n: n, work: mean * math.Exp(0.4*x.rng.NormFloat64()-0.08), dispatcher: x.rng.IntN(x.Dispatchers)}
		if x.rng.Float64() < x.HeavyShare {
			p.work, p.heavy = p.work*(6+23*x.rng.Float64()), true
		}
		if !x.NoHints {
			p.hint = p.work * math.Exp(0.25*x.rng.NormFloat64())
		}
		g.parts = append(g.parts, p)
		x.result.Parts++
		id := board.ID{Gang: g.id, N: n}
		x.parts[id] = p
		x.boards[p.dispatcher].AddPart(id, x.Size, p.hint, g.arrivedAt+clientTimeout)
		x.send(p)
	}
	x.open = append(x.open, g)
}

// send starts an attempt of a part. It draws four runners at random and takes the one with the
// fewest attempts, skipping those that had an attempt of this part and those marked slow.
func (x *sim) send(p *part) {
	tried := func(r *runner) bool {
		return slices.ContainsFunc(p.attempts, func(a *attempt) bool { return a.runner == r })
	}
	var to *runner
	for range 4 {
		r := x.runners[x.rng.IntN(len(x.runners))]
		if !tried(r) && x.now >= x.slow[p.dispatcher][fmt.Sprint("s-", r.id)] && (to == nil || len(r.running)+len(r.waiting) < len(to.running)+len(to.waiting)) {
			to = r
		}
	}
	for to == nil { // all four were tried before or are marked slow
		if r := x.runners[x.rng.IntN(len(x.runners))]; !tried(r) {
			to = r
		}
	}
	a := &attempt{p: p, n: len(p.attempts), runner: to}
	p.attempts = append(p.attempts, a)
	to.waiting = append(to.waiting, a)
	x.boards[p.dispatcher].PartSent(board.ID{Gang: p.g.id, N: p.n}, fmt.Sprint("s-", to.id), a.n, x.now)
}

// advanceRunners runs all attempts for one step, and reports their starts, progress and ends.
func (x *sim) advanceRunners() {
	for _, r := range x.runners {
		for len(r.running) < slots && len(r.waiting) > 0 {
			a := r.waiting[0]
			r.waiting = r.waiting[1:]
			a.startedAt, a.reportAt = x.now, x.now+reportInterval
			r.running = append(r.running, a)
			x.boards[a.p.dispatcher].PartStarted(board.ID{Gang: a.p.g.id, N: a.p.n}, a.n, x.now)
		}
		for _, a := range r.running {
			a.done += r.speed * step.Seconds()
			x.workDone += r.speed * step.Seconds()
			id := board.ID{Gang: a.p.g.id, N: a.p.n}
			if a.done >= a.p.work {
				x.finish(a)
				continue
			}
			if x.now >= a.reportAt {
				a.reportAt += reportInterval
				slow := r.speed < 1.0/3+0.01
				a.p.slow = a.p.slow || slow && a.n == 0 && x.now >= a.startedAt+3*reportInterval
				if r.speed > 0 && !x.NoReports && x.rng.Float64() > reportLoss {
					x.boards[a.p.dispatcher].PartProgressed(id, a.n, a.done/a.p.work, x.now)
				}
			}
		}
		r.running = slices.DeleteFunc(r.running, func(a *attempt) bool { return a.ended })
	}
}

// finish ends an attempt that has done its work. The first of a part completes it and ends the
// part's other attempts, whose work is wasted.
func (x *sim) finish(a *attempt) {
	a.ended = true
	p := a.p
	if p.done {
		return
	}
	p.done = true
	id := board.ID{Gang: p.g.id, N: p.n}
	x.boards[p.dispatcher].PartEnded(id, a.n, true, x.now)
	x.boards[p.dispatcher].RemovePart(id) // the part is done, whichever attempt finished it
	p.g.runTimes = append(p.g.runTimes, (x.now - a.startedAt).Seconds())
	for _, o := range p.attempts {
		if o != a && !o.ended {
			o.ended = true
			x.workWasted += o.done
			o.runner.waiting = slices.DeleteFunc(o.runner.waiting, func(w *attempt) bool { return w == o })
		}
	}
	p.g.remaining--
}

// startCopies runs the checks of each dispatcher's board and starts second copies by the policy. It
// counts what the boards detect under every policy.
func (x *sim) startCopies() {
	for i, b := range x.boards {
		acts, facts := b.Check(x.now)
		for _, f := range facts {
			for to := range x.boards {
				if to != i {
					heap.Push(&x.messages, message{x.now + factLatency, to, f})
				}
			}
		}
		for _, a := range acts {
			if a.Kind == board.MarkSlow && x.Way == Board {
				// The decision module avoids a slow worker by its measured pace.
				x.slow[i][a.Worker] = x.now + time.Minute
			}
			if a.Kind == board.StartCopy && x.Way == Board {
				p := x.parts[a.Part]
				x.result.Copies++
				x.countDetection(p)
				x.endFirstAttempt(p)
				x.send(p)
			}
		}
	}
	for _, g := range x.open {
		for _, p := range g.parts {
			if p.done {
				continue
			}
			a := p.attempts[0]
			v := x.boards[p.dispatcher].State(board.ID{Gang: g.id, N: p.n})
			if len(p.attempts) == 1 && (v.State == verdict.Straggler || v.State == verdict.Silent) {
				x.countDetection(p)
			}
			if len(p.attempts) > 1 || a.startedAt == 0 {
				continue
			}
			ran := (x.now - a.startedAt).Seconds()
			copyNeeded := x.Way == Timeout && ran > 3*mean
			if x.Way == Median && len(g.runTimes) > 0 {
				s := slices.Sorted(slices.Values(g.runTimes))
				copyNeeded = ran > 1.5*s[len(s)/2]
			}
			if copyNeeded {
				x.result.Copies++
				x.send(p)
			}
		}
	}
}

// countDetection counts the first detection of a part as right or wrong, by the real speed of the
// runner of its first attempt.
func (x *sim) countDetection(p *part) {
	if p.detected {
		return
	}
	p.detected = true
	switch a := p.attempts[0]; {
	case a.runner.speed >= 0.6:
		x.result.Wrong++
	case a.startedAt > 0:
		x.verdictDelays = append(x.verdictDelays, (x.now-a.startedAt).Seconds()/reportInterval.Seconds())
		fallthrough
	default:
		x.result.Found++
	}
}

// endFirstAttempt ends the older of two open attempts before a third starts, as the decision module
// does.
func (x *sim) endFirstAttempt(p *part) {
	var open []*attempt
	for _, a := range p.attempts {
		if !a.ended {
			open = append(open, a)
		}
	}
	if len(open) < 2 {
		return
	}
	a := open[0]
	a.ended = true
	x.workWasted += a.done
	a.runner.waiting = slices.DeleteFunc(a.runner.waiting, func(w *attempt) bool { return w == a })
}

// closeIfOver closes a gang that is done or whose client has timed out, and reports whether it did.
func (x *sim) closeIfOver(g *gang) bool {
	if g.remaining > 0 && x.now < g.arrivedAt+clientTimeout {
		return false
	}
	took := (x.now - g.arrivedAt).Seconds()
	if g.remaining > 0 {
		x.result.Late++
	}
	x.gangTimes = append(x.gangTimes, took)
	for _, p := range g.parts {
		if p.slow && !p.detected {
			x.result.Missed++
		}
		for _, a := range p.attempts {
			if !a.ended {
				a.ended = true
				a.runner.waiting = slices.DeleteFunc(a.runner.waiting, func(w *attempt) bool { return w == a })
			}
		}
		id := board.ID{Gang: g.id, N: p.n}
		x.boards[p.dispatcher].RemovePart(id)
		delete(x.parts, id)
	}
	return true
}
