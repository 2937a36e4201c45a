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

// told returns who hears what discovery tells, nil for nobody.
func (o *others) told() func(routetable.Telling) {
	if o == nil {
		return nil
	}
	return func(t routetable.Telling) {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.member != nil {
			o.tellMember(o.member, t)
			return
		}
		if t.Whole { // what came before counts no more
			o.tellers = nil
		}
		if len(o.tellers) < mostTellings {
			o.tellers = append(o.tellers, t)
		}
	}
}

// mostTellings bounds what is kept for a member that has not begun; what is past it comes
// with the next whole list.
const mostTellings = 1000

func (o *others) tellMember(m *cluster.Cluster, t routetable.Telling) {
	entries := make([]cluster.Entry, len(t.Entries))
	for i, e := range t.Entries {
		state := replica.Serving
		switch e.State {
		case decision.Draining:
			state = replica.Draining
		case decision.Removed:
			state = replica.Deleted
		}
		entries[i] = cluster.Entry{UID: e.UID, State: state, Boot: e.Boot.Milliseconds(), Text: e.Text}
	}
	m.Told(cmp.Or(o.alias, t.From), t.Rev, t.Whole, t.Back, entries)
}

// Exclude carries out what operators have said at any member.
func (o *others) Exclude(uid string, out bool, at time.Time) {
	e := core.Exclusion{UID: uid, Out: out, At: time.Duration(at.UnixNano())}
	o.core.Heed(e)
	o.link.Exclude(e)
	if o.keeper != nil {
		o.keeper.Excluded(uid, out)
	}
}

// Hint brings what another dispatcher has found of a runner.
func (o *others) Hint(uid string, found []byte) {
	var h decision.Health
	if err := json.Unmarshal(found, &h); err != nil { // of another build
		o.log.WithError(err).WithField("target", uid).Debug("what another member found of a runner can't be read")
		return
	}
	o.core.Hint(uid, h)
}

// foundEvery is how often what jobs have found of runners is told to the others.
const foundEvery = 2 * time.Second

// run tells it until the context ends.
func (o *others) run(ctx context.Context) {
	tick := time.NewTicker(foundEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		o.core.Found(func(all map[string]decision.Health) {
			m := o.now()
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
func (o *others) Hear(source string, rev uint64, entries [][]byte) {
	if o.alias != "" { // by the operators' word all of that name count alike
		source = ""
	}
	o.table.Hear(source, rev, entries)
}
