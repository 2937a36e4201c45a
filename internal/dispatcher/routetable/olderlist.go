package routetable

import (
	"encoding/json"
	"time"

	"frosttide/decision"
	"frosttide/decision/freshness"
	"frosttide/internal/dispatcher/core"
)

// A discovery that ends, restarts from a copy or is replaced by a standby may send a full list that is older than the
// one in force. A runner that such a list lacks may have joined since, so it stays listed until discovery reports that
// it was removed, has reached the version that was in force, or lacks it still when it is asked again: its versions
// count anew then. A runner that was drained or removed since stays drained, as after a change of address.

// olderListTimeout is how long a discovery that has sent an older list has to reach the version that was in force.
const olderListTimeout = freshness.NotifiedWithin

// olderList is a full list of discovery's that was older than the list in force.
type olderList struct {
	version  uint64          // of the list that was in force
	missing  map[string]bool // runners that were in force and that the older list lacks, by uid
	acceptAt time.Duration   // from when on a full list below version is accepted, by the table's clock
}

// isOlder reports whether a full list of a version is older than the list in force.
func (t *Table) isOlder(version uint64) bool {
	if t.addr == "" { // a fixed list, which an operator may set back
		return false
	}
	return version < t.version || t.older != nil && version < t.older.version && t.now() < t.older.acceptAt
}

// keepMissing keeps the runners that an older list lacks until discovery has confirmed that they are removed. It reports
// whether there are any.
func (t *Table) keepMissing(listed map[string]json.RawMessage) bool {
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
		t.older = &olderList{version: t.version, acceptAt: t.now() + t.missingTimeout()}
		t.fetchAfterOlder(t.older, t.older.acceptAt+t.olderListSpread())
	}
	t.older.missing = missing
	t.log.WithField("lacks", len(missing)).Warn("discovery's list is older than the one in force; runners that it lacks stay until that is confirmed")
	return true
}

// missingTimeout returns how long runners that an older list lacks stay at least. What an agent sends counts as
// notified at once, so that work may be sent to them only within the drain grace.
func (t *Table) missingTimeout() time.Duration {
	if t.pushed {
		return min(t.clock.DrainGrace/2, olderListTimeout)
	}
	return olderListTimeout
}

// olderListSpread returns by how much the dispatcher's request for another list is delayed, so that not all
// dispatchers of a shared discovery ask at once.
func (t *Table) olderListSpread() time.Duration {
	if t.pushed || t.clock.FewCallers() {
		return 0
	}
	return olderListTimeout * time.Duration(t.clock.Number) / time.Duration(t.clock.Count)
}

// fetchAfterOlder requests the full list at a time of the table's clock, and again until one was accepted.
func (t *Table) fetchAfterOlder(older *olderList, at time.Duration) {
	time.AfterFunc(max(at-t.now(), minRetryInterval), func() {
		t.box.Put(func(t *Table) {
			if t.older != older {
				return
			}
			t.Fetch()
			t.fetchAfterOlder(older, t.now()+olderListTimeout)
		})
	})
}

// removeMissing returns, as changes, the runners that are removed by changes that led to a version: once discovery has
// caught up, those that an older list lacked and that no change has named since.
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
