package routetable

import (
	"encoding/json"
	"time"

	"frosttide/decision"
	"frosttide/decision/freshness"
	"frosttide/internal/dispatcher/core"
)

// A discovery that shuts down, restarts from a replica or fails over to a standby may send a full
// list that is older than the one in force. A runner missing from such a list may have joined
// since, so it stays listed until discovery reports its removal, reaches the version that was in
// force, or still omits the runner when it is asked again, in which case its versions were reset. A
// runner that was drained or removed since stays drained, as after a change of address.

// olderListTimeout is how long a discovery that has sent an older list has to reach the version
// that was in force.
const olderListTimeout = freshness.NotifiedWithin

// olderList describes a full list from discovery that was older than the list in force.
type olderList struct {
	version  uint64          // of the list that was in force
	missing  map[string]bool // uids of runners that were in force and the older list lacks
	acceptAt time.Duration   // when a full list below version is accepted, on the table's clock
}

// isOlder reports whether a full list of a version is older than the list in force.
func (t *Table) isOlder(version uint64) bool {
	if t.addr == "" { // a fixed list, which an operator may revert to an older version
		return false
	}
	return version < t.version || t.older != nil && version < t.older.version && t.now() < t.older.acceptAt
}

// retainMissing keeps the runners that are missing from an older list until discovery has confirmed
// their removal. It reports whether there are any.
func (t *Table) retainMissing(listed map[string]json.RawMessage) bool {
	missing := map[string]bool{}
	for uid := range t.entries {
		if _, ok := listed[uid]; !ok {
			missing[uid] = true
		}
	}
	if len(missing) == 0 {
		return false
	}
	if t.older == nil {
		t.older = &olderList{version: t.version, acceptAt: t.now() + t.missingRetention()}
		t.scheduleRefetch(t.older, t.older.acceptAt+t.refetchDelay())
	}
	t.older.missing = missing
	t.log.WithField("lacks", len(missing)).
		Warn("discovery sent a list older than the one in force; runners missing from it are kept until their removal is confirmed")
	return true
}

// missingRetention returns the minimum time for which runners missing from an older list are kept.
// What an agent sends counts as notified at once, so work may be sent to those runners only within
// the drain grace.
func (t *Table) missingRetention() time.Duration {
	if t.pushed {
		return min(t.clock.DrainGrace/2, olderListTimeout)
	}
	return olderListTimeout
}

// refetchDelay returns by how much this dispatcher delays its request for another list, so that the
// dispatchers of a shared discovery do not all ask at once.
func (t *Table) refetchDelay() time.Duration {
	if t.pushed || t.clock.FewCallers() {
		return 0
	}
	return olderListTimeout * time.Duration(t.clock.Number) / time.Duration(t.clock.Count)
}

// scheduleRefetch requests the full list at a time on the table's clock, and again every
// olderListTimeout until one was accepted.
func (t *Table) scheduleRefetch(older *olderList, at time.Duration) {
	time.AfterFunc(max(at-t.now(), minRetryInterval), func() {
		t.box.Put(func(t *Table) {
			if t.older != older {
				return
			}
			t.Fetch()
			t.scheduleRefetch(older, t.now()+olderListTimeout)
		})
	})
}

// removeMissing returns, as changes, the runners to remove after the changes that led to a version.
// Once discovery has caught up, these are the runners that were missing from the older list and
// that no change has named since.
func (t *Table) removeMissing(version uint64, changed []core.Route) (routes []core.Route, updated []UpdatedEntry) {
	if t.older == nil {
		return nil, nil
	}
	for _, route := range changed {
		delete(t.older.missing, route.UID)
	}
	if version < t.older.version {
		return nil, nil
	}
	for uid := range t.older.missing {
		text, listed := t.entries[uid]
		route, err := t.parseEntry(text)
		if !listed || err != nil {
			continue
		}
		route.State = decision.Removed
		delete(t.entries, uid)
		t.drained.record(route)
		routes = append(routes, route)
		updated = append(updated, UpdatedEntry{UID: uid, State: route.State, StartedAt: route.StartedAt, JSON: text})
	}
	t.older = nil
	return routes, updated
}
