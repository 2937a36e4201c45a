package decision

import (
	"cmp"
	"slices"

	"frosttide/decision/warmupbudget"
)

// trialAllowed reports whether a reinstated worker may get a request while its warm-up still excludes it:
// only a light one, and one at a time. This uses a machine that an operator wants back at once, without
// letting one of the few requests that take many times the mean of their class overload it.
func (d *Dispatcher) trialAllowed(w *worker, r *request) bool {
	return w.Reinstated && w.InUse == 0 && r.slots == 1 && r.hint.Seconds() <= d.meanRun[r.classIndex]
}

// withinWarmUpBudget reports whether the worker can take the request in addition to the work already sent
// to it. While an ordinary share of the traffic could overload a warming worker, each dispatcher keeps to
// its own share of the worker's capacity, so that bursts and long requests are safe without communication
// between dispatchers. The worker's number of slots is estimated from the slots observed in use at other
// workers.
func (d *Dispatcher) withinWarmUpBudget(w *worker, r *request) bool {
	peer := d.warmUpPeer(w)
	if d.now >= w.budgetedUntil && !(peer.Sampled() && d.warming(w)) {
		return true
	}
	meanSlots, maxSlots := d.observedSlots()
	if !peer.Sampled() {
		return d.rules.Allows(&w.sentWork, peer, meanSlots, w.StartedAt, d.now, d.estimatedWork(w, r))
	}
	if !d.earlyWarmUp(w) { // load reports keep dispatchers from all preferring it at once
		return (d.now >= w.budgetedUntil || d.rules.InRotation(peer, w.StartedAt, d.now)) &&
			d.rules.Tolerates(maxSlots, w.StartedAt, d.now, r.hint.Seconds()*float64(r.slots))
	}
	rate := d.fleet.Rate(&w.load, w.Kind, maxSlots, d.now)
	worker, request, work := uint32(w.Worker), uint64(r.id), d.relativeWork(r)
	warming := warmupbudget.WarmingWorker{Rate: rate, StartedAt: w.StartedAt}
	return d.rules.MaySend(&d.traffic, peer, warming, worker, request, work, d.now)
}

// observedSlots returns the mean and the maximum of the slots observed in use at workers, at least 1 each.
// One of many dispatchers sees only part of a worker's load, so for it the maximum is the better estimate.
func (d *Dispatcher) observedSlots() (meanSlots, maxSlots float64) {
	var slots, workers float64
	for _, w := range d.listed {
		if w.Most > 0 {
			slots, workers, maxSlots = slots+float64(w.Most), workers+1, max(maxSlots, float64(w.Most))
		}
	}
	return max(slots/max(workers, 1), 1), max(maxSlots, 1)
}

// relativeWork returns the request's work, estimated from class or hint, relative to the fleet's mean
// request.
func (d *Dispatcher) relativeWork(r *request) float64 {
	return max(r.job.Work*r.job.Slots, d.meanRun[r.classIndex]*float64(r.slots)) / d.fleet.MeanSlotSeconds()
}

// missesTargetWhileWarming reports whether the request's run time alone would make it miss its latency
// target at a warming worker.
func (d *Dispatcher) missesTargetWhileWarming(w *worker, r *request) bool {
	capacity := d.rules.Capacity(w.StartedAt, d.now)
	return capacity < 1 && d.warmUpPeer(w).Sampled() &&
		r.job.Work*d.fleet.Pace(&w.load, w.Kind, d.now)/capacity > (r.job.TargetAt-d.now).Seconds()
}

// probeWarming asks a random worker in its early warm-up, which is still idle, for its free slots. There is
// no other source for a worker's number of slots, and one of many dispatchers never fills a worker.
func (d *Dispatcher) probeWarming(timer) {
	warming := slices.DeleteFunc(slices.Clone(d.listed), func(w *worker) bool {
		return w.State != Ready || !d.earlyWarmUp(w)
	})
	if len(warming) > 0 {
		d.emit(Action{Type: Probe, Worker: warming[d.rng.IntN(len(warming))].Worker})
	}
}

// warmUpPeer returns this dispatcher's number among those that divide the worker's warm-up budget.
func (d *Dispatcher) warmUpPeer(w *worker) warmupbudget.Peer {
	return warmupbudget.Peer{Number: d.cfg.Instance, Count: max(cmp.Or(w.WarmUpPeers, d.cfg.Instances), 1)}
}

// earlyWarmUp reports whether the worker, shared by many dispatchers, is so early in its warm-up that it is
// preferred for every request within its budget. Otherwise it would stay idle until it costs no more than
// others, and then be overloaded by all dispatchers at once, as happened to a worker 18.8 s after its start.
func (d *Dispatcher) earlyWarmUp(w *worker) bool {
	if d.fleet.Known() { // load reports show how full it is
		return d.now < w.excludedUntil && d.warmUpPeer(w).Sampled()
	}
	return d.warming(w) && d.warmUpPeer(w).Sampled()
}

// estimatedWork returns the estimated work of the request at the worker in slot-seconds. The hint counts if
// few dispatchers use the worker (WarmUpPeers) or if they use its budget one at a time: then no unused share
// of another dispatcher compensates for a request that is longer than the mean of its class.
func (d *Dispatcher) estimatedWork(w *worker, r *request) float64 {
	run := d.meanRun[r.classIndex]
	if w.WarmUpPeers > 0 || d.warmUpPeer(w).Sampled() {
		run = max(run, r.hint.Seconds())
	}
	return run * float64(r.slots)
}

// warming reports whether the worker started so recently that it may not have its full capacity yet. It gets
// its share of first attempts, but no retries.
func (d *Dispatcher) warming(w *worker) bool {
	return w.StartedAt > 0 && d.now < w.StartedAt+d.cfg.Rules.WarmUp
}
