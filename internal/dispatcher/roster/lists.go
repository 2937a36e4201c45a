package roster

import (
	"slices"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/rosterpolicy"
	"frosttide/internal/dispatcher/rosterstore"
)

// ---- What discovery says ----

// Start tells the core the list to begin with: the platform's, and of the stored one what
// may be used. What the table tells from here on is discovery's word. It comes before Run, and
// the core has the list when it returns. Guards the first jobs of a process, which were refused
// where they came to the core before a list that was on its way.
func (r *Roster) Start() {
	r.now = r.clock()
	for _, message := range r.box.Drain(nil) {
		message(r)
	}
	r.began = true
	r.core.ListReplaced(r.all())
}

// all returns the whole list as the core is to see it.
func (r *Roster) all() []core.Route {
	var out []core.Route
	for uid := range r.routes {
		if route := r.inForce(uid); route.State != decision.Removed {
			out = append(out, route)
		}
	}
	slices.SortFunc(out, func(a, b core.Route) int {
		if a.UID < b.UID {
			return -1
		}
		return 1
	})
	return out
}

// inForce returns a runner as the core is to see it, whoever spoke last.
func (r *Roster) inForce(uid string) core.Route {
	if r.entries[uid] != nil {
		return r.shown(uid)
	}
	return r.routes[uid]
}

// ListReplaced takes a whole list.
func (r *Roster) ListReplaced(routes []core.Route) {
	r.box.Put(func(r *Roster) {
		if !r.began { // the platform's list: as good as discovery's, but no answer of its
			for _, route := range routes {
				r.settle(route)
			}
			return
		}
		r.whole(routes)
	})
}

// ListChanged takes the entries that have changed. They are obeyed at once, whatever else
// is doubted.
func (r *Roster) ListChanged(routes []core.Route) {
	r.box.Put(func(r *Roster) {
		r.lists.Spoke(r.now)
		r.answered = r.now
		r.apply(routes)
		r.settled()
	})
}

// ListFailed takes that discovery does not answer.
func (r *Roster) ListFailed() {
	r.box.Put(func(r *Roster) {
		r.lists.Failed(r.now)
		r.core.ListFailed()
	})
}

// whole takes a whole list: it goes in the place of what was known, unless it is doubted.
func (r *Roster) whole(routes []core.Route) {
	named := map[string]bool{}
	for _, route := range routes {
		named[route.UID] = true
	}
	known, lacks := 0, 0
	for uid := range r.routes {
		if r.book != nil && r.entries[uid] != nil {
			if s, _, _ := r.book.Standing(uid); s == rosterpolicy.Rejected {
				continue // nothing is lost with it
			}
		}
		known++
		if !named[uid] {
			lacks++
		}
	}
	r.answered = r.now
	if r.lists.Whole(r.now, known, lacks) == rosterpolicy.Doubted {
		r.log.WithFields(logrus.Fields{"listed": len(routes), "known": known, "lacks": lacks}).
			Warn("discovery's list lacks most of what is known; it only adds until it is confirmed")
		r.doubted, r.lookAt = named, r.now+secondLook
		r.apply(routes)
		r.core.ListChanged(nil) // discovery has answered
		return
	}
	r.apply(routes)
	r.lose(named)
}

// confirmDoubted believes the list that was doubted.
func (r *Roster) confirmDoubted() {
	r.lists.Whole(r.now, 1, 1) // the second of its kind
	r.lose(r.doubted)
}

// lose lets go of all that a list that is believed does not have.
func (r *Roster) lose(named map[string]bool) {
	for uid := range r.routes {
		if !named[uid] {
			r.forget(uid)
		}
	}
	r.doubted, r.lookAt, r.dirty = nil, 0, true
	r.settled()
	r.core.ListReplaced(r.all())
}

// apply takes in entries that discovery has named, and tells the core at once.
func (r *Roster) apply(routes []core.Route) {
	var changes []core.Route
	for _, route := range routes {
		if from, ok := r.cold[route.UID]; ok && route.State == decision.Ready && route.StartedAt < from {
			// Discovery knows that it has run for longer than the book could tell: it is
			// taken out for this moment, so that it comes back as warm as it is.
			out := route
			out.State = decision.Draining
			changes = append(changes, out)
		}
		r.settle(route)
		changes = append(changes, route)
	}
	for _, route := range routes {
		if r.book == nil || route.State == decision.Removed {
			continue
		}
		for _, uid := range r.book.Taken(route.Addr, route.UID) {
			changes = append(changes, r.shown(uid))
		}
	}
	if len(changes) > 0 {
		r.dirty = true
		r.core.ListChanged(changes)
	}
}

// settle takes over discovery's word on a runner: the book has no say in it any more.
func (r *Roster) settle(route core.Route) {
	uid := route.UID
	if route.State == decision.Removed {
		r.forget(uid)
		return
	}
	r.routes[uid], r.voiced[uid] = route, voice{r.now, rosterstore.ByList}
	delete(r.entries, uid)
	delete(r.cold, uid)
	if r.book != nil {
		r.book.Settle(uid)
	}
}

func (r *Roster) forget(uid string) {
	delete(r.routes, uid)
	delete(r.entries, uid)
	delete(r.voiced, uid)
	delete(r.cold, uid)
	if r.book != nil {
		r.book.Settle(uid)
	}
}

// settled closes the book when discovery has spoken of all that is in it.
func (r *Roster) settled() {
	if r.book == nil {
		return
	}
	if all, _, _ := r.book.Count(); all == 0 {
		r.book = nil
		r.log.Info("discovery has confirmed the list")
	}
}

// ---- What the core finds ----

// HopEnded takes how a hop at a runner ended.
func (r *Roster) HopEnded(uid string, o decision.Outcome) {
	e, says := map[decision.Outcome]rosterpolicy.Evidence{decision.Served: rosterpolicy.Started, decision.Errored: rosterpolicy.Busy,
		decision.Rejected: rosterpolicy.Busy, decision.TimedOut: rosterpolicy.Silent, decision.ConnectFailed: rosterpolicy.Refused,
		decision.ConnReset: rosterpolicy.Broken}[o]
	if says {
		r.box.Put(func(r *Roster) { r.hear(uid, e) })
	}
}

// JobStarted takes that a runner has told, by its own name, that a job runs.
func (r *Roster) JobStarted(uid string) {
	r.box.Put(func(r *Roster) { r.hear(uid, rosterpolicy.Started) })
}

// Stranger takes that a job sent to a runner was reported on by another name.
func (r *Roster) Stranger(uid string) {
	r.box.Put(func(r *Roster) { r.hear(uid, rosterpolicy.Impostor) })
}

// Excluded takes that operators have left a runner out, or put it back.
func (r *Roster) Excluded(uid string, out bool) {
	r.box.Put(func(r *Roster) {
		r.dirty = true
		if r.book != nil && r.book.Bar(uid, out) {
			r.core.ListChanged([]core.Route{r.shown(uid)})
		}
	})
}
