package main

import (
	"cmp"
	"context"
	"encoding/json"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/cluster"
	"frosttide/internal/dispatcher/fleet/replica"
	"frosttide/internal/dispatcher/routetable"
)

// updateHook returns who hears what discovery tells, nil for nobody.
func (o *peers) updateHook() func(routetable.Update) {
	if o == nil {
		return nil
	}
	return func(update routetable.Update) {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.member != nil {
			o.forwardUpdate(o.member, update)
			return
		}
		if update.Full { // what came before counts no more
			o.pendingUpdates = nil
		}
		if len(o.pendingUpdates) < maxPendingUpdates {
			o.pendingUpdates = append(o.pendingUpdates, update)
		}
	}
}

// maxPendingUpdates bounds what is kept for a member that has not begun; what is past it comes
// with the next whole list.
const maxPendingUpdates = 1000

func (o *peers) forwardUpdate(m *cluster.Cluster, update routetable.Update) {
	entries := make([]cluster.Entry, len(update.Entries))
	for i, e := range update.Entries {
		state := replica.Serving
		switch e.State {
		case decision.Draining:
			state = replica.Draining
		case decision.Removed:
			state = replica.Deleted
		}
		entries[i] = cluster.Entry{UID: e.UID, State: state, Boot: e.StartedAt.Milliseconds(), Text: e.JSON}
	}
	m.Told(cmp.Or(o.alias, update.Source), update.Version, update.Full, update.VersionReset, entries)
}

// Exclude carries out what operators have said at any member.
func (o *peers) Exclude(uid string, out bool, at time.Time) {
	e := core.Exclusion{UID: uid, Out: out, At: time.Duration(at.UnixNano())}
	o.core.ApplyExclusion(e)
	o.link.Exclude(e)
	if o.roster != nil {
		o.roster.Excluded(uid, out)
	}
}

// Hint brings what another dispatcher has found of a runner.
func (o *peers) Hint(uid string, found []byte) {
	var h decision.Health
	if err := json.Unmarshal(found, &h); err != nil { // of another build
		o.log.WithError(err).WithField("target", uid).Debug("what another member found of a runner can't be read")
		return
	}
	o.core.Hint(uid, h)
}

// findingsInterval is how often what jobs have found of runners is told to the others.
const findingsInterval = 2 * time.Second

// shareFindings tells it until the context ends.
func (o *peers) shareFindings(ctx context.Context) {
	tick := time.NewTicker(findingsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		o.core.OwnFindings(func(all map[string]decision.Health) {
			m := o.currentMember()
			if m == nil {
				return
			}
			var list []cluster.Found
			for uid, h := range all {
				if text, err := json.Marshal(h); err == nil { // false for figures that are none
					list = append(list, cluster.Found{UID: uid, Failed: h.Failed, Text: text})
				}
			}
			m.Found(list)
		})
	}
}

// Hear brings what another's discovery has told.
func (o *peers) Hear(source string, rev uint64, entries [][]byte) {
	if o.alias != "" { // by the operators' word all of that name count alike
		source = ""
	}
	o.table.ApplyGossip(source, rev, entries)
}
