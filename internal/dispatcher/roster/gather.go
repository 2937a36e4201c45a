package roster

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/rosterstore"
)

// gather collects the state from the table and the core, which respond on their own goroutines, and
// passes it to the writer.
func (r *Roster) gather() {
	r.gathering, r.dirty, r.writeAt = true, false, r.now+r.cfg.WriteInterval
	r.table.Snapshot(func(discovery string, list []byte) {
		r.core.Snapshot(func(coreState core.Snapshot) {
			r.box.Put(func(r *Roster) { r.write(discovery, list, coreState) })
		})
	})
}

// write passes a new generation of the state to the writer, if there is anything to store.
func (r *Roster) write(discovery string, list []byte, coreState core.Snapshot) {
	r.gathering = false
	s := r.snapshot(discovery, list, coreState)
	if s == nil && r.shuttingDown {
		s = r.shutdownSnapshot()
	}
	if s == nil {
		return
	}
	r.lastSnapshot = s
	if s.PlannedShutdown {
		r.writer.PutUrgent(s)
	} else {
		r.writer.Put(s)
	}
}

// shutdownSnapshot returns the last state that had runners, marked as written by a planned
// shutdown; nil for none. Discovery may have sent an empty list while shutting down, and the next
// process must not take those runners for cold.
func (r *Roster) shutdownSnapshot() *rosterstore.Snapshot {
	if r.lastSnapshot == nil {
		return nil
	}
	s := *r.lastSnapshot
	s.Saved, s.PlannedShutdown = r.now, true
	return &s
}

// snapshot returns the state to store, or nil if there is no runner: an empty list never replaces a
// stored one.
func (r *Roster) snapshot(discovery string, list []byte, coreState core.Snapshot) *rosterstore.Snapshot {
	var current struct {
		Rev     uint64            `json:"rev"`
		Targets []json.RawMessage `json:"targets"`
	}
	if err := json.Unmarshal(list, &current); err != nil { // impossible: the table has just encoded it
		r.log.WithError(err).Error("decoding the runner list failed")
		return nil
	}
	if r.fullUpdates.UnreachableSince() == 0 {
		r.lastContact = r.now // a watch without an update confirms that nothing has changed
	}
	s := &rosterstore.Snapshot{
		Name:            r.cfg.Name,
		Saved:           r.now,
		PlannedShutdown: r.shuttingDown,
		Discovery:       discovery,
		Rev:             current.Rev,
		Answered:        r.lastContact,
		Nodes:           r.storedNodes(current.Targets),
		Excluded:        coreState.Excluded,
		Reinstated:      coreState.Reinstated,
	}
	slices.Sort(s.Excluded)
	if len(s.Nodes) == 0 {
		return nil
	}
	s.Runs = map[string]time.Duration{}
	for i, name := range r.cfg.Classes() {
		if i < len(coreState.MeanRunTimes) {
			s.Runs[name] = coreState.MeanRunTimes[i]
		}
	}
	if health, err := json.Marshal(coreState.Health); err == nil { // health that cannot be stored is determined anew
		s.Health = health
	}
	return s
}

// storedNodes returns the runners in their stored form, ordered by uid: those in discovery's
// entries, and those of the stored list that discovery has not sent.
func (r *Roster) storedNodes(entries []json.RawMessage) []rosterstore.Node {
	var nodes []rosterstore.Node
	written := map[string]bool{}
	for _, entry := range entries {
		var identity struct {
			UID string `json:"uid"`
		}
		if json.Unmarshal(entry, &identity) != nil || r.routes[identity.UID].UID == "" {
			continue
		}
		written[identity.UID] = true
		nodes = append(nodes, r.storedNode(identity.UID, entry, true))
	}
	for uid, entry := range r.entries {
		if !written[uid] {
			nodes = append(nodes, r.storedNode(uid, entry, false))
		}
	}
	slices.SortFunc(nodes, func(a, b rosterstore.Node) int { return strings.Compare(a.UID, b.UID) })
	return nodes
}

// storedNode returns a runner in its stored form. A runner that discovery lists counts as confirmed
// now while discovery is up.
func (r *Roster) storedNode(uid string, entry json.RawMessage, listed bool) rosterstore.Node {
	last := r.confirmations[uid]
	if listed && r.fullUpdates.UnreachableSince() == 0 {
		last = confirmation{r.now, rosterstore.ByDiscovery}
	}
	return rosterstore.Node{UID: uid, Entry: entry, Confirmed: last.at, By: last.by, WarmingUpSince: r.warmingUpSince[uid]}
}

// updateLastSnapshot updates, in the last state that has runners, the time until which each of them
// was confirmed. It is called before a full list removes all of them.
func (r *Roster) updateLastSnapshot() {
	if r.lastSnapshot == nil {
		return
	}
	s := *r.lastSnapshot
	s.Nodes = slices.Clone(s.Nodes) // the writer may still read the original
	for i, node := range s.Nodes {
		if last, ok := r.confirmations[node.UID]; ok {
			s.Nodes[i].Confirmed, s.Nodes[i].By = last.at, last.by
		}
	}
	r.lastSnapshot = &s
}

// BeginShutdown records that a planned shutdown has begun, and writes the state, marked so, while
// the last jobs are being answered. A slow disk then has more time than Close may take.
func (r *Roster) BeginShutdown() {
	r.box.Put(func(r *Roster) {
		r.shuttingDown = true
		if r.writer != nil {
			r.gather()
		}
	})
}

// Close stores the last state and returns when it is on disk, or at the deadline at the latest. It
// requires that Run is running.
func (r *Roster) Close(deadline time.Time) {
	if r.writer == nil {
		return
	}
	done := make(chan struct{})
	r.table.Snapshot(func(discovery string, list []byte) {
		r.core.Snapshot(func(coreState core.Snapshot) {
			r.box.Put(func(r *Roster) {
				r.shuttingDown = true
				r.write(discovery, list, coreState)
				close(done)
			})
		})
	})
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	r.writer.Close(deadline)
}
