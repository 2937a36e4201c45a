package routetable

import (
	"time"

	"frosttide/decision"
	"frosttide/decision/freshness"
	"frosttide/internal/dispatcher/core"
)

// After a reload that changes the address, the new discovery may lag behind the previous one, and a
// discovery that restarts may lag behind its own earlier state: its first updates are older and
// list runners as serving that were drained or removed before. Such a runner stays drained until
// the new discovery has reached the version of the previous one or reports a later start of the
// runner, or until the time has passed within which everything counts as notified.

// previousDiscoveryTimeout is the maximum time for which drains by the previous discovery stay in
// force.
const previousDiscoveryTimeout = freshness.MoveNotifiedWithin + freshness.NotifiedWithin

// maxDrainedRunners bounds the runners that are remembered as drained or removed. When it is
// exceeded, all are forgotten, which only costs the protection described above.
const maxDrainedRunners = 8192

// drainedRunners holds the start times, since the Unix epoch, of runners that are drained or
// removed, by uid.
type drainedRunners map[string]time.Duration

// previousDiscovery is the state of the previous discovery at the change of the address.
type previousDiscovery struct {
	version uint64
	drained drainedRunners
}

// record updates the set by the state of a route that discovery has sent.
func (d drainedRunners) record(r core.Route) {
	if r.State == decision.Ready {
		delete(d, r.UID)
		return
	}
	if len(d) >= maxDrainedRunners {
		clear(d)
	}
	d[r.UID] = r.StartedAt
}

// retainPreviousDiscovery keeps the drains of a discovery whose address is about to change. It
// keeps none if the versions are not comparable.
func (t *Table) retainPreviousDiscovery() {
	if !t.versionKnown || t.pushed {
		return // unknown versions and an agent's own are not comparable with another discovery's
	}
	t.retainDrained()
}

// retainDrained keeps drained and removed runners drained while discovery may be older than the
// list in force.
func (t *Table) retainDrained() {
	previous := &previousDiscovery{version: t.version, drained: t.drained}
	if t.previous != nil { // that discovery had not caught up with its own predecessor
		previous.version = max(previous.version, t.previous.version)
		for uid, startedAt := range t.previous.drained {
			previous.drained[uid] = max(previous.drained[uid], startedAt)
		}
	}
	t.previous, t.drained = previous, drainedRunners{}
	time.AfterFunc(previousDiscoveryTimeout, func() {
		t.box.Put(func(t *Table) {
			if t.previous == previous {
				t.dropPreviousDiscovery()
			}
		})
	})
}

// drainedByPrevious reports whether a route that lists a runner as serving is outdated: the
// previous discovery, whose last version is above the update's, had drained or removed the runner,
// which has not started again since.
func (t *Table) drainedByPrevious(version uint64, r core.Route) bool {
	if t.previous == nil || r.State != decision.Ready || version >= t.previous.version {
		return false
	}
	startedAt, drained := t.previous.drained[r.UID]
	return drained && r.StartedAt <= startedAt
}

// dropPreviousDiscovery lets the new discovery's entries take effect unchanged from now on.
func (t *Table) dropPreviousDiscovery() {
	if t.previous == nil {
		return
	}
	drained := t.previous.drained
	t.previous = nil
	var routes []core.Route
	for uid := range drained {
		if text, listed := t.entries[uid]; listed {
			if r, err := t.parseEntry(text); err == nil {
				routes = append(routes, r)
			}
		}
	}
	if len(routes) > 0 {
		t.sink.RoutesChanged(routes)
	}
}
