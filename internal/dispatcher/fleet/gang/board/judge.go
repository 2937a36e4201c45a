package board

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/dispatcher/fleet/gang/copies"
	"frosttide/internal/dispatcher/fleet/gang/peers"
	"frosttide/internal/dispatcher/fleet/gang/verdict"
)

// recordInStep records that a worker ran a part at its peers' speed at time now.
func (b *Board) recordInStep(worker string, now time.Duration) {
	if len(b.inStepAt) >= maxSlowWorkers {
		clear(b.inStepAt) // later checks fill it again
	}
	b.inStepAt[worker] = max(b.inStepAt[worker], now)
}

// partSpeed is the speed of a part of a gang, and how long the part waited before it started.
type partSpeed struct {
	n          int // number of the part
	speed      float64
	upperBound bool    // speed is only an upper bound
	wait       float64 // in seconds
}

// evaluateGang compares the unfinished parts of a gang that this dispatcher has sent with their
// peers and returns the actions that follow.
func (b *Board) evaluateGang(name string, g *gang, now time.Duration, hintsTrusted bool) (actions []Action) {
	all := b.partSpeeds(g, now, hintsTrusted)
	activeCopies := g.activeCopies()
	for _, n := range slices.Sorted(maps.Keys(g.ownParts)) {
		p := g.ownParts[n]
		if finished, _ := p.Finished(); finished || p.Worker == "" {
			continue
		}
		exactSpeeds := exactSpeedsExcept(all, n)
		e, v := b.evaluatePart(p, n, all, exactSpeeds, hintsTrusted, now)
		if p.Verdict.Observe(e, b.cfg.CheckInterval) && (p.Verdict.State == verdict.Straggler || p.Verdict.State == verdict.Silent) {
			if !p.Waiting() { // the verdict on a waiting part is based on its worker's slowness already
				b.recordSlow(p.Worker, name, slowFactor(e), now)
			}
		}
		size := p.Work
		if !hintsTrusted { // speeds are in parts per second
			size, v = 1, v*p.Work
		}
		if action, ok := b.proposeCopy(name, n, g, p, exactSpeeds, size, activeCopies, v, now); ok {
			actions = append(actions, action)
			activeCopies++
		}
	}
	return append(actions, b.abandonUnstarted(name, g)...)
}

// partSpeeds returns the known speeds of a gang's parts, both of this dispatcher and of the others.
// They are in parts per second if hints are not trusted.
func (b *Board) partSpeeds(g *gang, now time.Duration, hintsTrusted bool) (all []partSpeed) {
	for n, p := range g.ownParts {
		if v, upperBound, ok := b.speed(p, now, hintsTrusted); ok {
			all = append(all, partSpeed{n, v, upperBound, p.WaitTime(now).Seconds()})
		}
	}
	for n, f := range g.peerFacts {
		// An outdated fact is ignored: a partitioned dispatcher publishes nothing, so the speeds of
		// its parts are unknown.
		if f.Speed > 0 && (f.Ended || now-f.At < 3*max(b.cfg.ReportInterval, b.cfg.CheckInterval)) {
			v := f.Speed
			if !hintsTrusted {
				v /= f.Work
			}
			all = append(all, partSpeed{n, v, f.Bound, f.Wait})
		}
	}
	return all
}

// activeCopies returns the number of this dispatcher's unfinished parts that have a second copy or
// for which one was requested.
func (g *gang) activeCopies() (active int) {
	for _, p := range g.ownParts {
		if finished, _ := p.Finished(); (p.copyRequested || p.copiesSent > 0) && !finished {
			active++
		}
	}
	return active
}

// exactSpeedsExcept returns the speeds of all parts except number n, without those that are only
// upper bounds.
func exactSpeedsExcept(all []partSpeed, n int) (speeds []float64) {
	for _, other := range all {
		if other.n != n && !other.upperBound {
			speeds = append(speeds, other.speed)
		}
	}
	return speeds
}

// evaluatePart returns the evidence on part n of this dispatcher, and its speed, which is 0 if it
// is unknown. It records whether the part runs at its peers' speed.
func (b *Board) evaluatePart(p *ownPart, n int, all []partSpeed, exactSpeeds []float64, hintsTrusted bool, now time.Duration) (verdict.Evidence, float64) {
	e := verdict.Evidence{At: now, WorkerInStep: b.workerInStep(p.Worker, now)}
	v, upperBound, ok := b.speed(p, now, hintsTrusted)
	if ok {
		e.Comparison, e.Known = peers.Compare(v, exactSpeeds)
		// An upper bound above the peers' speed carries no information.
		e.Known = e.Known && (!upperBound || e.Comparison.Ratio < 1)
	}
	if p.inStep = e.Known && !upperBound && e.Comparison.Ratio >= inStepRatio; p.inStep {
		b.recordInStep(p.Worker, now)
	}
	if p.Waiting() {
		e.Comparison, e.Known = b.compareWaits(p, n, all, exactSpeeds, hintsTrusted, now)
	}
	e.Silent = p.ReportsOverdue(now, b.cfg.ReportInterval) && len(exactSpeeds) >= peers.MinPeers
	return e, v
}

// compareWaits compares how long a part has waited with how long its peers waited before they
// started, if its worker straggles in some gang: a part that has not started has no progress
// reports, yet it will be as late as the parts that run on that worker. Half of a typical run time
// is added to each wait so that differences between short waits do not matter. An unfinished wait
// is only a lower bound, so it never counts in favour of the part.
func (b *Board) compareWaits(p *ownPart, n int, all []partSpeed, exactSpeeds []float64, hintsTrusted bool, now time.Duration) (peers.Comparison, bool) {
	typical, ok := peers.Compare(0, exactSpeeds)
	if !ok || typical.Median <= 0 || len(b.slowReports[p.Worker]) == 0 {
		return peers.Comparison{}, false
	}
	halfRunTime := 0.5 / typical.Median
	if hintsTrusted {
		halfRunTime *= p.Work
	}
	var inverseWaits []float64
	for _, other := range all {
		if other.n != n {
			inverseWaits = append(inverseWaits, 1/(other.wait+halfRunTime))
		}
	}
	c, ok := peers.Compare(1/(p.WaitTime(now).Seconds()+halfRunTime), inverseWaits)
	return c, ok && c.Ratio < 1
}

// workerInStep reports whether a worker has run a part at its peers' speed in the last three report
// or check intervals. A slow part of such a worker has more work than its hint says, and a copy of
// it would take as long.
func (b *Board) workerInStep(worker string, now time.Duration) bool {
	at, ok := b.inStepAt[worker]
	return ok && now-at < 3*max(b.cfg.ReportInterval, b.cfg.CheckInterval)
}

// proposeCopy returns the action that starts a second copy of part n, if the part straggles, the
// copy is expected to end early enough and the limits allow it. exactSpeeds are the peers' speeds
// that are not upper bounds, size is the part's work in the unit of these speeds, and v is the
// part's own speed relative to its hint.
func (b *Board) proposeCopy(name string, n int, g *gang, p *ownPart, exactSpeeds []float64, size float64, activeCopies int, v float64, now time.Duration) (Action, bool) {
	if !b.cfg.CopiesAllowed || p.copyRequested || p.Verdict.State != verdict.Straggler && p.Verdict.State != verdict.Silent || len(exactSpeeds) == 0 {
		return Action{}, false
	}
	if p.Verdict.State == verdict.Silent {
		v = 0
	}
	typical, _ := peers.Compare(0, exactSpeeds) // not from the verdict, whose evidence may be in another unit
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

// abandonUnstarted returns the actions that abandon the unstarted parts of a gang that can no
// longer meet its deadline, because one of its parts will be late with or without a copy. Each part
// is returned once.
func (b *Board) abandonUnstarted(name string, g *gang) (actions []Action) {
	if !g.missesDeadline {
		return nil
	}
	for _, n := range slices.Sorted(maps.Keys(g.ownParts)) {
		p := g.ownParts[n]
		if finished, _ := p.Finished(); !finished && !p.Running() && !p.abandoned {
			p.abandoned = true
			actions = append(actions, Action{Kind: Abandon, Part: ID{name, n}, Worker: p.Worker, Verdict: p.Verdict})
		}
	}
	return actions
}
