package decision

import "frosttide/decision/affinity"

// healthFilter says which workers a selection considers.
type healthFilter bool

const (
	healthyOnly healthFilter = false // those that neither rest nor start late nor lie in a lost zone
	anyHealth   healthFilter = true  // all, those that rest only where no other is eligible
)

// selectWorker returns the eligible worker of the least cost, of equal ones that whose token has been free
// longest; nil where there is none. The cost comes before the order of tokens as each of several dispatchers
// sees little of a worker's load: the longest-free token may belong to a worker that runs requests of this
// dispatcher while others run none. Workers that rest come last as otherwise, where all zones seem lost, the
// one that has just failed would attract every request in a row.
func (d *Dispatcher) selectWorker(r *request, filter healthFilter) (best *worker) {
	if !d.mayAttempt(r) {
		return nil
	}
	minCost, bestRests := 0.0, false
	for _, w := range d.listed {
		if w.Free < r.slots {
			continue
		}
		cost, rests := d.cost(w, r), d.now < w.RestUntil
		if best != nil {
			freeLonger := cost == minCost && w.OldestPosition() < best.OldestPosition()
			if rests && !bestRests || rests == bestRests && cost >= minCost && !freeLonger {
				continue
			}
		}
		if d.eligible(w, r, filter) {
			best, minCost, bestRests = w, cost, rests
		}
	}
	return best
}

// cost returns what the request costs at the worker; only costs of one moment may be compared. Where workers
// report their load it is the forecast time to the answer in seconds, with a penalty for another zone.
// Elsewhere it is the fraction of the worker's tokens that would be in use with the request, times the
// worker's pace as far as it is remembered, times a factor for another zone. Both are multiplied by the
// dispatcher's affinity to the worker. A reinstated worker that has got nothing yet, and one in its early
// warm-up, cost less than all others.
func (d *Dispatcher) cost(w *worker, r *request) float64 {
	if w.untried || d.earlyWarmUp(w) { // of these the one with the highest capacity comes first
		return -d.rules.Capacity(w.StartedAt, d.now) / d.fleet.Pace(&w.load, w.Kind, d.now)
	}
	if d.fleet.Known() {
		cost := d.fleet.TimeToFinish(&w.load, w.Kind, w.ownLoad(), &r.job, d.now)
		if w.Zone != d.cfg.Zone {
			cost += crossZonePenaltyFactor * d.cfg.CrossZonePenalty * r.job.Target
		}
		return cost * affinity.Factor(d.cfg.Instance, d.cfg.Instances, uint32(w.Worker))
	}
	remembered := max(1-float64(d.now-w.PaceAt)/float64(paceMemory), 0)
	cost := float64(w.InUse+r.slots) / float64(d.tokensFor(w)) * (1 + remembered*(w.Pace-1))
	if w.Zone != d.cfg.Zone {
		cost *= crossZoneCost
	}
	if d.warmUpPeer(w).Sampled() {
		cost *= d.waits.Factor(d.warming(w), d.now) / d.rules.Capacity(w.StartedAt, d.now)
	}
	return cost * affinity.Factor(d.cfg.Instance, d.cfg.Instances, uint32(w.Worker))
}

// eligible reports whether the worker passes the filter, has enough free tokens and may run the request.
func (d *Dispatcher) eligible(w *worker, r *request, filter healthFilter) bool {
	zoneLost := d.warmUpPeer(w).Sampled() && d.zones.Unavailable(w.Zone, w.StartedAt, d.now)
	healthy := w.overdue == 0 && d.now >= w.RestUntil && !zoneLost && !d.missesTargetWhileWarming(w, r)
	return w.Free >= r.slots && (healthy || filter == anyHealth) && d.allowed(r, w)
}

// dispatch sends the request to the best worker and reports whether it did. Where only unhealthy workers are
// left it fails open and uses them. Where workers report their load and even the best one would miss the
// latency target, it sends nothing and sets missesTarget.
func (d *Dispatcher) dispatch(r *request) bool {
	w := d.selectWorker(r, healthyOnly)
	if w == nil {
		w = d.selectWorker(r, anyHealth)
	}
	if w == nil {
		return false
	}
	r.missesTarget = d.limitsWait(r) && d.now >= r.job.TargetAt || // it would be canceled at once
		d.fleet.Known() && d.fleet.ShouldReject(&w.load, w.Kind, w.ownLoad(), &r.job, d.cfg.Instances, d.now)
	if !r.missesTarget {
		d.send(r, w)
	}
	return !r.missesTarget
}
