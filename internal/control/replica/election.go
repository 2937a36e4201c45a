package replica

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// heartbeat tells all members that are known how this one stands.
func (m *Machine) heartbeat() {
	m.beat = m.now + m.cfg.Timing.Heartbeat
	e := &protocol.Envelope{Body: &protocol.Envelope_Heartbeat{Heartbeat: &protocol.Heartbeat{
		Member: m.cfg.Self, Incarnation: m.cfg.Incarnation, Epoch: m.Epoch(), Promised: m.promised, InstalledEpoch: m.disk.installedEpoch,
		Index: m.index, Suspects: m.suspectsEpoch(), Serving: m.Serving(), Leaving: m.leaving, Voter: m.isVoter(), Following: m.chain.following,
		DiskLagMs: uint32(m.disk.lag(m.now) / time.Millisecond), DiskBad: m.diskBad(), WallMs: m.wall,
		AgreedMs: m.agreed, SyncProgress: m.transfer.progress,
	}}}
	told := map[string]bool{m.cfg.Self.GetAddress(): true}
	tell := func(address string) {
		if !told[address] {
			told[address] = true
			m.send(address, e)
		}
	}
	for _, v := range []*protocol.View{m.accepted, m.view} {
		for _, member := range view.Electorate(v) {
			tell(member.GetAddress())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.joiners)) {
		tell(m.joiners[id].member.GetAddress())
	}
	if !m.isVoter() || m.view == nil {
		for _, address := range m.cfg.Contacts {
			tell(address)
		}
	}
}

func (m *Machine) onHeartbeat(from string, h *protocol.Heartbeat) {
	id := h.GetMember().GetId()
	p := m.peers[id]
	if p == nil {
		p = &peer{}
		m.peers[id] = p
	}
	if p.last != nil && p.last.GetIncarnation() != h.GetIncarnation() {
		p.restarted = true
	}
	if m.view != nil && h.GetEpoch() == m.Epoch() && slices.Contains(m.view.GetChain(), id) && installsOn(p.last, h) {
		m.installing = m.now
	}
	p.last, p.heard = h, m.now
	m.sawBallot(max(h.GetPromised(), h.GetEpoch()))
	if h.GetEpoch() > m.Epoch() {
		m.send(from, &protocol.Envelope{Body: &protocol.Envelope_ViewQuery{ViewQuery: &protocol.ViewQuery{Epoch: m.Epoch()}}})
	}
	if h.GetEpoch() < m.Epoch() { // it may not know the view, whoever decided it
		m.send(from, &protocol.Envelope{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: m.view}}})
	}
	if m.isHead() {
		m.considerJoiner(h)
		m.considerInstalled()
	}
	m.prepareAgain(from, h)
}

// peerKept is how long a member that votes no more is remembered after it was last heard of.
const peerKept = time.Minute

// forgetPeers drops what is known of members that are gone: each lost disk brings a new identity.
func (m *Machine) forgetPeers() {
	for id, p := range m.peers {
		if m.now-p.heard > peerKept && view.Find(view.Electorate(m.accepted), id) == nil && view.Find(m.view.GetVoters(), id) == nil {
			delete(m.peers, id)
		}
	}
}

// installsOn tells whether a member gets on with taking the state of its view: pieces arrive or writes finish, or
// its disk is busy and sound.
func installsOn(before, now *protocol.Heartbeat) bool {
	if now.GetInstalledEpoch() == now.GetEpoch() {
		return false
	}
	return before.GetSyncProgress() != now.GetSyncProgress() || now.GetDiskLagMs() > 0 && !now.GetDiskBad()
}

// prepareAgain asks a voter that has been heard of and has not promised: it may not have been there yet
// when the round began.
func (m *Machine) prepareAgain(from string, h *protocol.Heartbeat) {
	r := m.round
	if r == nil || r.phase != preparing || r.promises[h.GetMember().GetId()] != nil || h.GetPromised() >= r.ballot {
		return
	}
	m.send(from, &protocol.Envelope{Body: &protocol.Envelope_Prepare{Prepare: &protocol.Prepare{Ballot: r.ballot}}})
}

// alive tells whether a member has been heard of lately and is not about to end.
func (m *Machine) alive(id uint64) bool {
	if id == m.cfg.Self.GetId() {
		return !m.leaving
	}
	p := m.peers[id]
	return p != nil && m.now-p.heard < m.cfg.Timing.Suspect && !p.last.GetLeaving()
}

// headLost tells whether the head of the newest view has to be replaced, as far as this member sees.
func (m *Machine) headLost() bool {
	id := view.Head(m.view)
	if id == m.cfg.Self.GetId() { // with a bad disk it would rather not be the head, and the others need its word for it
		return m.chain.active && m.diskBad() && m.otherDiskGood(id)
	}
	if !m.alive(id) {
		return m.now-m.adopted > m.cfg.Timing.Suspect // it may never have been heard of before
	}
	p := m.peers[id]
	installing := m.now-m.installing < 2*m.cfg.Timing.Install
	return p.restarted || p.last.GetDiskBad() && m.otherDiskGood(id) || !p.last.GetServing() && !installing
}

// otherDiskGood tells whether a chain member but one has a sound disk, so that it could take over.
func (m *Machine) otherDiskGood(not uint64) bool {
	for _, id := range m.view.GetChain() {
		switch {
		case id == not:
		case id == m.cfg.Self.GetId():
			if !m.diskBad() {
				return true
			}
		case m.alive(id) && !m.peers[id].last.GetDiskBad():
			return true
		}
	}
	return false
}

// suspectsEpoch returns the epoch whose head this member takes for lost, 0 where it doesn't.
func (m *Machine) suspectsEpoch() uint64 {
	if m.view == nil || !m.headLost() {
		return 0
	}
	return m.view.GetEpoch()
}

// vacancyAgreed tells whether a quorum of the voters finds the head lost, or knows no view.
func (m *Machine) vacancyAgreed() bool {
	return view.Quorum(m.accepted, func(id uint64) bool {
		if id == m.cfg.Self.GetId() {
			return true
		}
		if !m.alive(id) {
			return false
		}
		h := m.peers[id].last
		return h.GetEpoch() == 0 || h.GetSuspects() == h.GetEpoch()
	})
}

// considerRound begins an election round where the head's place is vacant, or, by the head, where the
// chain or the voters are to change.
func (m *Machine) considerRound() {
	if m.round != nil || m.now < m.next || m.disk.failed || m.leaving || !m.isVoter() {
		return
	}
	if m.isHead() {
		m.considerAsHead()
		return
	}
	vacant := m.view == nil && m.now-m.began > m.cfg.Timing.Start || m.view != nil && m.headLost()
	if !vacant || !m.vacancyAgreed() {
		m.suspected = 0
		return
	}
	if m.suspected == 0 {
		m.suspected = m.now
	}
	if m.now-m.suspected >= time.Duration(m.rank())*rankPause {
		m.suspected = 0
		m.begin("the head's place is vacant", 0, view.Change{}, false)
	}
}

// rankPause is how long a candidate leaves the first try to each one that ranks before it.
const rankPause = 60 * time.Millisecond

// rank returns how many living voters would make better heads: those of the newest state, by the
// longest log, then by number.
func (m *Machine) rank() int {
	before := 0
	for _, v := range view.Electorate(m.accepted) {
		id := v.GetId()
		if id == m.cfg.Self.GetId() || !m.alive(id) {
			continue
		}
		h := m.peers[id].last
		switch {
		case m.view != nil && id == view.Head(m.view):
		case h.GetDiskBad() != m.diskBad():
			if m.diskBad() {
				before++
			}
		case h.GetInstalledEpoch() != m.disk.installedEpoch:
			if h.GetInstalledEpoch() > m.disk.installedEpoch {
				before++
			}
		case h.GetIndex() != m.index:
			if h.GetIndex() > m.index {
				before++
			}
		case id < m.cfg.Self.GetId():
			before++
		}
	}
	return before
}

// considerAsHead begins a round of the head's own: the chain without a member that is lost, or with
// other voters.
func (m *Machine) considerAsHead() {
	if !m.majorityAlive() {
		return // no view can be agreed on, and the ballots would disturb the others' when they are back
	}
	self := m.cfg.Self.GetId()
	if reason := m.chainTrouble(); reason != "" {
		m.begin(reason, self, view.Change{}, false)
		return
	}
	if !m.chain.active {
		return
	}
	if len(m.accepted.GetPrevious()) > 0 {
		m.begin("the voters have changed", self, view.Change{}, true)
		return
	}
	if change := m.voterChange(); !change.Empty() {
		m.begin("the voters are to change", self, change, false)
	}
}

// chainTrouble says why the chain can't go on as it is, empty where it can.
func (m *Machine) chainTrouble() string {
	if m.chain.active && m.diskBad() && m.otherDiskGood(m.cfg.Self.GetId()) && !(m.sealed() && m.now-m.highestAt > handOverPatience) {
		return "" // the others choose another head
	}
	if m.headBefore() {
		return "the head has restarted"
	}
	for _, id := range m.view.GetChain() {
		if id == m.cfg.Self.GetId() {
			continue
		}
		if !m.alive(id) && m.now-m.adopted > m.cfg.Timing.Suspect {
			return "a chain member is lost"
		}
		if p := m.peers[id]; p != nil && p.restarted {
			return "a chain member has restarted"
		}
	}
	switch {
	case m.sealed() && m.now-m.highestAt > sealedPatience:
		return "a chain member has promised a higher ballot"
	case !m.chain.active && m.now-m.installing > m.cfg.Timing.Install:
		return "the chain does not take the state"
	case m.chain.active && m.now-m.chain.movedAt > m.cfg.Timing.DiskStall && m.chain.committed < m.durable && m.spareDisk():
		return "a chain member does not acknowledge"
	case m.chain.active && m.now-m.confirms.at > confirmLost && m.majorityAlive():
		return "the epoch is not confirmed"
	}
	for _, id := range m.view.GetChain()[1:] {
		if p := m.peers[id]; p != nil && p.last.GetDiskBad() && m.spareDisk() && m.now-m.adopted > diskPatience {
			return "a chain member's disk is slow"
		}
	}
	return ""
}

// sealed tells whether this epoch can't go on, as a chain member has promised a higher ballot.
func (m *Machine) sealed() bool {
	if m.promised > m.Epoch() {
		return true
	}
	for _, id := range m.view.GetChain() {
		if p := m.peers[id]; p != nil && p.last.GetPromised() > m.Epoch() {
			return true
		}
	}
	return false
}

const (
	// sealedPatience is how long the head leaves the candidate of a higher ballot to end its round.
	sealedPatience = 250 * time.Millisecond
	// handOverPatience is how long a head with a bad disk, which can't go on as it is, waits for the others to choose
	// another one.
	handOverPatience = 2 * time.Second
	// confirmLost is how long the head goes on without a majority that stands by its epoch.
	confirmLost = time.Second
	// diskPatience is how long a chain stays as it is before a slow disk is a reason for another.
	diskPatience = 2 * time.Second
)

// spareDisk tells whether a living voter outside the chain has a sound disk.
func (m *Machine) spareDisk() bool {
	for _, v := range m.view.GetVoters() {
		id := v.GetId()
		if !slices.Contains(m.view.GetChain(), id) && m.alive(id) && !m.peers[id].last.GetDiskBad() {
			return true
		}
	}
	return false
}

func (m *Machine) majorityAlive() bool { return view.Quorum(m.accepted, m.alive) }
