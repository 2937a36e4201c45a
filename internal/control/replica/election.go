package replica

import (
	"slices"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

const (
	// rankDelay is how long a proposer waits for each voter that ranks before it as the next head.
	rankDelay = 60 * time.Millisecond
	// sealedTimeout is how long the head waits for the proposer of a higher number to complete its proposal before it
	// proposes a view itself.
	sealedTimeout = 250 * time.Millisecond
	// handoverTimeout is how long a head with an unhealthy disk in a sealed epoch waits for the others to choose another
	// head before it proposes a view itself.
	handoverTimeout = 2 * time.Second
	// confirmationLostAfter is the time since a majority last confirmed the epoch after which the head proposes another
	// view.
	confirmationLostAfter = time.Second
	// slowDiskGrace is the minimum age of a view that is replaced because of a slow disk.
	slowDiskGrace = 2 * time.Second
)

// considerProposal starts a proposal if a quorum agrees that the head is lost, or, at the head, if the chain or the voters
// have to change.
func (m *Machine) considerProposal() {
	if m.proposal != nil || m.now < m.nextProposalAt || m.disk.failed || m.draining || !m.isVoter() {
		return
	}
	if m.isHead() {
		m.considerProposalAsHead()
		return
	}
	vacant := m.view == nil && m.now-m.startedAt > m.cfg.Timing.BootstrapDelay || m.view != nil && m.headLost()
	if !vacant || !m.headLossAgreed() {
		m.suspectedAt = 0
		return
	}
	if m.suspectedAt == 0 {
		m.suspectedAt = m.now
	}
	if m.now-m.suspectedAt >= time.Duration(m.rank())*rankDelay {
		m.suspectedAt = 0
		m.startProposal(intent{reason: "there is no head"})
	}
}

// considerProposalAsHead starts a proposal at the head, for the first of these that is needed: a chain without a faulty
// member, the end of a joint configuration, or a change of the voters.
func (m *Machine) considerProposalAsHead() {
	if !m.majorityAlive() {
		return // no view can be agreed, and higher numbers would only interrupt the others once they are reachable again
	}
	self := m.selfID()
	if reason := m.chainFault(); reason != "" {
		m.startProposal(intent{reason: reason, preferredHead: self})
		return
	}
	if !m.chain.active {
		return
	}
	if len(m.accepted.GetPrevious()) > 0 {
		m.startProposal(intent{reason: "the voters have changed", preferredHead: self, dropPrevious: true})
		return
	}
	if change := m.nextVoterChange(); !change.Empty() {
		m.startProposal(intent{reason: "the voters have to change", preferredHead: self, change: change})
	}
}

// headLost reports whether the head of the newest view has to be replaced, judged by this member alone.
func (m *Machine) headLost() bool {
	id := view.Head(m.view)
	if id == m.selfID() { // a head with an unhealthy disk reports itself lost, as its replacement needs a quorum of such reports
		return m.chain.active && m.diskBad() && m.otherDiskHealthy(id)
	}
	if !m.alive(id) {
		return m.now-m.adoptedAt > m.cfg.Timing.SuspectTimeout // before that, its first heartbeat may still be on the way
	}
	p := m.peers[id]
	installing := m.now-m.installProgressAt < 2*m.cfg.Timing.InstallTimeout
	return p.restarted || p.lastHeartbeat.GetDiskBad() && m.otherDiskHealthy(id) || !p.lastHeartbeat.GetServing() && !installing
}

// suspectedEpoch returns the epoch whose head this member considers lost, 0 if there is none.
func (m *Machine) suspectedEpoch() uint64 {
	if m.view == nil || !m.headLost() {
		return 0
	}
	return m.view.GetEpoch()
}

// headLossAgreed reports whether a quorum of the voters suspects the head or knows no view. A single member that
// cannot reach the head therefore does not interrupt the others.
func (m *Machine) headLossAgreed() bool {
	return view.Quorum(m.accepted, func(id uint64) bool {
		if id == m.selfID() {
			return true
		}
		if !m.alive(id) {
			return false
		}
		h := m.peers[id].lastHeartbeat
		return h.GetEpoch() == 0 || h.GetSuspects() == h.GetEpoch()
	})
}

// rank returns how many live voters would make better heads than this member.
func (m *Machine) rank() (better int) {
	for _, v := range view.Electorate(m.accepted) {
		id := v.GetId()
		if id == m.selfID() || !m.alive(id) || m.view != nil && id == view.Head(m.view) {
			continue
		}
		if m.outranks(m.peers[id].lastHeartbeat) {
			better++
		}
	}
	return better
}

// outranks reports whether another member would make a better head than this one. It compares the health of the disk,
// then the installed epoch, then the length of the log, and then prefers the lower identity.
func (m *Machine) outranks(h *protocol.Heartbeat) bool {
	switch {
	case h.GetDiskBad() != m.diskBad():
		return m.diskBad()
	case h.GetInstalledEpoch() != m.disk.installedEpoch:
		return h.GetInstalledEpoch() > m.disk.installedEpoch
	case h.GetIndex() != m.index:
		return h.GetIndex() > m.index
	default:
		return h.GetMember().GetId() < m.selfID()
	}
}

// chainFault returns the reason for which the head has to propose another chain, empty if the chain can continue.
func (m *Machine) chainFault() string {
	if m.awaitsHandover() {
		return ""
	}
	if m.wasHeadInEarlierIncarnation() {
		return "the head has restarted"
	}
	if reason := m.lostMemberFault(); reason != "" {
		return reason
	}
	switch {
	case m.sealed() && m.now-m.highestNumberAt > sealedTimeout:
		return "a chain member has promised a higher number"
	case !m.chain.active && m.now-m.installProgressAt > m.cfg.Timing.InstallTimeout:
		return "the chain makes no progress in installing the state"
	case m.chain.active && m.now-m.chain.commitProgressAt > m.cfg.Timing.DiskStallTimeout && m.chain.committed < m.durable && m.spareHealthyDisk():
		return "a chain member does not acknowledge"
	case m.chain.active && m.now-m.confirmations.confirmedAt > confirmationLostAfter && m.majorityAlive():
		return "the epoch is not confirmed"
	}
	return m.slowDiskFault()
}

// awaitsHandover reports whether the head waits for the others to choose another head, because its own disk is unhealthy.
// In a sealed epoch it waits for handoverTimeout only: the others may be unable to complete a proposal without it.
func (m *Machine) awaitsHandover() bool {
	return m.chain.active && m.diskBad() && m.otherDiskHealthy(m.selfID()) && !(m.sealed() && m.now-m.highestNumberAt > handoverTimeout)
}

// lostMemberFault reports how the chain has lost a member, empty if all are alive. A member that has restarted has lost
// its unsynced entries, so that a new chain has to install the state.
func (m *Machine) lostMemberFault() string {
	for _, id := range m.view.GetChain() {
		if id == m.selfID() {
			continue
		}
		if !m.alive(id) && m.now-m.adoptedAt > m.cfg.Timing.SuspectTimeout {
			return "a chain member is lost"
		}
		if p := m.peers[id]; p != nil && p.restarted {
			return "a chain member has restarted"
		}
	}
	return ""
}

// slowDiskFault reports an unhealthy disk of a chain member whose position a spare voter could take, empty if there is
// none.
func (m *Machine) slowDiskFault() string {
	for _, id := range m.view.GetChain()[1:] {
		if p := m.peers[id]; p != nil && p.lastHeartbeat.GetDiskBad() && m.spareHealthyDisk() && m.now-m.adoptedAt > slowDiskGrace {
			return "a chain member's disk is slow"
		}
	}
	return ""
}

// sealed reports whether this member or another chain member has promised a higher number and so accepts no more entries
// of the epoch.
func (m *Machine) sealed() bool {
	if m.promised > m.Epoch() {
		return true
	}
	for _, id := range m.view.GetChain() {
		if p := m.peers[id]; p != nil && p.lastHeartbeat.GetPromised() > m.Epoch() {
			return true
		}
	}
	return false
}

// otherDiskHealthy reports whether a live chain member other than the given one has a healthy disk and could become the
// head.
func (m *Machine) otherDiskHealthy(except uint64) bool {
	for _, id := range m.view.GetChain() {
		switch {
		case id == except:
		case id == m.selfID():
			if !m.diskBad() {
				return true
			}
		case m.alive(id) && !m.peers[id].lastHeartbeat.GetDiskBad():
			return true
		}
	}
	return false
}

// spareHealthyDisk reports whether a live voter outside the chain has a healthy disk.
func (m *Machine) spareHealthyDisk() bool {
	for _, v := range m.view.GetVoters() {
		id := v.GetId()
		if !slices.Contains(m.view.GetChain(), id) && m.alive(id) && !m.peers[id].lastHeartbeat.GetDiskBad() {
			return true
		}
	}
	return false
}
