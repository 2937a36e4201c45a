package board

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/dispatcher/fleet/gang/verdict"
)

// Fact is what a dispatcher publishes about one of its parts each time something changes. Its JSON
// form is sent between members, so the tags must not change.
type Fact struct {
	Gang           string        `json:"g"`
	N              int           `json:"n"`
	Of             int           `json:"of"`
	Deadline       time.Duration `json:"d"`
	Worker         string        `json:"w"`
	Speed          float64       `json:"v"`           // of the work by its hint, per second; 0 for unknown
	Work           float64       `json:"h"`           // the hint in seconds, or 1; without trust in hints the speed is Speed/Work
	Bound          bool          `json:"b,omitempty"` // Speed is an upper bound
	Ended          bool          `json:"o,omitempty"`
	Wait           float64       `json:"q,omitempty"` // seconds that it waited before it began
	MissesDeadline bool          `json:"l,omitempty"` // the gang can't meet its deadline any more
	SlowFactor     float64       `json:"s,omitempty"` // it straggles and is that many times slower; 0 if it does not
	InStep         bool          `json:"k,omitempty"` // it runs at its peers' speed
	At             time.Duration `json:"at"`
}

// AddFact adds a fact that another dispatcher has published. Malformed and outdated facts are
// ignored.
func (b *Board) AddFact(f Fact) {
	if f.N < 1 || f.N > f.Of || f.Of > MaxParts || !(f.Speed >= 0) || !(f.Work > 0) || !(f.Wait >= 0) {
		return
	}
	g := b.gang(f.Gang, f.Of, f.Deadline)
	g.missesDeadline = g.missesDeadline || f.MissesDeadline
	if f.InStep {
		b.recordInStep(f.Worker, f.At)
	}
	if f.SlowFactor > 0 {
		b.recordSlow(f.Worker, f.Gang, min(f.SlowFactor, maxSlowFactor), f.At)
	}
	if previous, ok := g.peerFacts[f.N]; !ok || f.At >= previous.At {
		g.peerFacts[f.N] = f
	}
}

// newFacts returns the facts of this dispatcher's parts of a gang that the others do not know yet.
func (b *Board) newFacts(name string, g *gang, now time.Duration) (facts []Fact) {
	for _, n := range slices.Sorted(maps.Keys(g.ownParts)) {
		p := g.ownParts[n]
		v, bound, ok := p.Speed(now, b.cfg.ReportInterval)
		if !ok {
			continue
		}
		ended, _ := p.Finished()
		f := Fact{
			Gang:           name,
			N:              n,
			Of:             g.parts,
			Deadline:       g.deadline,
			Worker:         p.Worker,
			Speed:          v,
			Work:           p.Work,
			Bound:          bound,
			Ended:          ended,
			Wait:           p.WaitTime(now).Seconds(),
			MissesDeadline: g.missesDeadline,
			InStep:         p.inStep && !ended,
			At:             now,
		}
		if (p.Verdict.State == verdict.Straggler || p.Verdict.State == verdict.Silent) && !p.Waiting() {
			f.SlowFactor = slowFactor(p.Verdict.Evidence)
		}
		same := f
		same.At = p.lastFact.At
		if ended && same == p.lastFact {
			continue
		}
		p.lastFact = f
		facts = append(facts, f)
	}
	return facts
}
