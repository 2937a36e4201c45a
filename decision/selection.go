package decision

import (
	"frosttide/decision/affinity"
)

// The choice of a worker.

// selectWorker returns the compatible worker with the least cost; of equal ones that whose
// token has been free longest. With unwell set it takes workers that rest or are
// slow to start as well, and those that rest only where no other fits: where all
// zones seem lost, one that has just failed would otherwise draw every request in a
// row. Guards against queues: of several dispatchers each sees little of a worker's
// load, and the longest-free token alone would go to one that holds jobs of ours while
// others hold none.
func (d *Dispatcher) selectWorker(r *request, unwell bool) (best *worker) {
	if !d.mayAttempt(r) {
		return nil
	}
	least, resting := 0.0, false
	for _, w := range d.listed {
		if w.Free < r.slots {
			continue
		}
		cost, rests := d.cost(w, r), d.now < w.RestUntil
		if best != nil {
			longer := cost == least && w.OldestPosition() < best.OldestPosition()
			if rests && !resting || rests == resting && cost >= least && !longer {
				continue
			}
		}
		if d.eligible(w, r, unwell) {
			best, least, resting = w, cost, rests
		}
	}
	return best
}

// cost returns, where workers tell of their load, the time that a request is likely to take
// and the way to another zone by its price; else the part of its tokens that the worker would
// hold with it, dearer by its pace, as far as that is not forgotten, and by the way to another
// zone; and both by the preference of one dispatcher of many. A worker that was put back is
// tried before all others, and so is a cold one to which few may go.
func (d *Dispatcher) cost(w *worker, r *request) float64 {
	if w.untried || d.earlyWarmUp(w) { // the one that does most comes first
		return -d.rules.Capacity(w.StartedAt, d.now) / d.fleet.Pace(&w.load, w.Kind, d.now)
	}
	if d.fleet.Known() {
		cost := d.fleet.TimeToFinish(&w.load, w.Kind, w.ownLoad(), &r.job, d.now)
		if w.Zone != d.cfg.Zone {
			cost += crossZonePenaltyFactor * d.cfg.CrossZonePenalty * r.job.Target
		}
		return cost * affinity.Factor(d.cfg.Instance, d.cfg.Instances, uint32(w.Worker))
	}
	known := max(1-float64(d.now-w.PaceAt)/float64(paceMemory), 0)
	cost := float64(w.InUse+r.slots) / float64(d.tokensFor(w)) * (1 + known*(w.Pace-1))
	if w.Zone != d.cfg.Zone {
		cost *= crossZoneCost
	}
	if d.warmUpPeer(w).Sampled() {
		cost *= d.waits.Factor(d.warming(w), d.now) / d.rules.Capacity(w.StartedAt, d.now)
	}
	return cost * affinity.Factor(d.cfg.Instance, d.cfg.Instances, uint32(w.Worker))
}

// eligible tells whether a worker is compatible with a request.
func (d *Dispatcher) eligible(w *worker, r *request, unwell bool) bool {
	away := d.warmUpPeer(w).Sampled() && d.zones.Unavailable(w.Zone, w.StartedAt, d.now)
	well := w.overdue == 0 && d.now >= w.RestUntil && !away && !d.missesTargetWhileWarming(w, r)
	return w.Free >= r.slots && (well || unwell) && d.allowed(r, w)
}

// dispatch sends the request to the first worker that fits; where only unwell ones are
// left it fails open. Where even the best of those that tell of their load would be late
// it is not sent. It reports whether it sent.
func (d *Dispatcher) dispatch(r *request) bool {
	w := d.selectWorker(r, false)
	if w == nil {
		w = d.selectWorker(r, true)
	}
	if w == nil {
		return false
	}
	r.missesTarget = d.limitsWait(r) && d.now >= r.job.TargetAt || // it would be called off at once
		d.fleet.Known() && d.fleet.ShouldReject(&w.load, w.Kind, w.ownLoad(), &r.job, d.cfg.Instances, d.now)
	if !r.missesTarget {
		d.send(r, w)
	}
	return !r.missesTarget
}
