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

// olderFor is how long the new discovery may lag.
const olderFor = freshness.MovedWithin + freshness.ToldWithin

// mostAway bounds the runners that are remembered as drained or gone; past it all are forgotten.
const mostAway = 8192

// drained is what was told of runners that get no new work, by uid: their last starts.
type drained map[string]time.Duration

// older is what the discovery before had told when it was left.
type older struct {
	rev  uint64
	away drained
}

// noted takes note of a route that discovery has told.
func (d drained) noted(r core.Route) {
	if r.State == decision.Ready {
		delete(d, r.UID)
		return
	}
	if len(d) >= mostAway {
		clear(d)
	}
	d[r.UID] = r.StartedAt
}

// left takes in that discovery is another from now on.
func (t *Table) left(calls context.Context) {
	if !t.revGiven || t.pushed {
		return // its versions say nothing, or an agent's that count for itself
	}
	before := &older{rev: t.rev, away: t.away}
	if t.before != nil { // that one had not caught up either
		before.rev = max(before.rev, t.before.rev)
		for uid, boot := range t.before.away {
			before.away[uid] = max(before.away[uid], boot)
		}
	}
	t.before, t.away = before, drained{}
	time.AfterFunc(olderFor, func() {
		t.box.Put(func(t *Table) {
			if calls.Err() == nil {
				t.believe()
			}
		})
	})
}

// withheld tells whether a route that the new discovery lists as serving is drained by what the one
// before told later.
func (t *Table) withheld(rev uint64, r core.Route) bool {
	if t.before == nil || r.State != decision.Ready || rev >= t.before.rev {
		return false
	}
	boot, away := t.before.away[r.UID]
	return away && r.StartedAt <= boot
}

// believe takes the new discovery at its word from now on.
func (t *Table) believe() {
	if t.before == nil {
		return
	}
	away := t.before.away
	t.before = nil
	var routes []core.Route
	for uid := range away {
		if text, listed := t.entries[uid]; listed {
			if r, err := t.route(text); err == nil {
				routes = append(routes, r)
			}
		}
	}
	if len(routes) > 0 {
		t.sink.ListChanged(routes)
	}
}
