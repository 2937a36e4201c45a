package roster

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/rosterstore"
)

// save gathers the state from the table and the core, which answer from their mailboxes,
// and hands it to the writer.
func (r *Roster) save() {
	r.saving, r.dirty, r.saveAt = true, false, r.now+r.cfg.Every
	r.table.Snapshot(func(discovery string, list []byte) {
		r.core.Snapshot(func(known core.Snapshot) {
			r.box.Put(func(r *Roster) { r.gathered(discovery, list, known) })
		})
	})
}

// gathered writes down a generation.
func (r *Roster) gathered(discovery string, list []byte, known core.Snapshot) {
	r.saving = false
	if s := r.snapshot(discovery, list, known); s != nil {
		r.writer.Put(s)
	}
}

// snapshot returns the state; nil while there is none, so that an empty one never takes
// the place of a list that is kept.
func (r *Roster) snapshot(discovery string, list []byte, known core.Snapshot) *rosterstore.Snapshot {
	var held struct {
		Rev     uint64            `json:"rev"`
		Targets []json.RawMessage `json:"targets"`
	}
	if err := json.Unmarshal(list, &held); err != nil {
		r.log.WithError(err).Error("the list could not be written down") // it has been read before
		return nil
	}
	s := &rosterstore.Snapshot{Name: r.cfg.Name, Saved: r.now, Ended: r.ended, Discovery: discovery, Rev: held.Rev,
		Excluded: known.Excluded, PutBack: known.PutBack}
	slices.Sort(s.Excluded)
	if r.lists.Away() == 0 {
		r.answered = r.now // a watch that says nothing new says that all is as it was
	}
	s.Answered = r.answered
	seen := map[string]bool{}
	for _, entry := range held.Targets {
		var of struct {
			UID string `json:"uid"`
		}
		if json.Unmarshal(entry, &of) != nil || r.routes[of.UID].UID == "" {
			continue
		}
		seen[of.UID] = true
		s.Nodes = append(s.Nodes, r.node(of.UID, entry, true))
	}
	for uid, entry := range r.entries {
		if !seen[uid] {
			s.Nodes = append(s.Nodes, r.node(uid, entry, false))
		}
	}
	if len(s.Nodes) == 0 {
		return nil
	}
	slices.SortFunc(s.Nodes, func(a, b rosterstore.Node) int { return strings.Compare(a.UID, b.UID) })
	s.Runs = map[string]time.Duration{}
	for i, name := range r.cfg.Classes() {
		if i < len(known.Runs) {
			s.Runs[name] = known.Runs[i]
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
	v := r.voiced[uid]
	if listed && r.lists.Away() == 0 {
		v = voice{r.now, rosterstore.ByList}
	}
	return rosterstore.Node{UID: uid, Entry: entry, Confirmed: v.at, By: v.by, ColdFrom: r.cold[uid]}
}

// Close writes the last state by the deadline.
func (r *Roster) Close(by time.Time) {
	if r.writer == nil {
		return
	}
	done := make(chan struct{})
	r.table.Snapshot(func(discovery string, list []byte) {
		r.core.Snapshot(func(known core.Snapshot) {
			r.box.Put(func(r *Roster) {
				r.ended = true
				r.gathered(discovery, list, known)
				close(done)
			})
		})
	})
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	select {
	case <-done:
	case <-late.C:
	}
	r.writer.Close(by)
}
