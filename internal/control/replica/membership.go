package replica

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// joiner is a member that asks to become a voter.
type joiner struct {
	member      *protocol.Member
	lastContact time.Duration
	ready       bool // its state follows the tail's
}

// considerJoiner notes a member that is no voter yet.
func (m *Machine) considerJoiner(h *protocol.Heartbeat) {
	id := h.GetMember().GetId()
	if view.Find(view.Electorate(m.accepted), id) != nil {
		delete(m.joiners, id)
		return
	}
	if h.GetLeaving() {
		delete(m.joiners, id)
		return
	}
	m.joiners[id] = &joiner{member: h.GetMember(), lastContact: m.now, ready: h.GetFollowing() && h.GetEpoch() == m.Epoch()}
}

// nextVoterChange returns the change of the voters that is due, if any: members that have taken the state
// join, in place of the one whose address they have, or of one that has long been silent; and voters that are
// lost leave where the others would not bear the losses that are to be borne.
func (m *Machine) nextVoterChange() view.Change {
	e := &electorateChange{machine: m, removed: make(map[uint64]bool)}
	for _, id := range slices.Sorted(maps.Keys(m.joiners)) {
		j := m.joiners[id]
		if m.now-j.lastContact > m.cfg.Timing.SuspectTimeout {
			delete(m.joiners, id)
			continue
		}
		if !j.ready {
			continue
		}
		e.change.Add = append(e.change.Add, j.member)
		if old := m.voterByAddress(j.member.GetAddress()); old != 0 {
			e.remove(old)
		} else if absent := m.longestAbsent(e.removed, m.cfg.Timing.ReplaceAfter); absent != 0 {
			e.remove(absent)
		}
	}
	e.removeLostVoters()
	if !e.change.Empty() {
		return e.change
	}
	if absent := m.longestAbsent(nil, m.cfg.Timing.ForgetAfter); absent != 0 && e.size() > m.minVoters() {
		e.remove(absent)
	}
	return e.change
}

// minVoters returns how many voters bear the losses that are to be borne.
func (m *Machine) minVoters() int { return 2*m.cfg.ToleratedFaults + 1 }

// electorateChange is a change of the voters that is being put together.
type electorateChange struct {
	machine *Machine
	change  view.Change
	removed map[uint64]bool
}

func (e *electorateChange) remove(id uint64) {
	if !e.removed[id] && id != e.machine.cfg.Self.GetId() {
		e.removed[id] = true
		e.change.Remove = append(e.change.Remove, id)
	}
}

// size returns how many voters there are after the change.
func (e *electorateChange) size() int {
	return len(e.machine.view.GetVoters()) + len(e.change.Add) - len(e.change.Remove)
}

// aliveCount returns how many voters are heard of after the change.
func (e *electorateChange) aliveCount() int {
	count := len(e.change.Add)
	for _, v := range e.machine.view.GetVoters() {
		if !e.removed[v.GetId()] && e.machine.alive(v.GetId()) {
			count++
		}
	}
	return count
}

// removeLostVoters removes voters that are lost as long as the living ones would have no majority after the losses
// that are to be borne. A machine that was replaced for good is one of them: its successor's vote alone makes the
// majority larger.
func (e *electorateChange) removeLostVoters() {
	m := e.machine
	for e.aliveCount()-m.cfg.ToleratedFaults < view.Majority(e.size()) && e.size() > m.minVoters() {
		lost := e.lostVoter()
		if lost == 0 {
			return
		}
		e.remove(lost)
	}
}

// lostVoter returns a voter that is about to end or has been silent for a time, 0 if there is none.
func (e *electorateChange) lostVoter() uint64 {
	m := e.machine
	for _, v := range m.view.GetVoters() {
		if p := m.peers[v.GetId()]; p != nil && p.lastHeartbeat.GetLeaving() && !e.removed[v.GetId()] {
			return v.GetId()
		}
	}
	return m.longestAbsent(e.removed, m.cfg.Timing.LostAfter)
}

// voterByAddress returns the voter with an address, 0 if there is none.
func (m *Machine) voterByAddress(address string) uint64 {
	for _, v := range m.view.GetVoters() {
		if v.GetAddress() == address {
			return v.GetId()
		}
	}
	return 0
}

// longestAbsent returns the voter that has been silent for longest and at least for a time, 0 if there
// is none.
func (m *Machine) longestAbsent(excluded map[uint64]bool, minAbsence time.Duration) (id uint64) {
	for _, v := range m.view.GetVoters() {
		if v.GetId() == m.cfg.Self.GetId() || excluded[v.GetId()] {
			continue
		}
		lastContact := m.startedAt
		if p := m.peers[v.GetId()]; p != nil {
			lastContact = p.lastContact
		}
		if m.now-lastContact >= minAbsence {
			minAbsence, id = m.now-lastContact, v.GetId()
		}
	}
	return id
}
