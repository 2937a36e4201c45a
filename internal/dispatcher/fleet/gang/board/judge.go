package board

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/dispatcher/fleet/gang/copies"
	"frosttide/internal/dispatcher/fleet/gang/peers"
	"frosttide/internal/dispatcher/fleet/gang/verdict"
)

// steps takes down that a worker does a part as fast as its peers do theirs.
func (b *Board) steps(worker string, now time.Duration) {
	if len(b.heard) >= mostSlow {
		clear(b.heard) // it is found anew
	}
	b.heard[worker] = max(b.heard[worker], now)
}

// known is a speed of a gang's part, and how long it waited before it began.
type known struct {
	n     int
	v     float64
	bound bool
	wait  float64
}

// judge looks at the gang's own parts.
func (b *Board) judge(name string, g *gang, now time.Duration, trusted bool) (acts []Act) {
	var all []known
	for n, p := range g.own {
		if v, bound, ok := b.speed(p, now, trusted); ok {
			all = append(all, known{n, v, bound, p.Waited(now).Seconds()})
		}
	}
	for n, f := range g.others {
		// A dispatcher that is cut off tells nothing: its parts are unknown.
		if f.Speed > 0 && (f.Over || now-f.At < 3*max(b.cfg.Every, b.cfg.Look)) {
			v := f.Speed
			if !trusted {
				v /= f.Work
			}
			all = append(all, known{n, v, f.Bound, f.Wait})
		}
	}
	out := 0
	for _, p := range g.own {
		if over, _ := p.Over(); (p.copied || p.copies > 0) && !over {
			out++
		}
	}
	for _, n := range slices.Sorted(maps.Keys(g.own)) {
		p := g.own[n]
		if over, _ := p.Over(); over || p.Worker == "" {
			continue
		}
		var exact []float64
		for _, k := range all {
			if k.n != n && !k.bound {
				exact = append(exact, k.v)
			}
		}
		e := verdict.Evidence{At: now, Heavy: b.heavy(p.Worker, now)}
		v, bound, ok := b.speed(p, now, trusted)
		if ok {
			e.Standing, e.Known = peers.Compare(v, exact)
			// What goes no faster than a bound above its peers may be as fast as they are.
			e.Known = e.Known && (!bound || e.Standing.Ratio < 1)
		}
		if p.keeps = e.Known && !bound && e.Standing.Ratio >= keeps; p.keeps {
			b.steps(p.Worker, now)
		}
		if p.Waits() {
			e.Standing, e.Known = b.stands(p, n, all, exact, trusted, now)
		}
		e.Silent = p.Silent(now, b.cfg.Every) && len(exact) >= peers.Least
		if p.Why.Look(e, b.cfg.Look) && (p.Why.State == verdict.Straggler || p.Why.State == verdict.Silent) {
			if !p.Waits() { // one that waits was told of because its worker straggles
				b.straggles(p.Worker, name, timesOf(e), now)
			}
		}
		size := p.Work
		if !trusted { // speeds are then in parts
			size, v = 1, v*p.Work
		}
		if act, ok := b.copy(name, n, g, p, exact, size, out, v, now); ok {
			acts = append(acts, act)
			out++
		}
	}
	return append(acts, b.late(name, g)...)
}

// stands holds how long a part has waited against how long its peers waited before they began,
// where its worker straggles in some gang: nothing is told of a part that has not begun, and what
// waits there is as late as what runs. Half of a usual run is added to each wait, so that short
// ones do not differ. A wait that goes on is the least that it can be, so that it never speaks
// for the part.
func (b *Board) stands(p *own, n int, all []known, exact []float64, trusted bool, now time.Duration) (peers.Standing, bool) {
	usual, ok := peers.Compare(0, exact)
	if !ok || usual.Median <= 0 || len(b.slow[p.Worker]) == 0 {
		return peers.Standing{}, false
	}
	run := 0.5 / usual.Median
	if trusted {
		run *= p.Work
	}
	var waits []float64
	for _, k := range all {
		if k.n != n {
			waits = append(waits, 1/(k.wait+run))
		}
	}
	s, ok := peers.Compare(1/(p.Waited(now).Seconds()+run), waits)
	return s, ok && s.Ratio < 1
}

// heavy tells whether a worker does another part at its peers' pace: then what is slow is the
// part, as it is more than its hint says, and a copy would take as long.
func (b *Board) heavy(worker string, now time.Duration) bool {
	at, ok := b.heard[worker]
	return ok && now-at < 3*max(b.cfg.Every, b.cfg.Look)
}

// copy tells whether a second copy of a part would help. Exact are its peers' speeds by now and
// size is the part's in their measure; v is its own speed by its hint.
func (b *Board) copy(name string, n int, g *gang, p *own, exact []float64, size float64, out int, v float64, now time.Duration) (Act, bool) {
	if !b.cfg.Copies || p.copied || p.Why.State != verdict.Straggler && p.Why.State != verdict.Silent || len(exact) == 0 {
		return Act{}, false
	}
	if p.Why.State == verdict.Silent {
		v = 0
	}
	usual, _ := peers.Compare(0, exact) // of those by now: what moved the verdict may be in another measure
	left := p.Left(now, v)
	again := starts*b.cfg.Look + time.Duration(size/max(usual.Median, 1e-3)*float64(time.Second))
	if now+again > g.deadline && now+left > g.deadline {
		g.lost = true
	}
	if float64(again) > gain*float64(left) || now+again > g.deadline || !copies.OfGang(g.of, out) || !b.budget.Take() {
		return Act{}, false
	}
	p.copied = true
	return Act{Kind: Copy, Part: ID{name, n}, Worker: p.Worker, Why: p.Why, End: now + left, With: now + again}, true
}

// late returns the parts that have not begun of a gang that can't be in time any more: one part
// of it will not be, whether it is copied or not. Each is returned once.
func (b *Board) late(name string, g *gang) (acts []Act) {
	if !g.lost {
		return nil
	}
	for _, n := range slices.Sorted(maps.Keys(g.own)) {
		p := g.own[n]
		if over, _ := p.Over(); !over && !p.Running() && !p.givenUp {
			p.givenUp = true
			acts = append(acts, Act{Kind: GiveUp, Part: ID{name, n}, Worker: p.Worker, Why: p.Why})
		}
	}
	return acts
}
