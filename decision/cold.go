package decision

import (
	"cmp"
	"slices"

	"frosttide/decision/warmupbudget"
)

// Workers that have started lately: what they are sent, and by which dispatcher.

// trickles tells whether a cold worker that an operator put back may have a request:
// a light one, while it has no other. Guards a machine that is wanted again from lying
// idle, and rule 4 from one of the few jobs that take many times their class's mean.
func (d *Dispatcher) trickles(w *worker, r *request) bool {
	return w.Returned && w.InUse == 0 && r.slots == 1 && r.hint.Seconds() <= d.run[r.class]
}

// bears tells whether a worker can take a request on top of what it was sent. As
// long as an ordinary share of the traffic, whoever sends it, could push a cold one
// over, each dispatcher keeps to its part of what that one bears, in slots as its like
// have shown them in use. Guards rule 4 against bursts and heavy work without a word on
// what the others send.
func (d *Dispatcher) bears(w *worker, r *request) bool {
	who := d.sharer(w)
	if d.now >= w.rationUntil && !(who.ByDraws() && d.warming(w)) {
		return true
	}
	var slots, seen, most float64
	for _, other := range d.listed {
		if other.Most > 0 {
			slots, seen, most = slots+float64(other.Most), seen+1, max(most, float64(other.Most))
		}
	}
	if !who.ByDraws() {
		return d.rules.Bears(&w.bill, who, max(slots/max(seen, 1), 1), w.StartedAt, d.now, d.workOf(w, r))
	}
	most = max(most, 1) // each sees little of what a worker holds
	if !d.early(w) {    // reports tell how full it is: not all want it at once
		return (d.now >= w.rationUntil || d.rules.Joins(who, w.StartedAt, d.now)) &&
			d.rules.Light(most, w.StartedAt, d.now, r.hint.Seconds()*float64(r.slots))
	}
	c := warmupbudget.Cold{Rate: d.fleet.Rate(&w.load, w.Kind, most, d.now), StartedAt: w.StartedAt}
	return d.rules.Passes(&d.mix, who, c, uint32(w.Worker), uint64(r.id), d.weight(r), d.now)
}

// weight is the work of a request against the mean, by its class or its hint.
func (d *Dispatcher) weight(r *request) float64 {
	return max(r.job.Work*r.job.Slots, d.run[r.class]*float64(r.slots)) / d.fleet.Mean()
}

// slow tells whether a request would be late at a warming worker by its run alone.
func (d *Dispatcher) slow(w *worker, r *request) bool {
	share := d.rules.Share(w.StartedAt, d.now)
	return share < 1 && d.sharer(w).ByDraws() &&
		r.job.Work*d.fleet.Pace(&w.load, w.Kind, d.now)/share > (r.job.Until-d.now).Seconds()
}

// look asks one of the cold workers, which are idle yet, for its free slots: how many a worker
// has is told nowhere else, and a dispatcher of many never fills one.
func (d *Dispatcher) look(timer) {
	cold := slices.DeleteFunc(slices.Clone(d.listed), func(w *worker) bool {
		return w.State != Ready || !d.early(w)
	})
	if len(cold) > 0 {
		d.act(Action{Type: Probe, Worker: cold[d.rng.IntN(len(cold))].Worker})
	}
}

// sharer tells which part of a cold worker is this dispatcher's.
func (d *Dispatcher) sharer(w *worker) warmupbudget.Sharer {
	return warmupbudget.Sharer{Number: d.cfg.Instance, Count: max(cmp.Or(w.Sharers, d.cfg.Instances), 1)}
}

// early tells whether a worker is so cold that all that may go there goes. Guards against its
// lying idle between the time when it is used at all and the time when it is as cheap as others,
// and rule 4 from all who would want it then: one 18.8 s old fell.
func (d *Dispatcher) early(w *worker) bool {
	if d.fleet.Known() { // what it holds is known
		return d.now < w.coldUntil && d.sharer(w).ByDraws()
	}
	return d.warming(w) && d.sharer(w).ByDraws()
}

// workOf returns the seconds of work that a request is likely to be at a worker. Its hint
// counts where few share the worker's ration, or one at a time: there is nobody whose
// unused part makes up for one that is heavier than its class.
func (d *Dispatcher) workOf(w *worker, r *request) float64 {
	work := d.run[r.class]
	if w.Sharers > 0 || d.sharer(w).ByDraws() {
		work = max(work, r.hint.Seconds())
	}
	return work * float64(r.slots)
}

// warming tells whether a worker has started so lately that it may not have all
// its capacity yet: it gets its share of first attempts and nothing beyond.
func (d *Dispatcher) warming(w *worker) bool {
	return w.StartedAt > 0 && d.now < w.StartedAt+d.cfg.Rules.WarmUp
}
