// Package board holds what a dispatcher knows of gangs: its own parts from the reports of their
// workers, the parts of other dispatchers from the facts that those publish, and how each own part
// compares with its peers. It decides which parts get a second copy, which workers straggle in
// several gangs, and which gangs can't meet their deadline any more.
//
// The package is pure: it does no I/O and reads no clock; times are the cluster's time since 1970.
// Package watcher owns a Board, which is not safe for concurrent use.
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

// Limits and thresholds of a board.
const (
	MaxGangs = 1000 // gangs that are held; past it the one with the earliest deadline is dropped
	MaxParts = 512  // parts of a gang; larger gangs are not watched
	// maxSlowWorkers bounds the workers that are remembered as slow, slowDuration is how long a
	// gang counts against a worker, and minSlowGangs in how many gangs a worker must straggle to
	// be marked.
	maxSlowWorkers = 4096
	slowDuration   = time.Minute
	minSlowGangs   = 2
	// minHintSamples is how many parts must have ended before their hints are compared with their
	// run times.
	minHintSamples = 8
	// maxCopyRatio is the fraction of a part's remaining time within which its copy must end.
	maxCopyRatio = 0.8
	// inStepRatio is the ratio to its peers' speed from which on a part counts as run at normal
	// speed.
	inStepRatio = 0.67
	// copyStartChecks is how long a copy is assumed to wait before it runs, in check intervals.
	copyStartChecks = 1
	// maxCopies is how often a part is copied. A copy that straggles as well is watched like the
	// first attempt, and a further copy takes the place of the first attempt.
	maxCopies = 2
)

// Config says how a board judges parts.
type Config struct {
	ReportInterval time.Duration // between a worker's progress reports; 0 for starts and ends alone
	CheckInterval  time.Duration // between checks
	CopiesAllowed  bool          // second copies may be started
}

// ID identifies a part.
type ID struct {
	Gang string
	N    int // number of the part, from 1
}

// Kind says what an action does.
type Kind uint8

// The kinds of actions.
const (
	StartCopy Kind = iota // start a second copy of the part
	MarkSlow              // treat the worker, which straggles in several gangs, as SlowFactor times slower
	Abandon               // give up the part, which has not begun, as the gang can't meet its deadline
)

// Action is what a check leads to.
type Action struct {
	Kind           Kind
	Part           ID
	Worker         string
	SlowFactor     float64 // for MarkSlow: how many times slower than its peers
	Verdict        verdict.Verdict
	EndWithoutCopy time.Duration // for StartCopy: expected end of the part
	EndWithCopy    time.Duration // for StartCopy: expected end of the copy
}

// ownPart is a part that this dispatcher has sent.
type ownPart struct {
	part.Part
	Verdict       verdict.Verdict
	copyRequested bool // a copy was requested, and no watched copy has been sent since
	copiesSent    int  // second copies that were sent
	abandoned     bool
	inStep        bool // it ran at its peers' speed at the last check
	hinted        bool
	lastFact      Fact // as it was published last
}

// gang is one gang, as far as this dispatcher knows it.
type gang struct {
	parts          int
	deadline       time.Duration
	ownParts       map[int]*ownPart
	peerFacts      map[int]Fact
	missesDeadline bool // it can't meet its deadline any more
}

// Board holds the gangs that one dispatcher knows. New makes it.
type Board struct {
	cfg          Config
	gangs        map[string]*gang
	slowReports  map[string]map[string]slowReport // by worker and gang
	markedSlowAt map[string]time.Duration         // by worker: when it was marked slow last
	budget       copies.Budget
	inStepAt     map[string]time.Duration // by worker: when it ran a part at its peers' speed last
	hints        []sample
	lastCheck    time.Duration
}

// slowReport says that a worker straggled in a gang.
type slowReport struct {
	at     time.Duration
	factor float64
}

// sample is a part's hint and its run time, in seconds.
type sample struct{ hint, took float64 }

// New makes an empty board.
func New(cfg Config) *Board {
	return &Board{
		cfg:          cfg,
		gangs:        map[string]*gang{},
		slowReports:  map[string]map[string]slowReport{},
		markedSlowAt: map[string]time.Duration{},
		inStepAt:     map[string]time.Duration{},
	}
}

// gang returns a gang and adds it if it is not known.
func (b *Board) gang(name string, parts int, deadline time.Duration) *gang {
	g := b.gangs[name]
	if g != nil {
		return g
	}
	if len(b.gangs) >= MaxGangs {
		first := slices.MinFunc(slices.Collect(maps.Keys(b.gangs)), func(x, y string) int {
			return cmp.Or(cmp.Compare(b.gangs[x].deadline, b.gangs[y].deadline), cmp.Compare(x, y))
		})
		delete(b.gangs, first)
	}
	g = &gang{parts: parts, deadline: deadline, ownParts: map[int]*ownPart{}, peerFacts: map[int]Fact{}}
	b.gangs[name] = g
	return g
}

// AddPart adds a part of this dispatcher. Hint is its expected run time in seconds, 0 for unknown.
// It reports whether the part is watched.
func (b *Board) AddPart(id ID, parts int, hint float64, deadline time.Duration) bool {
	if id.N < 1 || id.N > parts || parts > MaxParts {
		return false
	}
	g := b.gang(id.Gang, parts, deadline)
	if g.ownParts[id.N] != nil {
		return false
	}
	p := &ownPart{hinted: hint > 0}
	if p.Work = hint; hint <= 0 {
		p.Work = 1
	}
	g.ownParts[id.N] = p
	return true
}

// find returns a part of this dispatcher, nil if it is not watched.
func (b *Board) find(id ID) *ownPart {
	if g := b.gangs[id.Gang]; g != nil {
		return g.ownParts[id.N]
	}
	return nil
}

// PartSent records that an attempt of a part was sent to a worker. A second copy is watched in
// place of the first attempt, whose speed is known.
func (b *Board) PartSent(id ID, worker string, attempt int, now time.Duration) {
	p := b.find(id)
	if p == nil {
		return
	}
	if !p.copyRequested {
		b.budget.PartSent()
	} else if p.copiesSent++; p.copiesSent < maxCopies {
		p.copyRequested = false
	}
	p.Send(worker, attempt, now)
	p.Verdict = verdict.Verdict{}
}

// PartStarted records that an attempt of a part has started.
func (b *Board) PartStarted(id ID, attempt int, now time.Duration) {
	if p := b.find(id); p != nil {
		waited := p.Waiting()
		if p.Start(attempt, now); waited && p.Running() { // the verdict on its wait is void
			p.Verdict = verdict.Verdict{}
		}
	}
}

// PartProgressed records the fraction that an attempt has done.
func (b *Board) PartProgressed(id ID, attempt int, fraction float64, now time.Duration) {
	if p := b.find(id); p != nil {
		p.Report(attempt, fraction, now)
	}
}

// PartEnded records that an attempt is over, and whether it succeeded.
func (b *Board) PartEnded(id ID, attempt int, served bool, now time.Duration) {
	p := b.find(id)
	if p == nil {
		return
	}
	p.End(attempt, served, now)
	if over, ok := p.Finished(); over && ok && p.hinted && p.RunTime() > 0 {
		b.hints = append(b.hints, sample{p.Work, p.RunTime().Seconds()})
		if len(b.hints) > 256 {
			b.hints = slices.Clone(b.hints[128:])
		}
	}
}

// RemovePart removes a part that has its answer, unless an attempt that succeeded makes it useful
// as a peer.
func (b *Board) RemovePart(id ID) {
	if g := b.gangs[id.Gang]; g != nil {
		if p := g.ownParts[id.N]; p != nil {
			if over, served := p.Finished(); !over || !served {
				delete(g.ownParts, id.N)
			}
		}
	}
}

// hintsTrusted reports whether hints predict run times: run times relative to hints are spread no
// more than run times alone, by a measure that a few slow workers do not move. Hints are trusted
// until enough parts have ended.
func (b *Board) hintsTrusted() bool {
	if len(b.hints) < minHintSamples {
		return true
	}
	took, against := make([]float64, len(b.hints)), make([]float64, len(b.hints))
	for i, s := range b.hints {
		took[i], against[i] = s.took, s.took/s.hint
	}
	return peers.Spread(against) <= peers.Spread(took)
}

// speed returns a part's speed, in parts per second if hints are not trusted.
func (b *Board) speed(p *ownPart, now time.Duration, hintsTrusted bool) (v float64, bound, ok bool) {
	v, bound, ok = p.Speed(now, b.cfg.ReportInterval)
	if !hintsTrusted {
		v /= p.Work
	}
	return v, bound, ok
}

// Check judges all parts, at most once per check interval, and returns the actions and the facts
// that are new to the other members.
func (b *Board) Check(now time.Duration) (actions []Action, facts []Fact) {
	if b.lastCheck > 0 && now < b.lastCheck+b.cfg.CheckInterval {
		return nil, nil
	}
	b.lastCheck = now
	hintsTrusted := b.hintsTrusted()
	for _, name := range slices.Sorted(maps.Keys(b.gangs)) {
		g := b.gangs[name]
		if now >= g.deadline+slowDuration {
			delete(b.gangs, name)
			continue
		}
		actions = append(actions, b.judgeGang(name, g, now, hintsTrusted)...)
		facts = append(facts, b.newFacts(name, g, now)...)
	}
	return append(actions, b.slowWorkers(now)...), facts
}

// State returns the verdict on a part of this dispatcher.
func (b *Board) State(id ID) verdict.Verdict {
	if p := b.find(id); p != nil {
		return p.Verdict
	}
	return verdict.Verdict{}
}

// Len returns how many gangs are held.
func (b *Board) Len() int { return len(b.gangs) }
