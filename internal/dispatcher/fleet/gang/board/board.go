// Package board tracks the gangs that a dispatcher knows: its own parts by their workers' progress
// reports, the parts of other dispatchers by the facts that those publish, and how each own part
// compares with its peers. It decides which parts get a second copy, which workers straggle in
// several gangs, and which gangs can no longer meet their deadline.
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
	MaxGangs = 1000 // tracked gangs; beyond it the one with the earliest deadline is dropped
	MaxParts = 512  // parts of a gang; larger gangs are not tracked
	// maxSlowWorkers bounds the workers that are recorded as slow, and those recorded as in step.
	// slowDuration is how long a gang counts against a worker that straggled in it, and
	// minSlowGangs is the number of gangs in which a worker must straggle to be marked as slow.
	maxSlowWorkers = 4096
	slowDuration   = time.Minute
	minSlowGangs   = 2
	// minHintSamples is the number of parts that must have succeeded before hints are compared
	// with run times.
	minHintSamples = 8
	// maxCopyRatio is the fraction of a part's remaining time within which a copy must be expected
	// to end.
	maxCopyRatio = 0.8
	// inStepRatio is the ratio to its peers' speed from which on a part counts as running at their
	// speed.
	inStepRatio = 0.67
	// copyStartChecks is the time that a copy is assumed to wait before it starts, in check
	// intervals.
	copyStartChecks = 1
	// maxCopies is the maximum number of copies of a part. A first copy is tracked like the first
	// attempt, so if it straggles as well, a second copy is started in place of the first attempt.
	maxCopies = 2
)

// Config configures a Board.
type Config struct {
	ReportInterval time.Duration // between a worker's progress reports; 0 if workers report only start and end
	CheckInterval  time.Duration // shortest time between checks
	CopiesAllowed  bool          // second copies may be started
}

// ID identifies a part.
type ID struct {
	Gang string
	N    int // number of the part, from 1
}

// Kind is the kind of an action.
type Kind uint8

// The kinds of actions.
const (
	StartCopy Kind = iota // start a second copy of the part
	MarkSlow              // treat the worker, which straggles in several gangs, as SlowFactor times slower
	Abandon               // abandon the part, which has not started, because its gang cannot meet its deadline
)

// Action is an action that a check asks the dispatcher to take.
type Action struct {
	Kind           Kind
	Part           ID // empty for MarkSlow
	Worker         string
	SlowFactor     float64         // for MarkSlow: how many times slower the worker is than its peers
	Verdict        verdict.Verdict // empty for MarkSlow
	EndWithoutCopy time.Duration   // for StartCopy: expected end of the current attempt
	EndWithCopy    time.Duration   // for StartCopy: expected end of the copy
}

// ownPart is a part that this dispatcher has sent.
type ownPart struct {
	part.Part
	Verdict       verdict.Verdict
	copyRequested bool // a copy was requested and not sent yet, or the last permitted copy was sent
	copiesSent    int  // number of copies sent
	abandoned     bool // an Abandon action was returned
	inStep        bool // it ran at its peers' speed at the last check
	hasHint       bool
	lastFact      Fact // the fact published last
}

// gang is what this dispatcher knows about one gang.
type gang struct {
	parts          int // number of parts, at all dispatchers
	deadline       time.Duration
	ownParts       map[int]*ownPart // by number
	peerFacts      map[int]Fact     // latest facts about other dispatchers' parts, by number
	missesDeadline bool             // it can no longer meet its deadline
}

// Board tracks the gangs that one dispatcher knows; New creates it.
type Board struct {
	cfg          Config
	gangs        map[string]*gang
	slowReports  map[string]map[string]slowReport // by worker and gang
	markedSlowAt map[string]time.Duration         // by worker: when it was last marked slow
	budget       copies.Budget
	inStepAt     map[string]time.Duration // by worker: when it last ran a part at its peers' speed
	hints        []sample                 // of the last parts that succeeded
	lastCheck    time.Duration
}

// slowReport records that a worker straggled in a gang.
type slowReport struct {
	at     time.Duration
	factor float64 // how many times slower than its peers it was
}

// sample is a part's hint and its actual run time, both in seconds.
type sample struct{ hint, runTime float64 }

// New creates an empty board.
func New(cfg Config) *Board {
	return &Board{
		cfg:          cfg,
		gangs:        map[string]*gang{},
		slowReports:  map[string]map[string]slowReport{},
		markedSlowAt: map[string]time.Duration{},
		inStepAt:     map[string]time.Duration{},
	}
}

// gang returns the gang with a name and adds it if it is unknown. If there are MaxGangs gangs, the
// one with the earliest deadline is dropped first.
func (b *Board) gang(name string, parts int, deadline time.Duration) *gang {
	g := b.gangs[name]
	if g != nil {
		return g
	}
	if len(b.gangs) >= MaxGangs {
		earliest := slices.MinFunc(slices.Collect(maps.Keys(b.gangs)), func(x, y string) int {
			return cmp.Or(cmp.Compare(b.gangs[x].deadline, b.gangs[y].deadline), cmp.Compare(x, y))
		})
		delete(b.gangs, earliest)
	}
	g = &gang{parts: parts, deadline: deadline, ownParts: map[int]*ownPart{}, peerFacts: map[int]Fact{}}
	b.gangs[name] = g
	return g
}

// AddPart adds a part of this dispatcher to a gang of the given number of parts. hint is the part's
// expected run time in seconds, 0 if it is unknown. AddPart returns false if the part is not
// tracked, because its number is invalid, the gang is larger than MaxParts, or it was added before.
func (b *Board) AddPart(id ID, parts int, hint float64, deadline time.Duration) bool {
	if id.N < 1 || id.N > parts || parts > MaxParts {
		return false
	}
	g := b.gang(id.Gang, parts, deadline)
	if g.ownParts[id.N] != nil {
		return false
	}
	p := &ownPart{hasHint: hint > 0}
	if p.Work = hint; hint <= 0 {
		p.Work = 1
	}
	g.ownParts[id.N] = p
	return true
}

// find returns a part of this dispatcher, or nil if it is not tracked.
func (b *Board) find(id ID) *ownPart {
	if g := b.gangs[id.Gang]; g != nil {
		return g.ownParts[id.N]
	}
	return nil
}

// PartSent records that an attempt of a part was sent to a worker. A copy is tracked in place of
// the attempt before it, whose speed is known.
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
		if p.Start(attempt, now); waited && p.Running() { // the verdict was on its wait
			p.Verdict = verdict.Verdict{}
		}
	}
}

// PartProgressed records the fraction of the work that an attempt has done.
func (b *Board) PartProgressed(id ID, attempt int, fraction float64, now time.Duration) {
	if p := b.find(id); p != nil {
		p.Report(attempt, fraction, now)
	}
}

// PartEnded records that an attempt has ended, and whether it succeeded.
func (b *Board) PartEnded(id ID, attempt int, succeeded bool, now time.Duration) {
	p := b.find(id)
	if p == nil {
		return
	}
	p.End(attempt, succeeded, now)
	if finished, ok := p.Finished(); finished && ok && p.hasHint && p.RunTime() > 0 {
		b.hints = append(b.hints, sample{p.Work, p.RunTime().Seconds()})
		if len(b.hints) > 256 {
			b.hints = slices.Clone(b.hints[128:])
		}
	}
}

// RemovePart removes a part whose job is closed. A part that has succeeded is kept as a peer for
// the others, until its gang is dropped.
func (b *Board) RemovePart(id ID) {
	if g := b.gangs[id.Gang]; g != nil {
		if p := g.ownParts[id.N]; p != nil {
			if finished, succeeded := p.Finished(); !finished || !succeeded {
				delete(g.ownParts, id.N)
			}
		}
	}
}

// hintsTrusted reports whether hints predict run times, which is so if run times divided by hints
// spread no more than run times alone, by a measure that a few slow workers hardly change. Hints
// are trusted until minHintSamples parts have succeeded.
func (b *Board) hintsTrusted() bool {
	if len(b.hints) < minHintSamples {
		return true
	}
	runTimes, relative := make([]float64, len(b.hints)), make([]float64, len(b.hints))
	for i, s := range b.hints {
		runTimes[i], relative[i] = s.runTime, s.runTime/s.hint
	}
	return peers.Spread(relative) <= peers.Spread(runTimes)
}

// speed returns a part's speed like Part.Speed, but in parts per second if hints are not trusted.
func (b *Board) speed(p *ownPart, now time.Duration, hintsTrusted bool) (v float64, upperBound, ok bool) {
	v, upperBound, ok = p.Speed(now, b.cfg.ReportInterval)
	if !hintsTrusted {
		v /= p.Work
	}
	return v, upperBound, ok
}

// Check evaluates all parts and returns the resulting actions and the facts to publish to the other
// members. It returns nothing if less than a check interval has passed since the last check.
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
		actions = append(actions, b.evaluateGang(name, g, now, hintsTrusted)...)
		facts = append(facts, b.newFacts(name, g, now)...)
	}
	return append(actions, b.slowWorkers(now)...), facts
}

// State returns the verdict on a part of this dispatcher, the zero value if it is not tracked.
func (b *Board) State(id ID) verdict.Verdict {
	if p := b.find(id); p != nil {
		return p.Verdict
	}
	return verdict.Verdict{}
}

// Len returns the number of tracked gangs.
func (b *Board) Len() int { return len(b.gangs) }
