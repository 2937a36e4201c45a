package decision

import (
	"cmp"
	"slices"

	"frosttide/decision/warmupbudget"
)

// trialAllowed reports whether a reinstated worker may have a request while it is still excluded by its
// warm-up: a light one, while it has no other. So a machine that is wanted again does not lie idle, and none
// of the few requests that take many times the mean of their class overloads it.
func (d *Dispatcher) trialAllowed(w *worker, r *request) bool {
	return w.Reinstated && w.InUse == 0 && r.slots == 1 && r.hint.Seconds() <= d.meanRun[r.classIndex]
}

// withinWarmUpBudget reports whether the worker can take the request on top of what it was sent. While an
// ordinary part of the traffic, whoever sends it, could overload a warming worker, each dispatcher keeps to
// its own part of what the worker can take, so that bursts and long requests are safe without dispatchers
// telling each other what they send. The worker's slots are taken from those that other workers were seen to
// use.
func (d *Dispatcher) withinWarmUpBudget(w *worker, r *request) bool {
	peer := d.warmUpPeer(w)
	if d.now >= w.budgetedUntil && !(peer.Sampled() && d.warming(w)) {
		return true
	}
	meanSlots, maxSlots := d.observedSlots()
	if !peer.Sampled() {
		return d.rules.Allows(&w.sentWork, peer, meanSlots, w.StartedAt, d.now, d.estimatedWork(w, r))
	}
	if !d.earlyWarmUp(w) { // load reports tell how full it is, so not all dispatchers prefer it at once
		return (d.now >= w.budgetedUntil || d.rules.InRotation(peer, w.StartedAt, d.now)) &&
			d.rules.Tolerates(maxSlots, w.StartedAt, d.now, r.hint.Seconds()*float64(r.slots))
	}
	rate := d.fleet.Rate(&w.load, w.Kind, maxSlots, d.now)
	worker, request, work := uint32(w.Worker), uint64(r.id), d.relativeWork(r)
	warming := warmupbudget.WarmingWorker{Rate: rate, StartedAt: w.StartedAt}
	return d.rules.MaySend(&d.traffic, peer, warming, worker, request, work, d.now)
}

// observedSlots returns the mean and the maximum of the slots that workers were seen to use, at least 1 each.
// One of many dispatchers sees only a part of what a worker runs, so the maximum is the better estimate for
// it.
func (d *Dispatcher) observedSlots() (meanSlots, maxSlots float64) {
	var slots, workers float64
	for _, w := range d.listed {
		if w.Most > 0 {
			slots, workers, maxSlots = slots+float64(w.Most), workers+1, max(maxSlots, float64(w.Most))
		}
	}
	return max(slots/max(workers, 1), 1), max(maxSlots, 1)
}

// relativeWork returns the request's work, by its class or its hint, relative to the fleet's mean request.
func (d *Dispatcher) relativeWork(r *request) float64 {
	return max(r.job.Work*r.job.Slots, d.meanRun[r.classIndex]*float64(r.slots)) / d.fleet.MeanSlotSeconds()
}

// missesTargetWhileWarming reports whether the request would miss its latency target at a warming worker by
// its run time alone.
func (d *Dispatcher) missesTargetWhileWarming(w *worker, r *request) bool {
	capacity := d.rules.Capacity(w.StartedAt, d.now)
	return capacity < 1 && d.warmUpPeer(w).Sampled() &&
		r.job.Work*d.fleet.Pace(&w.load, w.Kind, d.now)/capacity > (r.job.TargetAt-d.now).Seconds()
}

// probeWarming asks a random worker in its early warm-up, which is still idle, for its free slots. Nothing
// else tells how many slots a worker has, and one of many dispatchers never fills one.
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

// earlyWarmUp reports whether the worker, of many dispatchers, has warmed up so little that it is preferred
// for every request that its budget lets through. Otherwise it would lie idle from the time when it may be
// used to the time when it costs no more than others, and be overloaded by all dispatchers at that time: a
// worker 18.8 s old was.
func (d *Dispatcher) earlyWarmUp(w *worker) bool {
	if d.fleet.Known() { // load reports tell how full it is
		return d.now < w.excludedUntil && d.warmUpPeer(w).Sampled()
	}
	return d.warming(w) && d.warmUpPeer(w).Sampled()
}

// estimatedWork returns the slots times seconds of work that the request is likely to be at the worker. The
// hint counts where the budget is a single dispatcher's, or one at a time uses it: no other's unused part
// makes up for a request that is longer than its class.
func (d *Dispatcher) estimatedWork(w *worker, r *request) float64 {
	run := d.meanRun[r.classIndex]
	if w.WarmUpPeers > 0 || d.warmUpPeer(w).Sampled() {
		run = max(run, r.hint.Seconds())
	}
	return run * float64(r.slots)
}

// warming reports whether the worker has started so lately that it may not have all its capacity yet. It gets
// its part of first attempts, and no further attempts.
func (d *Dispatcher) warming(w *worker) bool {
	return w.StartedAt > 0 && d.now < w.StartedAt+d.cfg.Rules.WarmUp
}
