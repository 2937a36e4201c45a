package board

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/dispatcher/fleet/gang/verdict"
)

// Fact is what a dispatcher publishes about one of its parts. Its JSON form is sent between
// members, so the tags must not change.
type Fact struct {
	Gang           string        `json:"g"`
	N              int           `json:"n"`
	Of             int           `json:"of"`
	Deadline       time.Duration `json:"d"`
	Worker         string        `json:"w"`
	Speed          float64       `json:"v"`           // work, as measured by the hint, per second; 0 if unknown
	Work           float64       `json:"h"`           // the hint in seconds, or 1; where hints are not trusted, Speed/Work is used as the speed
	Bound          bool          `json:"b,omitempty"` // Speed is an upper bound
	Ended          bool          `json:"o,omitempty"` // the attempt has ended
	Wait           float64       `json:"q,omitempty"` // seconds that the part waited before it started
	MissesDeadline bool          `json:"l,omitempty"` // the gang can no longer meet its deadline
	SlowFactor     float64       `json:"s,omitempty"` // how many times slower than its peers a straggler is; 0 if the part does not straggle
	InStep         bool          `json:"k,omitempty"` // the part runs at its peers' speed
	At             time.Duration `json:"at"`          // time of the check
}

// AddFact adds a fact that another dispatcher has published. A fact with invalid values is ignored,
// and one that is older than the last fact about its part does not replace that.
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

// newFacts returns the facts about this dispatcher's parts of a gang that are to be published:
// those of running parts at each check, as outdated ones are ignored, and those of ended parts when
// they have changed.
func (b *Board) newFacts(name string, g *gang, now time.Duration) (facts []Fact) {
	for _, n := range slices.Sorted(maps.Keys(g.ownParts)) {
		p := g.ownParts[n]
		v, upperBound, ok := p.Speed(now, b.cfg.ReportInterval)
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
			Bound:          upperBound,
			Ended:          ended,
			Wait:           p.WaitTime(now).Seconds(),
			MissesDeadline: g.missesDeadline,
			InStep:         p.inStep && !ended,
			At:             now,
		}
		if (p.Verdict.State == verdict.Straggler || p.Verdict.State == verdict.Silent) && !p.Waiting() {
			f.SlowFactor = slowFactor(p.Verdict.Evidence)
		}
		unchanged := f
		unchanged.At = p.lastFact.At // compare all but the time
		if ended && unchanged == p.lastFact {
			continue
		}
		p.lastFact = f
		facts = append(facts, f)
	}
	return facts
}
