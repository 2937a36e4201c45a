package roster

import (
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/rosterpolicy"
	"frosttide/internal/dispatcher/rosterstore"
)

// Start passes the first list to the core: the platform's, and of the stored one the runners that may be used. What
// the table sends from here on is discovery's. It is called before Run, and the core has the list when it returns;
// otherwise the first jobs of a process could reach the core before its list, and be rejected.
func (r *Roster) Start() {
	r.now = r.clock()
	for _, message := range r.box.Drain(nil) {
		message(r)
	}
	r.started = true
	r.core.RoutesReplaced(r.effectiveRoutes())
}

// effectiveRoutes returns the full list as the core is to use it, by uid.
func (r *Roster) effectiveRoutes() []core.Route {
	var routes []core.Route
	for uid := range r.routes {
		if route := r.effectiveRoute(uid); route.State != decision.Removed {
			routes = append(routes, route)
		}
	}
	slices.SortFunc(routes, func(a, b core.Route) int { return strings.Compare(a.UID, b.UID) })
	return routes
}

// effectiveRoute returns a runner as the core is to use it, whether discovery or the stored list has it.
func (r *Roster) effectiveRoute(uid string) core.Route {
	if r.entries[uid] != nil {
		return r.storedRoute(uid)
	}
	return r.routes[uid]
}

// RoutesReplaced takes a full list of discovery's. Before Start it is the platform's list, whose entries are as good
// as discovery's but show nothing of discovery itself.
func (r *Roster) RoutesReplaced(routes []core.Route) {
	older := r.olderThanStored()
	r.box.Put(func(r *Roster) {
		if !r.started {
			for _, route := range routes {
				r.confirm(route)
			}
			return
		}
		r.applyFull(routes, older)
	})
}

// olderThanStored reports whether discovery's list is older than the stored one.
func (r *Roster) olderThanStored() bool {
	if r.stored.version == 0 {
		return false
	}
	discovery, version := r.table.Position()
	return discovery == r.stored.discovery && version < r.stored.version
}

// RoutesChanged takes routes that discovery has changed. They have effect at once, also while a full list is in doubt.
func (r *Roster) RoutesChanged(routes []core.Route) {
	r.box.Put(func(r *Roster) {
		r.fullUpdates.Contacted(r.now)
		r.lastContact = r.now
		r.applyChanges(routes)
		r.dropEmptyStandings()
	})
}

// DiscoveryFailed takes that a call to discovery has failed.
func (r *Roster) DiscoveryFailed() {
	r.box.Put(func(r *Roster) {
		if r.fullUpdates.UnreachableSince() == 0 {
			r.confirmListed()
		}
		r.fullUpdates.Failed(r.now)
		r.core.DiscoveryFailed()
	})
}

// applyFull applies a full list: it replaces what was known or, while it is in doubt, only adds to it. Older says that it is
// older than the stored one.
func (r *Roster) applyFull(routes []core.Route, older bool) {
	listed := map[string]bool{}
	for _, route := range routes {
		listed[route.UID] = true
	}
	known, missing := r.countMissing(listed)
	if r.fullUpdates.UnreachableSince() == 0 {
		r.confirmListed()
	}
	r.lastContact = r.now
	if r.judge(known, missing, older) == rosterpolicy.Doubted {
		r.log.WithFields(logrus.Fields{"listed": len(routes), "known": known, "lacks": missing, "older": older}).
			Warn("discovery's list lacks most of what is known, or is older; it only adds until it is confirmed")
		r.doubtedUIDs, r.refetchAt = listed, r.now+confirmDelay
		if older {
			r.refetchAt = r.now + rosterpolicy.OlderListTimeout
		}
		r.applyChanges(routes)
		r.core.RoutesChanged(nil) // shows the core that discovery has responded
		return
	}
	r.applyChanges(routes)
	r.removeMissing(listed)
}

// judge decides on a full list.
func (r *Roster) judge(known, missing int, older bool) rosterpolicy.Verdict {
	if older {
		return r.fullUpdates.JudgeOlder(r.now, known, missing)
	}
	return r.fullUpdates.Judge(r.now, known, missing)
}

// countMissing returns how many runners are known and how many of them a full list lacks. Stored runners that are
// rejected don't count: nothing is lost with them.
func (r *Roster) countMissing(listed map[string]bool) (known, missing int) {
	for uid := range r.routes {
		if r.standings != nil && r.entries[uid] != nil {
			if standing, _, _ := r.standings.Standing(uid); standing == rosterpolicy.Rejected {
				continue
			}
		}
		known++
		if !listed[uid] {
			missing++
		}
	}
	return known, missing
}

// acceptDoubted accepts the full list that was in doubt, as no other has come in time.
func (r *Roster) acceptDoubted() {
	r.fullUpdates.Judge(r.now, 1, 1) // a second list of the kind confirms the first
	r.removeMissing(r.doubtedUIDs)
}

// removeMissing removes all runners that an accepted full list lacks.
func (r *Roster) removeMissing(listed map[string]bool) {
	if len(listed) == 0 {
		r.confirmLastSnapshot()
	}
	for uid := range r.routes {
		if !listed[uid] {
			r.forget(uid)
		}
	}
	r.doubtedUIDs, r.refetchAt, r.dirty = nil, 0, true
	r.dropEmptyStandings()
	r.core.RoutesReplaced(r.effectiveRoutes())
}

// applyChanges applies routes of discovery's and passes them to the core at once.
func (r *Roster) applyChanges(routes []core.Route) {
	var changes []core.Route
	for _, route := range routes {
		if from, ok := r.warmingUpSince[route.UID]; ok && route.State == decision.Ready && route.StartedAt < from {
			// Discovery knows an earlier start than the stored list could assume. The core keeps the start of
			// a runner that stays ready, so the runner drains for a moment and returns as warm as it is.
			drained := route
			drained.State = decision.Draining
			changes = append(changes, drained)
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

// confirm replaces what the stored list says of a runner by discovery's route.
func (r *Roster) confirm(route core.Route) {
	uid := route.UID
	if route.State == decision.Removed {
		r.forget(uid)
		return
	}
	r.routes[uid], r.confirmations[uid] = route, confirmation{r.now, rosterstore.ByDiscovery}
	delete(r.entries, uid)
	delete(r.warmingUpSince, uid)
	if r.standings != nil {
		r.standings.Remove(uid)
	}
}

// confirmListed records, when discovery stops answering or lists other runners, that those which it has listed were
// confirmed until now: its watch would have told of a change.
func (r *Roster) confirmListed() {
	for uid := range r.routes {
		if _, stored := r.entries[uid]; !stored {
			r.confirmations[uid] = confirmation{r.now, rosterstore.ByDiscovery}
			r.lastContact = r.now
		}
	}
}

// forget drops all that is known of a runner.
func (r *Roster) forget(uid string) {
	delete(r.routes, uid)
	delete(r.entries, uid)
	delete(r.confirmations, uid)
	delete(r.warmingUpSince, uid)
	if r.standings != nil {
		r.standings.Remove(uid)
	}
}

// dropEmptyStandings ends serving from the stored list once discovery has listed or removed all of its runners.
func (r *Roster) dropEmptyStandings() {
	if r.standings == nil {
		return
	}
	if all, _, _ := r.standings.Count(); all == 0 {
		r.standings = nil
		r.log.Info("discovery has confirmed the list")
	}
}
