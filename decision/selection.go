package decision

import "frosttide/decision/affinity"

// healthFilter selects the workers that a selection considers.
type healthFilter bool

const (
	healthyOnly healthFilter = false // no resting worker, overdue start or unavailable zone
	anyHealth   healthFilter = true  // all; resting ones only if no other is eligible
)

// selectWorker returns the eligible worker with the lowest cost, or nil if there is none. Among equal costs
// the worker whose token has been free longest wins. Cost takes precedence because each of several
// dispatchers sees little of a worker's load: the longest-free token may belong to a worker that is running
// requests of this dispatcher while others are idle. Resting workers come last: if all zones seem
// unavailable, the worker that has just failed would otherwise attract every request in a row.
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

// cost returns the cost of sending the request to the worker; costs are comparable only within one moment.
// If workers report their load, it is the forecast time to the answer in seconds, with a penalty for
// another zone. Otherwise it is the fraction of the worker's tokens in use including the request, times the
// worker's pace, whose influence fades with its age, times a factor for another zone. Both are multiplied
// by the dispatcher's affinity to the worker. Reinstated workers without a request so far and workers in
// their early warm-up cost less than all others.
func (d *Dispatcher) cost(w *worker, r *request) float64 {
	if w.untried || d.earlyWarmUp(w) { // among these the highest capacity comes first
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

// dispatch sends the request to the best worker and reports whether it did. If only unhealthy workers are
// left, it fails open and uses them. If workers report their load and even the best one would miss the
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
