// Package gangs plays gang jobs over a fleet in virtual time, with the real judgement of
// stragglers (internal/dispatcher/fleet/gang/board) at each dispatcher, and measures what it finds and what it is
// worth against simpler ways.
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

// Way is how second copies are decided on.
type Way string

// The ways.
const (
	None    Way = "no copies"
	Timeout Way = "after three times the mean"
	Median  Way = "over 1.5 times the median"
	Board   Way = "board"
)

// Setup is what a play is made of.
type Setup struct {
	Seed                 uint64
	Dispatchers, Runners int
	Size, Gangs          int     // parts of a gang, and gangs
	SlowShare, SlowTimes float64 // share of runners that are slower, and by how much; 0 times hangs
	HeavyShare           float64 // share of parts that are 6 to 29 times as much work
	NoHints              bool
	NoReports            bool // workers tell of starts and ends alone
	Way                  Way
}

// The figures of a play.
const (
	slots    = 4
	mean     = 20.0 // seconds that a part takes
	every    = 2 * time.Second
	step     = 250 * time.Millisecond
	use      = 0.5 // of the fleet's capacity
	patience = 200 * time.Second
	tellTime = 100 * time.Millisecond
	lostTold = 0.01
)

// Result is what a play came to.
type Result struct {
	Found, Wrong, Missed int     // parts at slow runners that were found, others that were, and slow ones that were not
	After                float64 // reports from a part's start to its verdict, mean
	Copies, Parts        int
	Wasted               float64 // work of attempts that lost, of all work done
	P50, P99             float64 // seconds that gangs took; one that was never done took patience
	Late                 int
}

// Precision and Recall are the shares of verdicts that are right and of slow parts that are found.
func (r Result) Precision() float64 { return ratio(r.Found, r.Found+r.Wrong) }

// Recall is the share of slow parts that were found.
func (r Result) Recall() float64 { return ratio(r.Found, r.Found+r.Missed) }

func ratio(a, b int) float64 {
	if b == 0 {
		return math.NaN()
	}
	return float64(a) / float64(b)
}

// String is a row for people.
func (r Result) String() string {
	return fmt.Sprintf("precision %.3f, recall %.3f, verdict after %.1f reports, copies %.2f%%, wasted %.2f%%, p50 %.0f s, p99 %.0f s, late %d",
		r.Precision(), r.Recall(), r.After, 100*ratio(r.Copies, r.Parts), 100*r.Wasted, r.P50, r.P99, r.Late)
}

type attempt struct {
	p      *piece
	n      int
	runner *runner
	begun  time.Duration // 0 for waiting
	done   float64       // seconds of work
	told   time.Duration // when the next report is due
	over   bool
}

type piece struct {
	g        *gang
	n        int
	work     float64
	hint     float64
	by       int // dispatcher
	attempts []*attempt
	done     bool
	verdict  bool
	slow     bool // at a runner that is three times slower or more, for three reports at least
	heavy    bool
}

type gang struct {
	id     string
	at     time.Duration
	parts  []*piece
	left   int
	served []float64
}

type runner struct {
	id    int
	speed float64
	runs  []*attempt
	wait  []*attempt
}

// mail is a fact on its way to a dispatcher.
type mail struct {
	at   time.Duration
	to   int
	fact board.Fact
}

type post []mail

func (p post) Len() int           { return len(p) }
func (p post) Less(i, j int) bool { return p[i].at < p[j].at }
func (p post) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *post) Push(x any)        { *p = append(*p, x.(mail)) }
func (p *post) Pop() any {
	old := *p
	x := old[len(old)-1]
	*p = old[:len(old)-1]
	return x
}

type sim struct {
	Setup
	rng     *rand.Rand
	now     time.Duration
	runners []*runner
	boards  []*board.Board
	open    []*gang
	post    post
	parts   map[board.ID]*piece
	slow    []map[string]time.Duration // by dispatcher: workers that its board said to be slow, and until when
	result  Result
	spent   float64
	wasted  float64
	after   []float64
	took    []float64
}

// Play plays a setup. Equal setups give equal results.
func Play(s Setup) Result {
	x := &sim{Setup: s, rng: rand.New(rand.NewPCG(s.Seed, 5)), parts: map[board.ID]*piece{}}
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
	tell := every
	if s.NoReports {
		tell = 0
	}
	for range s.Dispatchers {
		x.slow = append(x.slow, map[string]time.Duration{})
		x.boards = append(x.boards, board.New(board.Config{ReportInterval: tell, CheckInterval: every / 2, CopiesAllowed: s.Way == Board}))
	}
	rate := use * float64(s.Runners*slots) / (mean * float64(s.Size))
	next := time.Second
	for made := 0; made < s.Gangs || len(x.open) > 0; x.now += step {
		for made < s.Gangs && x.now >= next {
			x.arrive(made)
			made++
			next += time.Duration(x.rng.ExpFloat64() / rate * float64(time.Second))
		}
		x.work()
		for len(x.post) > 0 && x.post[0].at <= x.now {
			m := heap.Pop(&x.post).(mail)
			x.boards[m.to].AddFact(m.fact)
		}
		x.judge()
		x.open = slices.DeleteFunc(x.open, x.close)
	}
	slices.Sort(x.took)
	x.result.P50, x.result.P99 = x.took[len(x.took)/2], x.took[len(x.took)*99/100]
	x.result.Wasted = x.wasted / max(x.spent, 1)
	for _, a := range x.after {
		x.result.After += a / float64(len(x.after))
	}
	return x.result
}

func (x *sim) arrive(i int) {
	g := &gang{id: fmt.Sprintf("g%d", i), at: x.now, left: x.Size}
	for n := 1; n <= x.Size; n++ {
		p := &piece{g: g, n: n, work: mean * math.Exp(0.4*x.rng.NormFloat64()-0.08), by: x.rng.IntN(x.Dispatchers)}
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
		x.boards[p.by].AddPart(id, x.Size, p.hint, g.at+patience)
		x.send(p)
	}
	x.open = append(x.open, g)
}

// send puts an attempt at the emptier of two runners drawn, not where another was.
func (x *sim) send(p *piece) {
	met := func(r *runner) bool {
		return slices.ContainsFunc(p.attempts, func(a *attempt) bool { return a.runner == r })
	}
	var to *runner
	for range 4 {
		r := x.runners[x.rng.IntN(len(x.runners))]
		if !met(r) && x.now >= x.slow[p.by][fmt.Sprint("s-", r.id)] && (to == nil || len(r.runs)+len(r.wait) < len(to.runs)+len(to.wait)) {
			to = r
		}
	}
	for to == nil { // all drawn are known to be slow
		if r := x.runners[x.rng.IntN(len(x.runners))]; !met(r) {
			to = r
		}
	}
	a := &attempt{p: p, n: len(p.attempts), runner: to}
	p.attempts = append(p.attempts, a)
	to.wait = append(to.wait, a)
	x.boards[p.by].PartSent(board.ID{Gang: p.g.id, N: p.n}, fmt.Sprint("s-", to.id), a.n, x.now)
}

// work has all runners go on for a step.
func (x *sim) work() {
	for _, r := range x.runners {
		for len(r.runs) < slots && len(r.wait) > 0 {
			a := r.wait[0]
			r.wait = r.wait[1:]
			a.begun, a.told = x.now, x.now+every
			r.runs = append(r.runs, a)
			x.boards[a.p.by].PartStarted(board.ID{Gang: a.p.g.id, N: a.p.n}, a.n, x.now)
		}
		for _, a := range r.runs {
			a.done += r.speed * step.Seconds()
			x.spent += r.speed * step.Seconds()
			id := board.ID{Gang: a.p.g.id, N: a.p.n}
			if a.done >= a.p.work {
				x.finish(a)
				continue
			}
			if x.now >= a.told {
				a.told += every
				slow := r.speed < 1.0/3+0.01
				a.p.slow = a.p.slow || slow && a.n == 0 && x.now >= a.begun+3*every
				if r.speed > 0 && !x.NoReports && x.rng.Float64() > lostTold {
					x.boards[a.p.by].PartProgressed(id, a.n, a.done/a.p.work, x.now)
				}
			}
		}
		r.runs = slices.DeleteFunc(r.runs, func(a *attempt) bool { return a.over })
	}
}

// finish ends a part by its first attempt that is done; the others lose.
func (x *sim) finish(a *attempt) {
	a.over = true
	p := a.p
	if p.done {
		return
	}
	p.done = true
	id := board.ID{Gang: p.g.id, N: p.n}
	x.boards[p.by].PartEnded(id, a.n, true, x.now)
	x.boards[p.by].RemovePart(id) // it has its answer, whichever attempt it came from
	p.g.served = append(p.g.served, (x.now - a.begun).Seconds())
	for _, o := range p.attempts {
		if o != a && !o.over {
			o.over = true
			x.wasted += o.done
			o.runner.wait = slices.DeleteFunc(o.runner.wait, func(w *attempt) bool { return w == o })
		}
	}
	p.g.left--
}

// judge has each dispatcher look, and simpler ways decide.
func (x *sim) judge() {
	for i, b := range x.boards {
		acts, facts := b.Check(x.now)
		for _, f := range facts {
			for to := range x.boards {
				if to != i {
					heap.Push(&x.post, mail{x.now + tellTime, to, f})
				}
			}
		}
		for _, a := range acts {
			if a.Kind == board.MarkSlow && x.Way == Board {
				x.slow[i][a.Worker] = x.now + time.Minute // the module goes round it by its pace
			}
			if a.Kind == board.StartCopy && x.Way == Board {
				p := x.parts[a.Part]
				x.result.Copies++
				x.found(p)
				x.giveWay(p)
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
			v := x.boards[p.by].State(board.ID{Gang: g.id, N: p.n})
			if len(p.attempts) == 1 && (v.State == verdict.Straggler || v.State == verdict.Silent) {
				x.found(p)
			}
			if len(p.attempts) > 1 || a.begun == 0 {
				continue
			}
			ran := (x.now - a.begun).Seconds()
			wants := x.Way == Timeout && ran > 3*mean
			if x.Way == Median && len(g.served) > 0 {
				s := slices.Sorted(slices.Values(g.served))
				wants = ran > 1.5*s[len(s)/2]
			}
			if wants {
				x.result.Copies++
				x.send(p)
			}
		}
	}
}

// found counts the verdict on a part's first attempt.
func (x *sim) found(p *piece) {
	if p.verdict {
		return
	}
	p.verdict = true
	switch a := p.attempts[0]; {
	case a.runner.speed >= 0.6:
		x.result.Wrong++
	case a.begun > 0:
		x.after = append(x.after, (x.now-a.begun).Seconds()/every.Seconds())
		fallthrough
	default:
		x.result.Found++
	}
}

// giveWay ends the first of two attempts that are out, as the module does for a third.
func (x *sim) giveWay(p *piece) {
	var out []*attempt
	for _, a := range p.attempts {
		if !a.over {
			out = append(out, a)
		}
	}
	if len(out) < 2 {
		return
	}
	a := out[0]
	a.over = true
	x.wasted += a.done
	a.runner.wait = slices.DeleteFunc(a.runner.wait, func(w *attempt) bool { return w == a })
}

// close tells whether a gang is over: done, or its client has had enough.
func (x *sim) close(g *gang) bool {
	if g.left > 0 && x.now < g.at+patience {
		return false
	}
	took := (x.now - g.at).Seconds()
	if g.left > 0 {
		x.result.Late++
	}
	x.took = append(x.took, took)
	for _, p := range g.parts {
		if p.slow && !p.verdict {
			x.result.Missed++
		}
		for _, a := range p.attempts {
			if !a.over {
				a.over = true
				a.runner.wait = slices.DeleteFunc(a.runner.wait, func(w *attempt) bool { return w == a })
			}
		}
		id := board.ID{Gang: g.id, N: p.n}
		x.boards[p.by].RemovePart(id)
		delete(x.parts, id)
	}
	return true
}
