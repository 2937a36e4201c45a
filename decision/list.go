package decision

import (
	"slices"
	"time"

	"frosttide/decision/freshness"
)

// The list of workers: when it is asked for, and what its entries change.

// askForList subscribes to the worker list after a random wait that grows with
// each failed call and, past a number of them, with that of dispatchers: all of them
// asking at once would swamp discovery, where a call that waits too long fails.
func (d *Dispatcher) askForList() {
	if !d.cfg.PullList || d.asking {
		return
	}
	d.asking = true
	spread := freshness.Spread(d.cfg.Rules.AskWithin, d.cfg.Instances, d.failedCalls)
	d.wake(d.now+d.jitter(spread), timer{do: func(d *Dispatcher, _ timer) {
		d.asking = false
		d.act(Action{Type: Subscribe})
	}})
}

func (d *Dispatcher) updateMembers(ev *Event) {
	d.failedCalls = 0
	d.lists++
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
		w.list = d.lists
		d.weights += m.weight() - w.listedWeight
		w.listedWeight = m.weight()
		if d.update(w, m) {
			ready = append(ready, w)
		}
		gone = gone || w.State == Removed
	}
	if gone {
		d.forgetGone(ev.Type == MembersReplaced)
	}
	d.meanWeight = d.weights / float64(max(len(d.listed), 1))
	if d.bucket.Empty() {
		d.fill(ready)
	} else {
		for _, w := range ready {
			d.join(w)
		}
	}
	d.fill(d.alone())
}

// forgetGone drops workers that have left the list, after a whole list all that it does not name. Only
// then are all workers gone through: a large fleet's list changes all the time.
func (d *Dispatcher) forgetGone(whole bool) {
	d.weights = 0
	d.listed = slices.DeleteFunc(d.listed, func(w *worker) bool {
		if whole && w.list != d.lists {
			d.withdraw(w, Removed)
		}
		if w.State == Removed {
			delete(d.workers, w.Worker)
			return true
		}
		d.weights += w.weight()
		return false
	})
}

// alone returns the cold workers that are used by their ration from now on, as no worker is warm.
// Guards clients after a power cut: they would be refused for as long as nobody is half warm.
func (d *Dispatcher) alone() (cold []*worker) {
	for _, w := range d.listed {
		if w.State == Ready && (d.now >= w.coldUntil || w.Limit > 0) {
			return nil
		}
		if w.State == Ready {
			cold = append(cold, w)
		}
	}
	for _, w := range cold {
		w.alone = true
	}
	return cold
}

// update takes over a list entry and tells whether the worker became ready for
// work. A worker that is still cold gets its tokens when that time is over.
func (d *Dispatcher) update(w *worker, m *Member) bool {
	begins := m.State == Ready && (w.State != Ready || m.StartedAt > w.StartedAt)
	if m.State != Ready || begins {
		d.withdraw(w, m.State)
	}
	w.Member = *m
	if !begins {
		return false
	}
	w.Failures, w.Failed, w.RestUntil, w.untried, w.alone = 0, false, 0, w.Returned, false
	w.coldUntil, w.rationUntil = d.rules.Grown(m.StartedAt, coldFit), d.rules.Grown(m.StartedAt, coldFree)
	if d.early(w) && !d.probed && d.cfg.Limits.ProbeAllowed {
		d.probed = true
		d.wake(d.now+d.jitter(d.cfg.Rules.FallWindow), timer{do: (*Dispatcher).look})
	}
	for _, at := range []time.Duration{w.coldUntil, w.rationUntil} {
		if d.now < at {
			d.wake(at+d.jitter(d.cfg.Rules.FallWindow), timer{do: (*Dispatcher).warmed, worker: w})
		}
	}
	return d.now >= w.coldUntil || w.Returned || d.early(w)
}

// warmed gives a worker its tokens once its cold time is over, and new places in
// the bucket once its ration is: they have come to the front meanwhile, and would
// draw many jobs in a row.
func (d *Dispatcher) warmed(t timer) {
	if w := t.worker; w.State == Ready && d.now >= w.coldUntil && !w.Failed {
		d.join(w)
	}
}

// withdraw takes a worker's free tokens out of the bucket; those that it holds
// are dropped as they come back.
func (d *Dispatcher) withdraw(w *worker, state MemberState) {
	w.State, w.Limit = state, 0
	d.trim(w)
}
