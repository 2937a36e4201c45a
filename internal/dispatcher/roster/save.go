package roster

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/rosterstore"
)

// gather gathers the state from the table and the core, which answer from their mailboxes,
// and hands it to the writer.
func (r *Roster) gather() {
	r.gathering, r.dirty, r.writeAt = true, false, r.now+r.cfg.WriteInterval
	r.table.Snapshot(func(discovery string, list []byte) {
		r.core.Snapshot(func(known core.Snapshot) {
			r.box.Put(func(r *Roster) { r.write(discovery, list, known) })
		})
	})
}

// write writes down a generation.
func (r *Roster) write(discovery string, list []byte, known core.Snapshot) {
	r.gathering = false
	if s := r.snapshot(discovery, list, known); s != nil {
		r.writer.Put(s)
	}
}

// snapshot returns the state; nil while there is none, so that an empty one never takes
// the place of a list that is kept.
func (r *Roster) snapshot(discovery string, list []byte, known core.Snapshot) *rosterstore.Snapshot {
	var current struct {
		Rev     uint64            `json:"rev"`
		Targets []json.RawMessage `json:"targets"`
	}
	if err := json.Unmarshal(list, &current); err != nil {
		r.log.WithError(err).Error("the list could not be written down") // it has been read before
		return nil
	}
	s := &rosterstore.Snapshot{Name: r.cfg.Name, Saved: r.now, Ended: r.stopping, Discovery: discovery, Rev: current.Rev,
		Excluded: known.Excluded, PutBack: known.Reinstated}
	slices.Sort(s.Excluded)
	if r.fullUpdates.UnreachableSince() == 0 {
		r.lastContact = r.now // a watch that says nothing new says that all is as it was
	}
	s.Answered = r.lastContact
	written := map[string]bool{}
	for _, entry := range current.Targets {
		var of struct {
			UID string `json:"uid"`
		}
		if json.Unmarshal(entry, &of) != nil || r.routes[of.UID].UID == "" {
			continue
		}
		written[of.UID] = true
		s.Nodes = append(s.Nodes, r.node(of.UID, entry, true))
	}
	for uid, entry := range r.entries {
		if !written[uid] {
			s.Nodes = append(s.Nodes, r.node(uid, entry, false))
		}
	}
	if len(s.Nodes) == 0 {
		return nil
	}
	slices.SortFunc(s.Nodes, func(a, b rosterstore.Node) int { return strings.Compare(a.UID, b.UID) })
	s.Runs = map[string]time.Duration{}
	for i, name := range r.cfg.Classes() {
		if i < len(known.MeanRunTimes) {
			s.Runs[name] = known.MeanRunTimes[i]
		}
	}
	health, err := json.Marshal(known.Health)
	if err == nil {
		s.Health = health
	}
	return s
}

// node writes down a runner, with whoever spoke for it last.
func (r *Roster) node(uid string, entry json.RawMessage, listed bool) rosterstore.Node {
	v := r.confirmations[uid]
	if listed && r.fullUpdates.UnreachableSince() == 0 {
		v = confirmation{r.now, rosterstore.ByDiscovery}
	}
	return rosterstore.Node{UID: uid, Entry: entry, Confirmed: v.at, By: v.by, ColdFrom: r.coldSince[uid]}
}

// Close writes the last state by the deadline.
func (r *Roster) Close(deadline time.Time) {
	if r.writer == nil {
		return
	}
	done := make(chan struct{})
	r.table.Snapshot(func(discovery string, list []byte) {
		r.core.Snapshot(func(known core.Snapshot) {
			r.box.Put(func(r *Roster) {
				r.stopping = true
				r.write(discovery, list, known)
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
