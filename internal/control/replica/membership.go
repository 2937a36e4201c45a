package replica

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// joiner is a member whose heartbeats ask the head to make it a voter.
type joiner struct {
	member      *protocol.Member
	lastContact time.Duration
	ready       bool // it follows the tail, so that its state is current as soon as it is a voter
}

// considerJoiner records at the head a member that is not a voter yet, unless it is about to exit.
func (m *Machine) considerJoiner(h *protocol.Heartbeat) {
	id := h.GetMember().GetId()
	if view.Find(view.Electorate(m.accepted), id) != nil || h.GetLeaving() {
		delete(m.joiners, id)
		return
	}
	m.joiners[id] = &joiner{member: h.GetMember(), lastContact: m.now, ready: h.GetFollowing() && h.GetEpoch() == m.Epoch()}
}

// minVoters returns how many voters are needed to tolerate the faults configured.
func (m *Machine) minVoters() int { return 2*m.cfg.ToleratedFaults + 1 }

// nextVoterChange returns the change of the voters that the head should propose, empty if there is none. Each ready joiner
// is added and replaces the voter at its address, or else a voter that has been out of contact for ReplaceAfter. Lost
// voters are removed if the live ones could not tolerate the configured number of faults. A voter that has been out of
// contact for ForgetAfter is removed in any case while enough voters remain.
func (m *Machine) nextVoterChange() view.Change {
	c := &voterChange{machine: m, removed: make(map[uint64]bool)}
	c.addJoiners()
	c.removeLostVoters()
	if !c.change.Empty() {
		return c.change
	}
	if absent := m.longestAbsent(nil, m.cfg.Timing.ForgetAfter); absent != 0 && c.size() > m.minVoters() {
		c.remove(absent)
	}
	return c.change
}

// voterChange assembles a change of the voters.
type voterChange struct {
	machine *Machine
	change  view.Change
	removed map[uint64]bool
}

// addJoiners adds the ready joiners and removes the voters that they replace. It deletes joiners that are out of contact.
func (c *voterChange) addJoiners() {
	m := c.machine
	for _, id := range slices.Sorted(maps.Keys(m.joiners)) {
		j := m.joiners[id]
		if m.now-j.lastContact > m.cfg.Timing.SuspectTimeout {
			delete(m.joiners, id)
			continue
		}
		if !j.ready {
			continue
		}
		c.change.Add = append(c.change.Add, j.member)
		if replaced := m.voterByAddress(j.member.GetAddress()); replaced != 0 {
			c.remove(replaced)
		} else if absent := m.longestAbsent(c.removed, m.cfg.Timing.ReplaceAfter); absent != 0 {
			c.remove(absent)
		}
	}
}

// remove removes a voter, unless it is this member or removed already.
func (c *voterChange) remove(id uint64) {
	if !c.removed[id] && id != c.machine.selfID() {
		c.removed[id] = true
		c.change.Remove = append(c.change.Remove, id)
	}
}

// size returns the number of voters after the change.
func (c *voterChange) size() int {
	return len(c.machine.view.GetVoters()) + len(c.change.Add) - len(c.change.Remove)
}

// aliveCount returns the number of live voters after the change.
func (c *voterChange) aliveCount() int {
	count := len(c.change.Add)
	for _, v := range c.machine.view.GetVoters() {
		if !c.removed[v.GetId()] && c.machine.alive(v.GetId()) {
			count++
		}
	}
	return count
}

// removeLostVoters removes lost voters while the live ones would have no majority after the tolerated number of further
// faults. A machine that was permanently replaced has to be removed this way: adding its replacement as a voter only
// makes the required majority larger.
func (c *voterChange) removeLostVoters() {
	m := c.machine
	for c.aliveCount()-m.cfg.ToleratedFaults < view.Majority(c.size()) && c.size() > m.minVoters() {
		lost := c.lostVoter()
		if lost == 0 {
			return
		}
		c.remove(lost)
	}
}

// lostVoter returns a voter that is about to exit or has been out of contact for LostAfter, 0 if there is none.
func (c *voterChange) lostVoter() uint64 {
	m := c.machine
	for _, v := range m.view.GetVoters() {
		if p := m.peers[v.GetId()]; p != nil && p.lastHeartbeat.GetLeaving() && !c.removed[v.GetId()] {
			return v.GetId()
		}
	}
	return m.longestAbsent(c.removed, m.cfg.Timing.LostAfter)
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

// longestAbsent returns the voter that has been out of contact for longest, and for at least a minimum time, 0 if there
// is none. The absence of a voter that was never in contact counts from this member's start.
func (m *Machine) longestAbsent(excluded map[uint64]bool, minAbsence time.Duration) (id uint64) {
	for _, v := range m.view.GetVoters() {
		if v.GetId() == m.selfID() || excluded[v.GetId()] {
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
