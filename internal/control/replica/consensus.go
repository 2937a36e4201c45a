package replica

import (
	"time"

	"frosttide/internal/control/journal"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// phase is a round's state.
type phase int

const (
	preparing phase = iota // promises are gathered
	accepting              // a view has been proposed
)

// proposal is an election round that this member has begun.
type proposal struct {
	number        uint64
	phase         phase
	startedAt     time.Duration
	quorumAt      time.Duration // when promises were enough, 0 before
	base          *protocol.View
	promises      map[uint64]*protocol.Promise
	acceptedBy    map[uint64]bool
	view          *protocol.View
	change        view.Change
	dropPrevious  bool // the voters before the last change count no more
	preferredHead uint64
	reason        string
}

// startProposal begins a round. keep is preferred as the head.
func (m *Machine) startProposal(reason string, preferredHead uint64, change view.Change, dropPrevious bool) {
	proposer := view.Find(view.Electorate(m.accepted), m.cfg.Self.GetId()).GetNumber()
	proposalNumber := view.NextProposalNumber(max(m.highestNumber, m.promised, m.accepted.GetEpoch(), m.Epoch()), proposer)
	m.proposal = &proposal{number: proposalNumber, startedAt: m.now, base: m.accepted, promises: make(map[uint64]*protocol.Promise),
		acceptedBy: make(map[uint64]bool), change: change, dropPrevious: dropPrevious, preferredHead: preferredHead, reason: reason}
	m.event("Proposal started", "number", proposalNumber, "reason", reason)
	m.grantPrepare(proposalNumber, func(p *protocol.Promise) { m.onPromise(p) })
	m.broadcast(view.Electorate(m.accepted), &protocol.Envelope{Body: &protocol.Envelope_Prepare{Prepare: &protocol.Prepare{Ballot: proposalNumber}}})
}

// observeNumber notes a ballot that was heard of.
func (m *Machine) observeNumber(proposalNumber uint64) {
	if proposalNumber > m.highestNumber {
		m.highestNumber, m.highestNumberAt = proposalNumber, m.now
	}
}

// abandonProposal gives up the round; the next one waits a random while, so that candidates don't meet again.
func (m *Machine) abandonProposal(reason string) {
	m.event("Proposal abandoned", "number", m.proposal.number, "reason", reason)
	m.proposal = nil
	m.failedProposals++
	m.backOff(proposalBackoff, proposalJitter<<min(m.failedProposals, maxBackoffDoublings))
}

// backOff has the member begin no round for a time between the least and that plus the spread.
func (m *Machine) backOff(delay, jitter time.Duration) {
	m.nextProposalAt = max(m.nextProposalAt, m.now+delay+time.Duration(m.rng.Int64N(int64(jitter))))
}

const (
	proposalBackoff     = 40 * time.Millisecond
	proposalJitter      = 80 * time.Millisecond
	maxBackoffDoublings = 4
	// prepareBackoff is what a candidate is left, by those that promised to it, to end its round.
	prepareBackoff = 350 * time.Millisecond
	prepareJitter  = 100 * time.Millisecond
)

// broadcast sends a message to some members but this one. A machine that has lost its disk may stand
// among them twice, with its old identity and its new one.
func (m *Machine) broadcast(members []*protocol.Member, e *protocol.Envelope) {
	notified := map[string]bool{m.cfg.Self.GetAddress(): true}
	for _, other := range members {
		if !notified[other.GetAddress()] {
			notified[other.GetAddress()] = true
			m.send(other.GetAddress(), e)
		}
	}
}

// grantPrepare promises a ballot and tells how far the member's state goes, once that is on disk.
func (m *Machine) grantPrepare(proposalNumber uint64, reply func(*protocol.Promise)) {
	m.promised = proposalNumber
	m.observeNumber(proposalNumber)
	m.appendRecord(journal.KindPromise, &protocol.PromiseRecord{Ballot: proposalNumber})
	m.afterSync(func() {
		if m.promised != proposalNumber {
			return // a higher one was promised meanwhile
		}
		reply(&protocol.Promise{Ballot: proposalNumber, Ok: true, Promised: proposalNumber, Accepted: m.accepted, InstalledEpoch: m.disk.installedEpoch,
			Index: m.index, Member: m.cfg.Self.GetId(), DiskBad: m.diskBad()})
	})
}

func (m *Machine) onPrepare(from string, p *protocol.Prepare) {
	m.observeNumber(p.GetBallot())
	reply := func(p *protocol.Promise) {
		m.send(from, &protocol.Envelope{Body: &protocol.Envelope_Promise{Promise: p}})
	}
	if p.GetBallot() == m.promised {
		return // it came twice
	}
	if p.GetBallot() < m.promised {
		reply(&protocol.Promise{Ballot: p.GetBallot(), Promised: m.promised, Member: m.cfg.Self.GetId()})
		return
	}
	if m.proposal != nil {
		m.abandonProposal("another candidate has a higher ballot")
	}
	m.backOff(prepareBackoff, prepareJitter)
	m.grantPrepare(p.GetBallot(), reply)
}

func (m *Machine) onPromise(p *protocol.Promise) {
	m.observeNumber(p.GetPromised())
	proposal := m.proposal
	if proposal == nil || proposal.phase != preparing || p.GetBallot() != proposal.number {
		return
	}
	if !p.GetOk() {
		m.abandonProposal("a voter has promised a higher ballot")
		return
	}
	proposal.promises[p.GetMember()] = p
	if a := p.GetAccepted(); a.GetEpoch() > proposal.base.GetEpoch() && view.Valid(a) {
		proposal.base = a
		proposal.change, proposal.dropPrevious = view.Change{}, false // they were meant for an older view
		m.broadcast(view.Electorate(a), &protocol.Envelope{Body: &protocol.Envelope_Prepare{Prepare: &protocol.Prepare{Ballot: proposal.number}}})
	}
	m.checkPrepareQuorum()
}

// checkPrepareQuorum goes on to the proposal once a quorum has promised and the others had a moment.
func (m *Machine) checkPrepareQuorum() {
	proposal := m.proposal
	if proposal == nil || proposal.phase != preparing || !view.Quorum(proposal.base, func(id uint64) bool { return proposal.promises[id] != nil }) {
		return
	}
	if proposal.quorumAt == 0 {
		proposal.quorumAt = m.now
	}
	if m.now-proposal.quorumAt < m.cfg.Timing.GatherDelay && !m.allLivePromised() {
		return
	}
	m.proposeView()
}

// allLivePromised tells whether every voter that is heard of has promised.
func (m *Machine) allLivePromised() bool {
	for _, v := range view.Electorate(m.proposal.base) {
		if m.proposal.promises[v.GetId()] == nil && m.alive(v.GetId()) {
			return false
		}
	}
	return true
}

// proposeView asks the voters to accept the view that follows.
func (m *Machine) proposeView() {
	proposal := m.proposal
	var standings []view.MemberState
	for id, p := range proposal.promises {
		standings = append(standings, view.MemberState{Member: id, InstalledEpoch: p.GetInstalledEpoch(), Index: p.GetIndex(), DiskBad: p.GetDiskBad(), Zone: m.zoneOf(id)})
	}
	base := proposal.base
	if proposal.dropPrevious {
		base = cloneView(base)
		base.Previous = nil
	}
	next, ok := view.Next(base, proposal.number, standings, m.cfg.ToleratedFaults, proposal.preferredHead, proposal.change)
	if !ok {
		if m.now-proposal.quorumAt >= m.cfg.Timing.GatherDelay {
			m.abandonProposal("too few voters could keep the state")
		}
		return
	}
	proposal.phase, proposal.view = accepting, next
	e := &protocol.Envelope{Body: &protocol.Envelope_Accept{Accept: &protocol.Accept{View: next}}}
	recipients := &protocol.View{Voters: view.Electorate(proposal.base), Previous: next.GetVoters()}
	m.broadcast(view.Electorate(recipients), e)
	m.acceptView(next, func(a *protocol.Accepted) { m.onAccepted(a) })
}

// acceptView accepts a view and says so once that is on disk.
func (m *Machine) acceptView(v *protocol.View, reply func(*protocol.Accepted)) {
	m.promised = max(m.promised, v.GetEpoch())
	m.accepted = v
	m.appendRecord(journal.KindAccept, &protocol.AcceptRecord{View: v})
	m.afterSync(func() {
		reply(&protocol.Accepted{Ballot: v.GetEpoch(), Ok: true, Promised: m.promised, Member: m.cfg.Self.GetId()})
	})
}

func (m *Machine) onAccept(from string, a *protocol.Accept) {
	if !view.Valid(a.GetView()) {
		m.dropMessage("a view to accept that can't be")
		return
	}
	proposalNumber := a.GetView().GetEpoch()
	m.observeNumber(proposalNumber)
	reply := func(a *protocol.Accepted) {
		m.send(from, &protocol.Envelope{Body: &protocol.Envelope_Accepted{Accepted: a}})
	}
	if proposalNumber < m.promised {
		reply(&protocol.Accepted{Ballot: proposalNumber, Promised: m.promised, Member: m.cfg.Self.GetId()})
		return
	}
	if m.proposal != nil && proposalNumber > m.proposal.number {
		m.abandonProposal("another candidate's view is accepted")
	}
	m.acceptView(a.GetView(), reply)
}

func (m *Machine) onAccepted(a *protocol.Accepted) {
	m.observeNumber(a.GetPromised())
	proposal := m.proposal
	if proposal == nil || proposal.phase != accepting || a.GetBallot() != proposal.number {
		return
	}
	if !a.GetOk() {
		m.abandonProposal("a voter has promised a higher ballot since")
		return
	}
	proposal.acceptedBy[a.GetMember()] = true
	has := func(id uint64) bool { return proposal.acceptedBy[id] }
	if !view.Quorum(proposal.base, has) || !view.Quorum(proposal.view, has) {
		return
	}
	decided := proposal.view
	m.event("View agreed", "epoch", decided.GetEpoch(), "chain", m.chainNumbers(decided), "voters", len(decided.GetVoters()),
		"after", m.now-proposal.startedAt, "reason", proposal.reason)
	m.proposal = nil
	e := &protocol.Envelope{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: decided}}}
	m.broadcast(view.Electorate(&protocol.View{Voters: view.Electorate(proposal.base), Previous: decided.GetVoters()}), e)
	m.adoptView(decided)
}

// chainNumbers returns the members of a view's chain by their numbers.
func (m *Machine) chainNumbers(v *protocol.View) (out []uint32) {
	for _, id := range v.GetChain() {
		out = append(out, view.Find(v.GetVoters(), id).GetNumber())
	}
	return out
}

// expireProposal gives up a round that takes too long.
func (m *Machine) expireProposal() {
	if m.proposal == nil {
		return
	}
	m.checkPrepareQuorum()
	if m.proposal != nil && m.now-m.proposal.startedAt > m.cfg.Timing.ProposalTimeout {
		m.abandonProposal("too few answers in time")
	}
}

func (m *Machine) onViewQuery(from string, q *protocol.ViewQuery) {
	if m.Epoch() > q.GetEpoch() {
		m.send(from, &protocol.Envelope{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: m.view}}})
	}
}

// zoneOf returns a member's zone by its heartbeats.
func (m *Machine) zoneOf(id uint64) string {
	if id == m.cfg.Self.GetId() {
		return m.cfg.Self.GetZone()
	}
	if p := m.peers[id]; p != nil {
		return p.lastHeartbeat.GetMember().GetZone()
	}
	return ""
}
