package board

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/dispatcher/fleet/gang/verdict"
)

// Fact is what a dispatcher tells the others of a part of its own. It is small and goes each time
// something changes.
type Fact struct {
	Gang     string        `json:"g"`
	N        int           `json:"n"`
	Of       int           `json:"of"`
	Deadline time.Duration `json:"d"`
	Worker   string        `json:"w"`
	Speed    float64       `json:"v"`           // of work by its hint, 0 for unknown
	Work     float64       `json:"h"`           // the hint, or 1: whoever trusts no hints goes by Speed/Work
	Bound    bool          `json:"b,omitempty"` // it goes no faster, and may go slower
	Over     bool          `json:"o,omitempty"`
	Wait     float64       `json:"q,omitempty"` // seconds that it waited before it began
	Lost     bool          `json:"l,omitempty"` // the gang can't be in time any more
	Slow     float64       `json:"s,omitempty"` // it straggles, being that many times slower
	Step     bool          `json:"k,omitempty"` // it keeps step
	At       time.Duration `json:"at"`
}

// Hear takes in what another dispatcher tells of a part.
func (b *Board) Hear(f Fact) {
	if f.N < 1 || f.N > f.Of || f.Of > MostParts || !(f.Speed >= 0) || !(f.Work > 0) || !(f.Wait >= 0) {
		return
	}
	g := b.gang(f.Gang, f.Of, f.Deadline)
	g.lost = g.lost || f.Lost
	if f.Step {
		b.steps(f.Worker, f.At)
	}
	if f.Slow > 0 {
		b.straggles(f.Worker, f.Gang, min(f.Slow, mostTimes), f.At)
	}
	if was, ok := g.others[f.N]; !ok || f.At >= was.At {
		g.others[f.N] = f
	}
}

// tell returns what the others don't know yet of this dispatcher's parts.
func (b *Board) tell(name string, g *gang, now time.Duration) (out []Fact) {
	for _, n := range slices.Sorted(maps.Keys(g.own)) {
		p := g.own[n]
		v, bound, ok := p.Speed(now, b.cfg.Every)
		if !ok {
			continue
		}
		over, _ := p.Over()
		f := Fact{Gang: name, N: n, Of: g.of, Deadline: g.deadline, Worker: p.Worker, Speed: v, Work: p.Work, Bound: bound, Over: over, Wait: p.Waited(now).Seconds(), Lost: g.lost, Step: p.keeps && !over, At: now}
		if (p.Why.State == verdict.Straggler || p.Why.State == verdict.Silent) && !p.Waits() {
			f.Slow = timesOf(p.Why.On)
		}
		same := f
		same.At = p.told.At
		if over && same == p.told {
			continue
		}
		p.told = f
		out = append(out, f)
	}
	return out
}
