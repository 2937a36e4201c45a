package routetable

import (
	"context"
	"time"

	"frosttide/decision"
	"frosttide/decision/freshness"
	"frosttide/internal/dispatcher/core"
)

// A discovery that a reload names may lag behind the one before: its first lists are older, and
// runners that drain or have gone by what was told before stand there as serving. What was told
// counts, so those stay drained until the new one has come as far, tells of another start, or has
// had the time in which all that there is counts as told.

// previousDiscoveryTimeout is how long the new discovery may lag.
const previousDiscoveryTimeout = freshness.MoveNotifiedWithin + freshness.NotifiedWithin

// maxDrainedRunners bounds the runners that are remembered as drained or gone; past it all are forgotten.
const maxDrainedRunners = 8192

// drainedRunners is what was told of runners that get no new work, by uid: their last starts.
type drainedRunners map[string]time.Duration

// previousDiscovery is what the discovery before had told when it was left.
type previousDiscovery struct {
	version uint64
	drained drainedRunners
}

// record takes note of a route that discovery has told.
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

// keepPreviousDiscovery takes in that discovery is another from now on.
func (t *Table) keepPreviousDiscovery(callsContext context.Context) {
	if !t.versionKnown || t.pushed {
		return // its versions say nothing, or an agent's that count for itself
	}
	previous := &previousDiscovery{version: t.version, drained: t.drained}
	if t.previous != nil { // that one had not caught up either
		previous.version = max(previous.version, t.previous.version)
		for uid, startedAt := range t.previous.drained {
			previous.drained[uid] = max(previous.drained[uid], startedAt)
		}
	}
	t.previous, t.drained = previous, drainedRunners{}
	time.AfterFunc(previousDiscoveryTimeout, func() {
		t.box.Put(func(t *Table) {
			if callsContext.Err() == nil {
				t.dropPreviousDiscovery()
			}
		})
	})
}

// drainedByPrevious tells whether a route that the new discovery lists as serving is drained by what the one
// before told later.
func (t *Table) drainedByPrevious(rev uint64, r core.Route) bool {
	if t.previous == nil || r.State != decision.Ready || rev >= t.previous.version {
		return false
	}
	startedAt, drained := t.previous.drained[r.UID]
	return drained && r.StartedAt <= startedAt
}

// dropPreviousDiscovery takes the new discovery at its word from now on.
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
