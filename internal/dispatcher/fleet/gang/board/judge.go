package board

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/dispatcher/fleet/gang/copies"
	"frosttide/internal/dispatcher/fleet/gang/peers"
	"frosttide/internal/dispatcher/fleet/gang/verdict"
)

// recordInStep records that a worker runs a part at its peers' speed.
func (b *Board) recordInStep(worker string, now time.Duration) {
	if len(b.inStepAt) >= maxSlowWorkers {
		clear(b.inStepAt) // they are found again at the next checks
	}
	b.inStepAt[worker] = max(b.inStepAt[worker], now)
}

// peerSpeed is the speed of a part of a gang, and how many seconds it waited before it began.
type peerSpeed struct {
	n     int
	speed float64
	bound bool
	wait  float64
}

// judgeGang judges the parts of a gang that this dispatcher has sent.
func (b *Board) judgeGang(name string, g *gang, now time.Duration, hintsTrusted bool) (actions []Action) {
	all := b.peerSpeeds(g, now, hintsTrusted)
	activeCopies := g.activeCopies()
	for _, n := range slices.Sorted(maps.Keys(g.ownParts)) {
		p := g.ownParts[n]
		if over, _ := p.Finished(); over || p.Worker == "" {
			continue
		}
		exactSpeeds := exactSpeedsExcept(all, n)
		e, v := b.judgePart(p, n, all, exactSpeeds, hintsTrusted, now)
		if p.Verdict.Observe(e, b.cfg.CheckInterval) && (p.Verdict.State == verdict.Straggler || p.Verdict.State == verdict.Silent) {
			if !p.Waiting() { // the verdict on a wait rests on the worker's slowness already
				b.recordSlow(p.Worker, name, slowFactor(e), now)
			}
		}
		size := p.Work
		if !hintsTrusted { // speeds are in parts per second then
			size, v = 1, v*p.Work
		}
		if act, ok := b.proposeCopy(name, n, g, p, exactSpeeds, size, activeCopies, v, now); ok {
			actions = append(actions, act)
			activeCopies++
		}
	}
	return append(actions, b.abandonUnstarted(name, g)...)
}

// peerSpeeds returns the known speeds of a gang's parts, at this dispatcher and at the others.
func (b *Board) peerSpeeds(g *gang, now time.Duration, hintsTrusted bool) (all []peerSpeed) {
	for n, p := range g.ownParts {
		if v, bound, ok := b.speed(p, now, hintsTrusted); ok {
			all = append(all, peerSpeed{n, v, bound, p.WaitTime(now).Seconds()})
		}
	}
	for n, f := range g.peerFacts {
		// A partitioned dispatcher publishes nothing: its parts are unknown.
		if f.Speed > 0 && (f.Ended || now-f.At < 3*max(b.cfg.ReportInterval, b.cfg.CheckInterval)) {
			v := f.Speed
			if !hintsTrusted {
				v /= f.Work
			}
			all = append(all, peerSpeed{n, v, f.Bound, f.Wait})
		}
	}
	return all
}

// activeCopies returns how many own parts are not over and have a second copy, or have one requested.
func (g *gang) activeCopies() (active int) {
	for _, p := range g.ownParts {
		if over, _ := p.Finished(); (p.copyRequested || p.copiesSent > 0) && !over {
			active++
		}
	}
	return active
}

// exactSpeedsExcept returns the speeds of all parts but number n, without those that are only bounds.
func exactSpeedsExcept(all []peerSpeed, n int) (speeds []float64) {
	for _, k := range all {
		if k.n != n && !k.bound {
			speeds = append(speeds, k.speed)
		}
	}
	return speeds
}

// judgePart returns the evidence on part n of this dispatcher, and its speed, 0 if it is unknown. It
// records whether the part runs at its peers' speed.
func (b *Board) judgePart(p *ownPart, n int, all []peerSpeed, exactSpeeds []float64, hintsTrusted bool, now time.Duration) (verdict.Evidence, float64) {
	e := verdict.Evidence{At: now, Heavy: b.partIsHeavy(p.Worker, now)}
	v, bound, ok := b.speed(p, now, hintsTrusted)
	if ok {
		e.Standing, e.Known = peers.Compare(v, exactSpeeds)
		// An upper bound above the peers' speed says nothing.
		e.Known = e.Known && (!bound || e.Standing.Ratio < 1)
	}
	if p.inStep = e.Known && !bound && e.Standing.Ratio >= inStepRatio; p.inStep {
		b.recordInStep(p.Worker, now)
	}
	if p.Waiting() {
		e.Standing, e.Known = b.compareWaits(p, n, all, exactSpeeds, hintsTrusted, now)
	}
	e.Silent = p.ReportsOverdue(now, b.cfg.ReportInterval) && len(exactSpeeds) >= peers.MinPeers
	return e, v
}

// compareWaits compares how long a part has waited with how long its peers waited before they
// began, if its worker straggles in some gang: there are no reports of a part that has not begun,
// yet it will be as late as those that run there. Half of a typical run time is added to each
// wait, so that short waits do not differ. An unfinished wait is only a lower bound, so it never
// counts in favour of the part.
func (b *Board) compareWaits(p *ownPart, n int, all []peerSpeed, exactSpeeds []float64, hintsTrusted bool, now time.Duration) (peers.Standing, bool) {
	typical, ok := peers.Compare(0, exactSpeeds)
	if !ok || typical.Median <= 0 || len(b.slowReports[p.Worker]) == 0 {
		return peers.Standing{}, false
	}
	run := 0.5 / typical.Median
	if hintsTrusted {
		run *= p.Work
	}
	var waits []float64
	for _, k := range all {
		if k.n != n {
			waits = append(waits, 1/(k.wait+run))
		}
	}
	s, ok := peers.Compare(1/(p.WaitTime(now).Seconds()+run), waits)
	return s, ok && s.Ratio < 1
}

// partIsHeavy reports whether a worker runs another part at its peers' speed. Then a slow part is
// larger than its hint, and a copy would take as long.
func (b *Board) partIsHeavy(worker string, now time.Duration) bool {
	at, ok := b.inStepAt[worker]
	return ok && now-at < 3*max(b.cfg.ReportInterval, b.cfg.CheckInterval)
}

// proposeCopy returns the action that starts a second copy of a part, if one helps and the limits
// allow it. ExactSpeeds are its peers' speeds that are not bounds, size is the part's size in the
// same measure, and v is its own speed by its hint.
func (b *Board) proposeCopy(name string, n int, g *gang, p *ownPart, exactSpeeds []float64, size float64, activeCopies int, v float64, now time.Duration) (Action, bool) {
	if !b.cfg.CopiesAllowed || p.copyRequested || p.Verdict.State != verdict.Straggler && p.Verdict.State != verdict.Silent || len(exactSpeeds) == 0 {
		return Action{}, false
	}
	if p.Verdict.State == verdict.Silent {
		v = 0
	}
	typical, _ := peers.Compare(0, exactSpeeds) // the verdict's evidence may be in another measure
	remaining := p.Remaining(now, v)
	copyTime := copyStartChecks*b.cfg.CheckInterval + time.Duration(size/max(typical.Median, 1e-3)*float64(time.Second))
	if now+copyTime > g.deadline && now+remaining > g.deadline {
		g.missesDeadline = true
	}
	if float64(copyTime) > maxCopyRatio*float64(remaining) || now+copyTime > g.deadline || !copies.AllowedInGang(g.parts, activeCopies) || !b.budget.Take() {
		return Action{}, false
	}
	p.copyRequested = true
	return Action{
		Kind:           StartCopy,
		Part:           ID{name, n},
		Worker:         p.Worker,
		Verdict:        p.Verdict,
		EndWithoutCopy: now + remaining,
		EndWithCopy:    now + copyTime,
	}, true
}

// abandonUnstarted returns, once each, the parts that have not begun of a gang that can't meet its
// deadline any more: one of its parts will be late with or without a copy.
func (b *Board) abandonUnstarted(name string, g *gang) (actions []Action) {
	if !g.missesDeadline {
		return nil
	}
	for _, n := range slices.Sorted(maps.Keys(g.ownParts)) {
		p := g.ownParts[n]
		if over, _ := p.Finished(); !over && !p.Running() && !p.abandoned {
			p.abandoned = true
			actions = append(actions, Action{Kind: Abandon, Part: ID{name, n}, Worker: p.Worker, Verdict: p.Verdict})
		}
	}
	return actions
}
