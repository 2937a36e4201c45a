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

// Start passes the first list to the core: the platform's list, plus the stored runners that may be
// used. Everything that the table sends afterwards is from discovery. Start is called before Run
// and returns once the core has the list; otherwise the first jobs of a process could reach the
// core before its list and be rejected.
func (r *Roster) Start() {
	r.now = r.clock()
	for _, message := range r.box.Drain(nil) {
		message(r)
	}
	r.started = true
	r.core.RoutesReplaced(r.effectiveRoutes())
}

// effectiveRoutes returns the full list as the core is to use it, ordered by uid.
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

// effectiveRoute returns a runner's route as the core is to use it, whether it is from discovery or
// the stored list.
func (r *Roster) effectiveRoute(uid string) core.Route {
	if r.entries[uid] != nil {
		return r.storedRoute(uid)
	}
	return r.routes[uid]
}

// RoutesReplaced receives a full list from discovery. Before Start it receives the platform's list,
// whose entries count like discovery's but say nothing about whether discovery is up.
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
	if r.storedPosition.version == 0 {
		return false
	}
	discovery, version := r.table.Position()
	return discovery == r.storedPosition.discovery && version < r.storedPosition.version
}

// RoutesChanged receives routes that discovery has changed. They take effect at once, even while a
// full list is doubted.
func (r *Roster) RoutesChanged(routes []core.Route) {
	r.box.Put(func(r *Roster) {
		r.fullUpdates.Contacted(r.now)
		r.lastContact = r.now
		r.applyChanges(routes)
		r.endStoredModeIfConfirmed()
	})
}

// DiscoveryFailed records that a call to discovery has failed.
func (r *Roster) DiscoveryFailed() {
	r.box.Put(func(r *Roster) {
		if r.fullUpdates.UnreachableSince() == 0 {
			r.confirmListed()
		}
		r.fullUpdates.Failed(r.now)
		r.core.DiscoveryFailed()
	})
}

// applyFull applies a full list. It replaces the runners known so far or, while it is doubted, only
// adds to them. Older says that the list is older than the stored one.
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
	if r.evaluateFullList(known, missing, older) == rosterpolicy.Doubted {
		r.log.WithFields(logrus.Fields{"listed": len(routes), "known": known, "lacks": missing, "older": older}).
			Warn("discovery's list lacks most of what is known, or is older; until it is confirmed it only adds runners")
		r.doubtedUIDs, r.refetchAt = listed, r.now+confirmDelay
		if older {
			r.refetchAt = r.now + rosterpolicy.OlderListTimeout
		}
		r.applyChanges(routes)
		r.core.RoutesChanged(nil) // tells the core that discovery has responded
		return
	}
	r.applyChanges(routes)
	r.removeMissing(listed)
}

// evaluateFullList decides whether a full list is accepted or doubted.
func (r *Roster) evaluateFullList(known, missing int, older bool) rosterpolicy.Verdict {
	if older {
		return r.fullUpdates.JudgeOlder(r.now, known, missing)
	}
	return r.fullUpdates.Judge(r.now, known, missing)
}

// countMissing returns the number of known runners and how many of them a full list lacks. Rejected
// stored runners are not counted: losing them costs nothing.
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

// acceptDoubted accepts the doubted full list because no other has arrived in time.
func (r *Roster) acceptDoubted() {
	r.fullUpdates.Judge(r.now, 1, 1) // a second list that lacks as much confirms the first
	r.removeMissing(r.doubtedUIDs)
}

// removeMissing removes all runners that are missing from an accepted full list.
func (r *Roster) removeMissing(listed map[string]bool) {
	if len(listed) == 0 {
		r.updateLastSnapshot()
	}
	for uid := range r.routes {
		if !listed[uid] {
			r.deleteRunner(uid)
		}
	}
	r.doubtedUIDs, r.refetchAt, r.dirty = nil, 0, true
	r.endStoredModeIfConfirmed()
	r.core.RoutesReplaced(r.effectiveRoutes())
}

// applyChanges applies routes from discovery and passes them to the core at once.
func (r *Roster) applyChanges(routes []core.Route) {
	var changes []core.Route
	for _, route := range routes {
		if from, ok := r.warmingUpSince[route.UID]; ok && route.State == decision.Ready && route.StartedAt < from {
			// Discovery reports an earlier start than the stored list could assume. The core keeps
			// the start time of a runner that stays ready, so the runner is briefly set to draining
			// and then returns with the earlier start, as warm as it is.
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

// confirm replaces a runner's stored entry by discovery's route.
func (r *Roster) confirm(route core.Route) {
	uid := route.UID
	if route.State == decision.Removed {
		r.deleteRunner(uid)
		return
	}
	r.routes[uid], r.confirmations[uid] = route, confirmation{r.now, rosterstore.ByDiscovery}
	delete(r.entries, uid)
	delete(r.warmingUpSince, uid)
	if r.standings != nil {
		r.standings.Remove(uid)
	}
}

// confirmListed records, when discovery stops answering or sends another list, that the runners it
// has listed were confirmed until now: its watch would have reported a change.
func (r *Roster) confirmListed() {
	for uid := range r.routes {
		if _, stored := r.entries[uid]; !stored {
			r.confirmations[uid] = confirmation{r.now, rosterstore.ByDiscovery}
			r.lastContact = r.now
		}
	}
}

// deleteRunner deletes all state of a runner.
func (r *Roster) deleteRunner(uid string) {
	delete(r.routes, uid)
	delete(r.entries, uid)
	delete(r.confirmations, uid)
	delete(r.warmingUpSince, uid)
	if r.standings != nil {
		r.standings.Remove(uid)
	}
}

// endStoredModeIfConfirmed stops serving from the stored list once discovery has listed or removed
// all of its runners.
func (r *Roster) endStoredModeIfConfirmed() {
	if r.standings == nil {
		return
	}
	if all, _, _ := r.standings.Count(); all == 0 {
		r.standings = nil
		r.log.Info("discovery has confirmed the list")
	}
}
