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
	r.started = true
	r.core.RoutesReplaced(r.effectiveRoutes())
}

// effectiveRoutes returns the whole list as the core is to see it.
func (r *Roster) effectiveRoutes() []core.Route {
	var excluded []core.Route
	for uid := range r.routes {
		if route := r.effectiveRoute(uid); route.State != decision.Removed {
			excluded = append(excluded, route)
		}
	}
	slices.SortFunc(excluded, func(a, b core.Route) int {
		if a.UID < b.UID {
			return -1
		}
		return 1
	})
	return excluded
}

// effectiveRoute returns a runner as the core is to see it, whoever spoke last.
func (r *Roster) effectiveRoute(uid string) core.Route {
	if r.entries[uid] != nil {
		return r.storedRoute(uid)
	}
	return r.routes[uid]
}

// RoutesReplaced takes a whole list.
func (r *Roster) RoutesReplaced(routes []core.Route) {
	r.box.Put(func(r *Roster) {
		if !r.started { // the platform's list: as good as discovery's, but no answer of its
			for _, route := range routes {
				r.confirm(route)
			}
			return
		}
		r.applyFull(routes)
	})
}

// RoutesChanged takes the entries that have changed. They are obeyed at once, whatever else
// is doubted.
func (r *Roster) RoutesChanged(routes []core.Route) {
	r.box.Put(func(r *Roster) {
		r.fullUpdates.Contacted(r.now)
		r.lastContact = r.now
		r.applyChanges(routes)
		r.dropEmptyStandings()
	})
}

// DiscoveryFailed takes that discovery does not answer.
func (r *Roster) DiscoveryFailed() {
	r.box.Put(func(r *Roster) {
		r.fullUpdates.Failed(r.now)
		r.core.DiscoveryFailed()
	})
}

// applyFull takes a whole list: it goes in the place of what was known, unless it is doubted.
func (r *Roster) applyFull(routes []core.Route) {
	listed := map[string]bool{}
	for _, route := range routes {
		listed[route.UID] = true
	}
	known, missing := 0, 0
	for uid := range r.routes {
		if r.standings != nil && r.entries[uid] != nil {
			if s, _, _ := r.standings.Standing(uid); s == rosterpolicy.Rejected {
				continue // nothing is lost with it
			}
		}
		known++
		if !listed[uid] {
			missing++
		}
	}
	r.lastContact = r.now
	if r.fullUpdates.Judge(r.now, known, missing) == rosterpolicy.Doubted {
		r.log.WithFields(logrus.Fields{"listed": len(routes), "known": known, "lacks": missing}).
			Warn("discovery's list lacks most of what is known; it only adds until it is confirmed")
		r.doubtedUIDs, r.refetchAt = listed, r.now+confirmDelay
		r.applyChanges(routes)
		r.core.RoutesChanged(nil) // discovery has answered
		return
	}
	r.applyChanges(routes)
	r.removeMissing(listed)
}

// acceptDoubted believes the list that was doubted.
func (r *Roster) acceptDoubted() {
	r.fullUpdates.Judge(r.now, 1, 1) // the second of its kind
	r.removeMissing(r.doubtedUIDs)
}

// removeMissing lets go of all that a list that is believed does not have.
func (r *Roster) removeMissing(listed map[string]bool) {
	for uid := range r.routes {
		if !listed[uid] {
			r.forget(uid)
		}
	}
	r.doubtedUIDs, r.refetchAt, r.dirty = nil, 0, true
	r.dropEmptyStandings()
	r.core.RoutesReplaced(r.effectiveRoutes())
}

// applyChanges takes in entries that discovery has named, and tells the core at once.
func (r *Roster) applyChanges(routes []core.Route) {
	var changes []core.Route
	for _, route := range routes {
		if from, ok := r.coldSince[route.UID]; ok && route.State == decision.Ready && route.StartedAt < from {
			// Discovery knows that it has run for longer than the book could tell: it is
			// taken out for this moment, so that it comes back as warm as it is.
			excluded := route
			excluded.State = decision.Draining
			changes = append(changes, excluded)
		}
		r.confirm(route)
		changes = append(changes, route)
	}
	for _, route := range routes {
		if r.standings == nil || route.State == decision.Removed {
			continue
		}
		for _, uid := range r.standings.RejectAddress(route.Addr, route.UID) {
			changes = append(changes, r.storedRoute(uid))
		}
	}
	if len(changes) > 0 {
		r.dirty = true
		r.core.RoutesChanged(changes)
	}
}

// confirm takes over discovery's word on a runner: the book has no say in it any more.
func (r *Roster) confirm(route core.Route) {
	uid := route.UID
	if route.State == decision.Removed {
		r.forget(uid)
		return
	}
	r.routes[uid], r.confirmations[uid] = route, confirmation{r.now, rosterstore.ByDiscovery}
	delete(r.entries, uid)
	delete(r.coldSince, uid)
	if r.standings != nil {
		r.standings.Remove(uid)
	}
}

func (r *Roster) forget(uid string) {
	delete(r.routes, uid)
	delete(r.entries, uid)
	delete(r.confirmations, uid)
	delete(r.coldSince, uid)
	if r.standings != nil {
		r.standings.Remove(uid)
	}
}

// dropEmptyStandings closes the book when discovery has spoken of all that is in it.
func (r *Roster) dropEmptyStandings() {
	if r.standings == nil {
		return
	}
	if all, _, _ := r.standings.Count(); all == 0 {
		r.standings = nil
		r.log.Info("discovery has confirmed the list")
	}
}

// ---- What the core finds ----

// AttemptEnded takes how a hop at a runner ended.
func (r *Roster) AttemptEnded(uid string, o decision.Outcome) {
	e, counts := map[decision.Outcome]rosterpolicy.Evidence{decision.Served: rosterpolicy.Started, decision.Errored: rosterpolicy.Busy,
		decision.Rejected: rosterpolicy.Busy, decision.TimedOut: rosterpolicy.TimedOut, decision.ConnectFailed: rosterpolicy.Refused,
		decision.ConnReset: rosterpolicy.Broken}[o]
	if counts {
		r.box.Put(func(r *Roster) { r.observe(uid, e) })
	}
}

// JobStarted takes that a runner has told, by its own name, that a job runs.
func (r *Roster) JobStarted(uid string) {
	r.box.Put(func(r *Roster) { r.observe(uid, rosterpolicy.Started) })
}

// UnknownSender takes that a job sent to a runner was reported on by another name.
func (r *Roster) UnknownSender(uid string) {
	r.box.Put(func(r *Roster) { r.observe(uid, rosterpolicy.Impostor) })
}

// Excluded takes that operators have left a runner out, or put it back.
func (r *Roster) Excluded(uid string, excluded bool) {
	r.box.Put(func(r *Roster) {
		r.dirty = true
		if r.standings != nil && r.standings.SetExcluded(uid, excluded) {
			r.core.RoutesChanged([]core.Route{r.storedRoute(uid)})
		}
	})
}
