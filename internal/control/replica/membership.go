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
// join, in place of the one whose address they have, or of one that has long been silent; and voters that are
// lost leave where the others would not bear the losses that are to be borne.
func (m *Machine) voterChange() view.Change {
	e := &electorChange{machine: m, gone: make(map[uint64]bool)}
	for _, id := range slices.Sorted(maps.Keys(m.joiners)) {
		j := m.joiners[id]
		if m.now-j.heard > m.cfg.Timing.Suspect {
			delete(m.joiners, id)
			continue
		}
		if !j.ready {
			continue
		}
		e.change.Add = append(e.change.Add, j.member)
		if old := m.voterAt(j.member.GetAddress()); old != 0 {
			e.remove(old)
		} else if silent := m.longestSilent(e.gone, m.cfg.Timing.Replace); silent != 0 {
			e.remove(silent)
		}
	}
	e.removeLost()
	if !e.change.Empty() {
		return e.change
	}
	if silent := m.longestSilent(nil, m.cfg.Timing.Forget); silent != 0 && e.size() > m.leastVoters() {
		e.remove(silent)
	}
	return e.change
}

// leastVoters returns how many voters bear the losses that are to be borne.
func (m *Machine) leastVoters() int { return 2*m.cfg.Faults + 1 }

// electorChange is a change of the voters that is being put together.
type electorChange struct {
	machine *Machine
	change  view.Change
	gone    map[uint64]bool
}

func (e *electorChange) remove(id uint64) {
	if !e.gone[id] && id != e.machine.cfg.Self.GetId() {
		e.gone[id] = true
		e.change.Remove = append(e.change.Remove, id)
	}
}

// size returns how many voters there are after the change.
func (e *electorChange) size() int {
	return len(e.machine.view.GetVoters()) + len(e.change.Add) - len(e.change.Remove)
}

// living returns how many voters are heard of after the change.
func (e *electorChange) living() int {
	count := len(e.change.Add)
	for _, v := range e.machine.view.GetVoters() {
		if !e.gone[v.GetId()] && e.machine.alive(v.GetId()) {
			count++
		}
	}
	return count
}

// removeLost removes voters that are lost as long as the living ones would have no majority after the losses
// that are to be borne. A machine that was replaced for good is one of them: its successor's vote alone makes the
// majority larger.
func (e *electorChange) removeLost() {
	m := e.machine
	for e.living()-m.cfg.Faults < view.Majority(e.size()) && e.size() > m.leastVoters() {
		lost := e.lost()
		if lost == 0 {
			return
		}
		e.remove(lost)
	}
}

// lost returns a voter that is about to end or has been silent for a time, 0 if there is none.
func (e *electorChange) lost() uint64 {
	m := e.machine
	for _, v := range m.view.GetVoters() {
		if p := m.peers[v.GetId()]; p != nil && p.last.GetLeaving() && !e.gone[v.GetId()] {
			return v.GetId()
		}
	}
	return m.longestSilent(e.gone, m.cfg.Timing.Lost)
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
