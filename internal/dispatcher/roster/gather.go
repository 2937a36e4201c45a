package roster

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/rosterstore"
)

// gather collects the state from the table and the core, which respond on their own goroutines, and passes it to the
// writer.
func (r *Roster) gather() {
	r.gathering, r.dirty, r.writeAt = true, false, r.now+r.cfg.WriteInterval
	r.table.Snapshot(func(discovery string, list []byte) {
		r.core.Snapshot(func(known core.Snapshot) {
			r.box.Put(func(r *Roster) { r.write(discovery, list, known) })
		})
	})
}

// write passes a generation to the writer.
func (r *Roster) write(discovery string, list []byte, known core.Snapshot) {
	r.gathering = false
	s := r.snapshot(discovery, list, known)
	if s == nil && r.stopping {
		s = r.endedSnapshot()
	}
	if s == nil {
		return
	}
	r.lastSnapshot = s
	if s.Ended {
		r.writer.PutUrgent(s)
	} else {
		r.writer.Put(s)
	}
}

// endedSnapshot returns the last state that had runners as that of a planned shutdown, nil for none: discovery may have
// sent an empty list at the end, and the next process must not take those runners for cold.
func (r *Roster) endedSnapshot() *rosterstore.Snapshot {
	if r.lastSnapshot == nil {
		return nil
	}
	s := *r.lastSnapshot
	s.Saved, s.Ended = r.now, true
	return &s
}

// snapshot returns the state as it is stored, nil if there is no runner: an empty list never replaces a stored one.
func (r *Roster) snapshot(discovery string, list []byte, known core.Snapshot) *rosterstore.Snapshot {
	var current struct {
		Rev     uint64            `json:"rev"`
		Targets []json.RawMessage `json:"targets"`
	}
	if err := json.Unmarshal(list, &current); err != nil { // impossible: the table has just written it
		r.log.WithError(err).Error("the list could not be written down")
		return nil
	}
	if r.fullUpdates.UnreachableSince() == 0 {
		r.lastContact = r.now // a watch without an update confirms that nothing has changed
	}
	s := &rosterstore.Snapshot{
		Name:      r.cfg.Name,
		Saved:     r.now,
		Ended:     r.stopping,
		Discovery: discovery,
		Rev:       current.Rev,
		Answered:  r.lastContact,
		Nodes:     r.nodes(current.Targets),
		Excluded:  known.Excluded,
		PutBack:   known.Reinstated,
	}
	slices.Sort(s.Excluded)
	if len(s.Nodes) == 0 {
		return nil
	}
	s.Runs = map[string]time.Duration{}
	for i, name := range r.cfg.Classes() {
		if i < len(known.MeanRunTimes) {
			s.Runs[name] = known.MeanRunTimes[i]
		}
	}
	if health, err := json.Marshal(known.Health); err == nil { // health is found out again if it can't be stored
		s.Health = health
	}
	return s
}

// nodes returns the runners as they are stored, by uid: those of discovery's entries, and those of the stored list
// that discovery has not sent.
func (r *Roster) nodes(entries []json.RawMessage) []rosterstore.Node {
	var nodes []rosterstore.Node
	written := map[string]bool{}
	for _, entry := range entries {
		var head struct {
			UID string `json:"uid"`
		}
		if json.Unmarshal(entry, &head) != nil || r.routes[head.UID].UID == "" {
			continue
		}
		written[head.UID] = true
		nodes = append(nodes, r.node(head.UID, entry, true))
	}
	for uid, entry := range r.entries {
		if !written[uid] {
			nodes = append(nodes, r.node(uid, entry, false))
		}
	}
	slices.SortFunc(nodes, func(a, b rosterstore.Node) int { return strings.Compare(a.UID, b.UID) })
	return nodes
}

// node returns a runner as it is stored. One that discovery lists is confirmed by a discovery that is up.
func (r *Roster) node(uid string, entry json.RawMessage, listed bool) rosterstore.Node {
	last := r.confirmations[uid]
	if listed && r.fullUpdates.UnreachableSince() == 0 {
		last = confirmation{r.now, rosterstore.ByDiscovery}
	}
	return rosterstore.Node{UID: uid, Entry: entry, Confirmed: last.at, By: last.by, WarmingUpSince: r.warmingUpSince[uid]}
}

// confirmLastSnapshot records in the last state that has runners until when each of them was confirmed. It is called before
// a full list removes all of them.
func (r *Roster) confirmLastSnapshot() {
	if r.lastSnapshot == nil {
		return
	}
	s := *r.lastSnapshot
	s.Nodes = slices.Clone(s.Nodes) // the writer may still read the others
	for i, node := range s.Nodes {
		if last, ok := r.confirmations[node.UID]; ok {
			s.Nodes[i].Confirmed, s.Nodes[i].By = last.at, last.by
		}
	}
	r.lastSnapshot = &s
}

// BeginShutdown takes that the dispatcher shuts down as planned, and has the state written, with that, while the last
// jobs are answered: a disk that is slow then has more time than Close may take.
func (r *Roster) BeginShutdown() {
	r.box.Put(func(r *Roster) {
		r.stopping = true
		if r.writer != nil {
			r.gather()
		}
	})
}

// Close stores the last state and returns when it is on disk, at the deadline at the latest. The roster has to be
// running.
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
