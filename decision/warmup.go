package decision

import (
	"cmp"
	"slices"

	"frosttide/decision/warmupbudget"
)

// Workers that have started lately: what they are sent, and by which dispatcher.

// trialAllowed tells whether a cold worker that an operator put back may have a request:
// a light one, while it has no other. Guards a machine that is wanted again from lying
// idle, and rule 4 from one of the few jobs that take many times their class's mean.
func (d *Dispatcher) trialAllowed(w *worker, r *request) bool {
	return w.Reinstated && w.InUse == 0 && r.slots == 1 && r.hint.Seconds() <= d.meanRun[r.classIndex]
}

// withinWarmUpBudget tells whether a worker can take a request on top of what it was sent. As
// long as an ordinary share of the traffic, whoever sends it, could push a cold one
// over, each dispatcher keeps to its part of what that one bears, in slots as its like
// have shown them in use. Guards rule 4 against bursts and heavy work without a word on
// what the others send.
func (d *Dispatcher) withinWarmUpBudget(w *worker, r *request) bool {
	who := d.warmUpPeer(w)
	if d.now >= w.budgetedUntil && !(who.Sampled() && d.warming(w)) {
		return true
	}
	var slots, seen, most float64
	for _, other := range d.listed {
		if other.Most > 0 {
			slots, seen, most = slots+float64(other.Most), seen+1, max(most, float64(other.Most))
		}
	}
	if !who.Sampled() {
		mean := max(slots/max(seen, 1), 1)
		return d.rules.Allows(&w.sentWork, who, mean, w.StartedAt, d.now, d.estimatedWork(w, r))
	}
	most = max(most, 1)    // each sees little of what a worker holds
	if !d.earlyWarmUp(w) { // reports tell how full it is: not all want it at once
		return (d.now >= w.budgetedUntil || d.rules.InRotation(who, w.StartedAt, d.now)) &&
			d.rules.Tolerates(most, w.StartedAt, d.now, r.hint.Seconds()*float64(r.slots))
	}
	c := warmupbudget.WarmingWorker{Rate: d.fleet.Rate(&w.load, w.Kind, most, d.now), StartedAt: w.StartedAt}
	return d.rules.MaySend(&d.traffic, who, c, uint32(w.Worker), uint64(r.id), d.relativeWork(r), d.now)
}

// relativeWork is the work of a request against the mean, by its class or its hint.
func (d *Dispatcher) relativeWork(r *request) float64 {
	return max(r.job.Work*r.job.Slots, d.meanRun[r.classIndex]*float64(r.slots)) / d.fleet.MeanSlotSeconds()
}

// missesTargetWhileWarming tells whether a request would be late at a warming worker by its run alone.
func (d *Dispatcher) missesTargetWhileWarming(w *worker, r *request) bool {
	share := d.rules.Capacity(w.StartedAt, d.now)
	return share < 1 && d.warmUpPeer(w).Sampled() &&
		r.job.Work*d.fleet.Pace(&w.load, w.Kind, d.now)/share > (r.job.TargetAt-d.now).Seconds()
}

// probeWarming asks one of the cold workers, which are idle yet, for its free slots: how many a worker
// has is told nowhere else, and a dispatcher of many never fills one.
func (d *Dispatcher) probeWarming(timer) {
	cold := slices.DeleteFunc(slices.Clone(d.listed), func(w *worker) bool {
		return w.State != Ready || !d.earlyWarmUp(w)
	})
	if len(cold) > 0 {
		d.emit(Action{Type: Probe, Worker: cold[d.rng.IntN(len(cold))].Worker})
	}
}

// warmUpPeer tells which part of a cold worker is this dispatcher's.
func (d *Dispatcher) warmUpPeer(w *worker) warmupbudget.Peer {
	return warmupbudget.Peer{Number: d.cfg.Instance, Count: max(cmp.Or(w.WarmUpPeers, d.cfg.Instances), 1)}
}

// earlyWarmUp tells whether a worker is so cold that all that may go there goes. Guards against its
// lying idle between the time when it is used at all and the time when it is as cheap as others,
// and rule 4 from all who would want it then: one 18.8 s old fell.
func (d *Dispatcher) earlyWarmUp(w *worker) bool {
	if d.fleet.Known() { // what it holds is known
		return d.now < w.excludedUntil && d.warmUpPeer(w).Sampled()
	}
	return d.warming(w) && d.warmUpPeer(w).Sampled()
}

// estimatedWork returns the seconds of work that a request is likely to be at a worker. Its hint
// counts where few share the worker's ration, or one at a time: there is nobody whose
// unused part makes up for one that is heavier than its class.
func (d *Dispatcher) estimatedWork(w *worker, r *request) float64 {
	work := d.meanRun[r.classIndex]
	if w.WarmUpPeers > 0 || d.warmUpPeer(w).Sampled() {
		work = max(work, r.hint.Seconds())
	}
	return work * float64(r.slots)
}

// warming tells whether a worker has started so lately that it may not have all
// its capacity yet: it gets its share of first attempts and nothing beyond.
func (d *Dispatcher) warming(w *worker) bool {
	return w.StartedAt > 0 && d.now < w.StartedAt+d.cfg.Rules.WarmUp
}
