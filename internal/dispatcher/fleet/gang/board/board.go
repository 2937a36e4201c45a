// Package board is what a dispatcher knows of gangs: its own parts by their workers' reports,
// other dispatchers' parts by what those tell, and of both how each part stands among its peers.
// It says which parts a second copy would help, which workers straggle in several gangs, and
// which gangs can't be in time any more. The package is pure: no I/O, no clock; times are those
// that all members go by.
package board

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"frosttide/internal/dispatcher/fleet/gang/copies"
	"frosttide/internal/dispatcher/fleet/gang/part"
	"frosttide/internal/dispatcher/fleet/gang/peers"
	"frosttide/internal/dispatcher/fleet/gang/verdict"
)

// The bounds of a board.
const (
	MostGangs = 1000 // the one that ends first is forgotten past it
	MostParts = 512  // of a gang; others are not watched
	// mostSlow is how many workers' straggling is remembered, slowFor how long, and slowIn in
	// how many gangs it has to be found to count.
	mostSlow = 4096
	slowFor  = time.Minute
	slowIn   = 2
	// goodHints is how many parts have to have ended for their hints to be held against what
	// they took.
	goodHints = 8
	// gain is the part of a part's remaining time that a copy has to end before.
	gain = 0.8
	// keeps is the part of its peers' speed from which on a worker does a part as they do.
	keeps = 0.67
	// starts is how long a copy is taken to wait before it runs, in looks.
	starts = 1
	// mostCopies is how often a part is copied: a copy that straggles too is watched as the first
	// was, and one more takes the first one's place.
	mostCopies = 2
)

// Config says how a board judges.
type Config struct {
	Every  time.Duration // between a worker's reports; 0 for starts and ends alone
	Look   time.Duration // between looks
	Copies bool          // second copies are allowed
}

// ID names a part.
type ID struct {
	Gang string
	N    int // from 1
}

// Kind says what an act is.
type Kind uint8

// The kinds.
const (
	Copy   Kind = iota // a second copy of the part would help
	Slow               // the worker straggles in several gangs: it counts as that much slower
	GiveUp             // the gang can't be in time any more: the part, which has not begun, is of no use
)

// Act is what a look leads to.
type Act struct {
	Kind   Kind
	Part   ID
	Worker string
	Times  float64 // Slow: how many times slower than its peers
	Why    verdict.Verdict
	End    time.Duration // Copy: when the part is likely to end without, and With with a copy
	With   time.Duration
}

// own is a part of this dispatcher's.
type own struct {
	part.Part
	Why     verdict.Verdict
	copied  bool // a copy was asked for, and none that is watched has been sent since
	copies  int  // that were sent
	givenUp bool
	keeps   bool // at the last look it went as fast as its peers
	hinted  bool
	told    Fact
}

type gang struct {
	of       int
	deadline time.Duration
	own      map[int]*own
	others   map[int]Fact
	lost     bool // it can't be in time any more
}

// Board is a dispatcher's. New makes it.
type Board struct {
	cfg    Config
	gangs  map[string]*gang
	slow   map[string]map[string]mark // by worker and gang
	said   map[string]time.Duration   // workers that were said to be slow, and when
	budget copies.Budget
	heard  map[string]time.Duration // by worker: when another part there kept step
	hints  []sample
	looked time.Duration
}

type mark struct {
	at    time.Duration
	times float64
}

// sample is a part's hint and what it took.
type sample struct{ hint, took float64 }

// New makes an empty board.
func New(cfg Config) *Board {
	return &Board{cfg: cfg, gangs: map[string]*gang{}, slow: map[string]map[string]mark{}, said: map[string]time.Duration{}, heard: map[string]time.Duration{}}
}

// gang returns one, and makes room for it where there is none.
func (b *Board) gang(name string, of int, deadline time.Duration) *gang {
	g := b.gangs[name]
	if g != nil {
		return g
	}
	if len(b.gangs) >= MostGangs {
		first := slices.MinFunc(slices.Collect(maps.Keys(b.gangs)), func(x, y string) int {
			return cmp.Or(cmp.Compare(b.gangs[x].deadline, b.gangs[y].deadline), cmp.Compare(x, y))
		})
		delete(b.gangs, first)
	}
	g = &gang{of: of, deadline: deadline, own: map[int]*own{}, others: map[int]Fact{}}
	b.gangs[name] = g
	return g
}

// Join takes in a part of this dispatcher's. Hint is the seconds that it is expected to run, 0
// for unknown. It tells whether the part is watched.
func (b *Board) Join(id ID, of int, hint float64, deadline time.Duration) bool {
	if id.N < 1 || id.N > of || of > MostParts {
		return false
	}
	g := b.gang(id.Gang, of, deadline)
	if g.own[id.N] != nil {
		return false
	}
	p := &own{hinted: hint > 0}
	if p.Work = hint; hint <= 0 {
		p.Work = 1
	}
	g.own[id.N] = p
	return true
}

func (b *Board) find(id ID) *own {
	if g := b.gangs[id.Gang]; g != nil {
		return g.own[id.N]
	}
	return nil
}

// Sent takes in that an attempt of a part went to a worker. A copy is watched in place of the
// attempt that it stands beside: what that one does is known.
func (b *Board) Sent(id ID, worker string, attempt int, now time.Duration) {
	p := b.find(id)
	if p == nil {
		return
	}
	if !p.copied {
		b.budget.Sent()
	} else if p.copies++; p.copies < mostCopies {
		p.copied = false
	}
	p.Send(worker, attempt, now)
	p.Why = verdict.Verdict{}
}

// Started records that an attempt of a part has started.
func (b *Board) Started(id ID, attempt int, now time.Duration) {
	if p := b.find(id); p != nil {
		waited := p.Waits()
		if p.Start(attempt, now); waited && p.Running() { // what its wait said is over
			p.Why = verdict.Verdict{}
		}
	}
}

// Reported takes in a share that is done.
func (b *Board) Reported(id ID, attempt int, share float64, now time.Duration) {
	if p := b.find(id); p != nil {
		p.Report(attempt, share, now)
	}
}

// Ended takes in that an attempt is over.
func (b *Board) Ended(id ID, attempt int, served bool, now time.Duration) {
	p := b.find(id)
	if p == nil {
		return
	}
	p.End(attempt, served, now)
	if over, ok := p.Over(); over && ok && p.hinted && p.Took() > 0 {
		b.hints = append(b.hints, sample{p.Work, p.Took().Seconds()})
		if len(b.hints) > 256 {
			b.hints = slices.Clone(b.hints[128:])
		}
	}
}

// Gone takes in that a part is this dispatcher's no more: it has its answer.
func (b *Board) Gone(id ID) {
	if g := b.gangs[id.Gang]; g != nil {
		if p := g.own[id.N]; p != nil {
			if over, served := p.Over(); !over || !served {
				delete(g.own, id.N)
			}
		}
	}
}

// trusted tells whether what parts took is less spread against their hints than by itself, by
// measures that a few slow workers do not move. Before enough have ended hints are trusted.
func (b *Board) trusted() bool {
	if len(b.hints) < goodHints {
		return true
	}
	took, against := make([]float64, len(b.hints)), make([]float64, len(b.hints))
	for i, s := range b.hints {
		took[i], against[i] = s.took, s.took/s.hint
	}
	return peers.Spread(against) <= peers.Spread(took)
}

// speed is a part's, without its hint where hints are no good.
func (b *Board) speed(p *own, now time.Duration, trusted bool) (v float64, bound, ok bool) {
	v, bound, ok = p.Speed(now, b.cfg.Every)
	if !trusted {
		v /= p.Work
	}
	return v, bound, ok
}

// Look judges all parts, at most once in a while, and returns what follows and what the others
// are to be told.
func (b *Board) Look(now time.Duration) (acts []Act, tell []Fact) {
	if b.looked > 0 && now < b.looked+b.cfg.Look {
		return nil, nil
	}
	b.looked = now
	trusted := b.trusted()
	for _, name := range slices.Sorted(maps.Keys(b.gangs)) {
		g := b.gangs[name]
		if now >= g.deadline+slowFor {
			delete(b.gangs, name)
			continue
		}
		acts = append(acts, b.judge(name, g, now, trusted)...)
		tell = append(tell, b.tell(name, g, now)...)
	}
	return append(acts, b.workers(now)...), tell
}

// State returns a part's verdict.
func (b *Board) State(id ID) verdict.Verdict {
	if p := b.find(id); p != nil {
		return p.Why
	}
	return verdict.Verdict{}
}

// Len returns how many gangs are held.
func (b *Board) Len() int { return len(b.gangs) }
