package decision

import (
	"slices"
	"time"

	"frosttide/decision/freshness"
)

// The list of workers: when it is asked for, and what its entries change.

// planSubscribe subscribes to the worker list after a random wait that grows with
// each failed call and, past a number of them, with that of dispatchers: all of them
// asking at once would swamp discovery, where a call that waits too long fails.
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

func (d *Dispatcher) updateMembers(ev *Event) {
	d.failedCalls = 0
	d.updates++
	gone := ev.Type == MembersReplaced
	var ready []*worker
	for i := range ev.Members {
		m := &ev.Members[i]
		w := d.workers[m.Worker]
		if w == nil {
			w = &worker{Member: Member{Worker: m.Worker, State: Removed}, Health: Health{Pace: 1}}
			d.workers[m.Worker] = w
			d.listed = append(d.listed, w)
		}
		w.updateNumber = d.updates
		d.totalWeight += m.effectiveWeight() - w.listedWeight
		w.listedWeight = m.effectiveWeight()
		if d.updateMember(w, m) {
			ready = append(ready, w)
		}
		gone = gone || w.State == Removed
	}
	if gone {
		d.removeDeparted(ev.Type == MembersReplaced)
	}
	d.meanWeight = d.totalWeight / float64(max(len(d.listed), 1))
	if d.bucket.Empty() {
		d.fill(ready)
	} else {
		for _, w := range ready {
			d.join(w)
		}
	}
	d.fill(d.useAllWarming())
}

// removeDeparted drops workers that have left the list, after a whole list all that it does not name. Only
// then are all workers gone through: a large fleet's list changes all the time.
func (d *Dispatcher) removeDeparted(whole bool) {
	d.totalWeight = 0
	d.listed = slices.DeleteFunc(d.listed, func(w *worker) bool {
		if whole && w.updateNumber != d.updates {
			d.withdraw(w, Removed)
		}
		if w.State == Removed {
			delete(d.workers, w.Worker)
			return true
		}
		d.totalWeight += w.effectiveWeight()
		return false
	})
}

// useAllWarming returns the cold workers that are used by their ration from now on, as no worker is warm.
// Guards clients after a power cut: they would be refused for as long as nobody is half warm.
func (d *Dispatcher) useAllWarming() (cold []*worker) {
	for _, w := range d.listed {
		if w.State == Ready && (d.now >= w.excludedUntil || w.Limit > 0) {
			return nil
		}
		if w.State == Ready {
			cold = append(cold, w)
		}
	}
	for _, w := range cold {
		w.allWarming = true
	}
	return cold
}

// updateMember takes over a list entry and tells whether the worker became ready for
// work. A worker that is still cold gets its tokens when that time is over.
func (d *Dispatcher) updateMember(w *worker, m *Member) bool {
	begins := m.State == Ready && (w.State != Ready || m.StartedAt > w.StartedAt)
	if m.State != Ready || begins {
		d.withdraw(w, m.State)
	}
	w.Member = *m
	if !begins {
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

// grantTokens gives a worker its tokens once its cold time is over, and new places in
// the bucket once its ration is: they have come to the front meanwhile, and would
// draw many jobs in a row.
func (d *Dispatcher) grantTokens(t timer) {
	if w := t.worker; w.State == Ready && d.now >= w.excludedUntil && !w.Failed {
		d.join(w)
	}
}

// withdraw takes a worker's free tokens out of the bucket; those that it holds
// are dropped as they come back.
func (d *Dispatcher) withdraw(w *worker, state MemberState) {
	w.State, w.Limit = state, 0
	d.trim(w)
}
