package decision

import (
	"slices"
	"time"

	"frosttide/decision/freshness"
)

// planSubscribe schedules a Subscribe after a random delay that grows with each consecutive failed call and,
// above freshness.MaxUnspreadCallers, with the number of dispatchers. Simultaneous calls of all dispatchers
// would overload discovery, where a call that waits too long fails.
func (d *Dispatcher) planSubscribe() {
	if !d.cfg.PullMembers || d.callPlanned {
		return
	}
	d.callPlanned = true
	spread := freshness.Spread(d.cfg.Rules.MaxRefreshInterval, d.cfg.Instances, d.failedCalls)
	d.setTimer(d.now+d.jitter(spread), timer{fire: func(d *Dispatcher, _ timer) {
		d.callPlanned = false
		d.emit(Action{Type: Subscribe})
	}})
}

// updateMembers applies a complete list of workers or changes of it, and gives tokens to the workers that
// become ready.
func (d *Dispatcher) updateMembers(ev *Event) {
	d.failedCalls = 0
	d.updates++
	complete := ev.Type == MembersReplaced
	removed := false
	var ready []*worker
	for i := range ev.Members {
		m := &ev.Members[i]
		w := d.findOrAddWorker(m.Worker)
		w.updateNumber = d.updates
		d.totalWeight += m.effectiveWeight() - w.listedWeight
		w.listedWeight = m.effectiveWeight()
		if d.updateMember(w, m) {
			ready = append(ready, w)
		}
		removed = removed || w.State == Removed
	}
	if complete || removed {
		d.removeDeparted(complete)
	}
	d.meanWeight = d.totalWeight / float64(max(len(d.listed), 1))
	if d.bucket.Empty() {
		d.fillBucket(ready)
	} else {
		for _, w := range ready {
			d.insertTokens(w)
		}
	}
	d.fillBucket(d.useAllWarming())
}

// findOrAddWorker returns the worker with an ID and adds it if it is unknown.
func (d *Dispatcher) findOrAddWorker(id WorkerID) *worker {
	w := d.workers[id]
	if w == nil {
		w = &worker{Member: Member{Worker: id, State: Removed}, Health: Health{Pace: 1}}
		d.workers[id] = w
		d.listed = append(d.listed, w)
	}
	return w
}

// removeDeparted deletes the removed workers and, after a complete list, those that it does not contain. It
// visits every worker, which is too expensive for each of the many list changes of a large fleet.
func (d *Dispatcher) removeDeparted(complete bool) {
	d.totalWeight = 0
	d.listed = slices.DeleteFunc(d.listed, func(w *worker) bool {
		if complete && w.updateNumber != d.updates {
			d.withdrawTokens(w, Removed)
		}
		if w.State == Removed {
			delete(d.workers, w.Worker)
			return true
		}
		d.totalWeight += w.effectiveWeight()
		return false
	})
}

// useAllWarming returns the warming workers if there are no others, and makes them usable within their
// budgets from now on. After a power cut clients would otherwise be rejected until a worker has warmed up
// enough.
func (d *Dispatcher) useAllWarming() (warming []*worker) {
	for _, w := range d.listed {
		if w.State == Ready && (d.now >= w.excludedUntil || w.Limit > 0) {
			return nil
		}
		if w.State == Ready {
			warming = append(warming, w)
		}
	}
	for _, w := range warming {
		w.allWarming = true
	}
	return warming
}

// updateMember applies an entry of the list and reports whether the worker gets its tokens now. A warming
// worker gets them when a timer fires.
func (d *Dispatcher) updateMember(w *worker, m *Member) bool {
	becomesReady := m.State == Ready && (w.State != Ready || m.StartedAt > w.StartedAt)
	if m.State != Ready || becomesReady {
		d.withdrawTokens(w, m.State)
	}
	w.Member = *m
	if !becomesReady {
		return false
	}
	w.Failures, w.Failed, w.RestUntil, w.untried, w.allWarming = 0, false, 0, w.Reinstated, false
	w.excludedUntil = d.rules.CapacityReachedAt(m.StartedAt, usableCapacity)
	w.budgetedUntil = d.rules.CapacityReachedAt(m.StartedAt, unbudgetedCapacity)
	if d.earlyWarmUp(w) && !d.probed && d.cfg.Limits.ProbeAllowed {
		d.probed = true
		d.setTimer(d.now+d.jitter(d.cfg.Rules.OverloadWindow), timer{fire: (*Dispatcher).probeWarming})
	}
	for _, at := range []time.Duration{w.excludedUntil, w.budgetedUntil} {
		if d.now < at {
			at += d.jitter(d.cfg.Rules.OverloadWindow)
			d.setTimer(at, timer{fire: (*Dispatcher).grantTokens, worker: w})
		}
	}
	return d.now >= w.excludedUntil || w.Reinstated || d.earlyWarmUp(w)
}

// grantTokens gives a worker its tokens once it may be used, and again, at new positions in the bucket,
// once its budget ends: by then its tokens have moved to the front and would attract many requests in a
// row.
func (d *Dispatcher) grantTokens(t timer) {
	if w := t.worker; w.State == Ready && d.now >= w.excludedUntil && !w.Failed {
		d.insertTokens(w)
	}
}

// withdrawTokens removes a worker's free tokens from the bucket; tokens held by attempts are dropped when
// they are returned.
func (d *Dispatcher) withdrawTokens(w *worker, state MemberState) {
	w.State, w.Limit = state, 0
	d.trimTokens(w)
}
