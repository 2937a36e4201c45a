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
	member *protocol.Member
	heard  time.Duration
	ready  bool // its state follows the tail's
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
	m.joiners[id] = &joiner{member: h.GetMember(), heard: m.now, ready: h.GetFollowing() && h.GetEpoch() == m.Epoch()}
}

// voterChange returns the change of the voters that is due, if any: members that have taken the state
// join, in place of the one whose address they have, or of one that has long been silent.
func (m *Machine) voterChange() view.Change {
	var c view.Change
	gone := make(map[uint64]bool)
	remove := func(id uint64) {
		if !gone[id] && id != m.cfg.Self.GetId() {
			gone[id] = true
			c.Remove = append(c.Remove, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.joiners)) {
		j := m.joiners[id]
		if m.now-j.heard > m.cfg.Timing.Suspect {
			delete(m.joiners, id)
			continue
		}
		if !j.ready {
			continue
		}
		c.Add = append(c.Add, j.member)
		if old := m.voterAt(j.member.GetAddress()); old != 0 {
			remove(old)
		} else if silent := m.longestSilent(gone, m.cfg.Timing.Replace); silent != 0 {
			remove(silent)
		}
	}
	if !c.Empty() {
		return c
	}
	if silent := m.longestSilent(nil, m.cfg.Timing.Forget); silent != 0 && len(m.view.GetVoters()) > 2*m.cfg.Faults+1 {
		remove(silent)
	}
	return c
}

// voterAt returns the voter with an address, 0 if there is none.
func (m *Machine) voterAt(address string) uint64 {
	for _, v := range m.view.GetVoters() {
		if v.GetAddress() == address {
			return v.GetId()
		}
	}
	return 0
}

// longestSilent returns the voter that has been silent for longest and at least for a time, 0 if there
// is none.
func (m *Machine) longestSilent(but map[uint64]bool, least time.Duration) (id uint64) {
	for _, v := range m.view.GetVoters() {
		if v.GetId() == m.cfg.Self.GetId() || but[v.GetId()] {
			continue
		}
		heard := m.began
		if p := m.peers[v.GetId()]; p != nil {
			heard = p.heard
		}
		if m.now-heard >= least {
			least, id = m.now-heard, v.GetId()
		}
	}
	return id
}
