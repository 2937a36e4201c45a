package routetable

import (
	"time"

	"frosttide/decision"
	"frosttide/decision/freshness"
	"frosttide/internal/dispatcher/core"
)

// A discovery that a reload names may lag behind the previous one, and one that restarts behind itself: its first updates
// are older and list runners as serving that were drained or removed before. Such a runner stays drained until the new discovery has
// reached the version of the previous one, reports a later start of the runner, or has had the time within which
// everything counts as notified.

// previousDiscoveryTimeout is how long the drains of the previous discovery have effect at most.
const previousDiscoveryTimeout = freshness.MoveNotifiedWithin + freshness.NotifiedWithin

// maxDrainedRunners bounds the runners that are remembered as drained or removed. Past it all are forgotten, which
// costs no more than the protection that this file gives.
const maxDrainedRunners = 8192

// drainedRunners holds the start times, since 1970, of runners that are drained or removed, by uid.
type drainedRunners map[string]time.Duration

// previousDiscovery is the state of the previous discovery when the address changed.
type previousDiscovery struct {
	version uint64
	drained drainedRunners
}

// record records the state of a route that discovery has sent.
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

// keepPreviousDiscovery keeps the state of a discovery whose address is about to change.
func (t *Table) keepPreviousDiscovery() {
	if !t.versionKnown || t.pushed {
		return // versions that are unknown, or an agent's own, can't be compared with another discovery's
	}
	t.keepDrained()
}

// keepDrained has runners that are drained or removed stay so while discovery may be older than the list in force.
func (t *Table) keepDrained() {
	previous := &previousDiscovery{version: t.version, drained: t.drained}
	if t.previous != nil { // the discovery that is left had not caught up with its own predecessor
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

// drainedByPrevious reports whether a route that discovery lists as serving, in an update of a version, is of a
// runner that the previous discovery has drained or removed later than that.
func (t *Table) drainedByPrevious(version uint64, r core.Route) bool {
	if t.previous == nil || r.State != decision.Ready || version >= t.previous.version {
		return false
	}
	startedAt, drained := t.previous.drained[r.UID]
	return drained && r.StartedAt <= startedAt
}

// dropPreviousDiscovery lets the new discovery's entries have effect as they are from now on.
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
